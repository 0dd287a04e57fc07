#include "Agent/Fleet/StoreUpdateAssembler.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinefold::agent {

namespace {

/// Maximum size of the values in one part. Far below the size limit of a
/// datagram, since the encoding adds to the values.
constexpr std::size_t kPartBytes = 24'000;

objectstore::ObjectName NameOf(objectstore::ObjectChange const& aChange)
{
  auto const* const put = std::get_if<objectstore::ObjectPut>(&aChange);
  return put ? put->m_object.m_key.m_name
             : std::get<objectstore::ObjectDeleted>(aChange).m_key.m_name;
}

std::size_t SizeOf(objectstore::ObjectChange const& aChange)
{
  auto const* const put = std::get_if<objectstore::ObjectPut>(&aChange);
  return put ? put->m_object.m_value.size() : 0;
}

} // namespace

StoreUpdate WithoutSuperseded(StoreUpdate aUpdate)
{
  auto& changes = aUpdate.m_changes.m_changes;
  std::set<objectstore::ObjectName> later;
  std::vector<objectstore::ObjectChange> kept;
  for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
    if (later.insert(NameOf(*change)).second) {
      kept.push_back(std::move(*change));
    }
  }
  std::ranges::reverse(kept);
  changes = std::move(kept);
  return aUpdate;
}

std::vector<StoreUpdate> SplitStoreUpdate(StoreUpdate const& aUpdate)
{
  auto empty = aUpdate;
  empty.m_changes.m_changes.clear();
  std::vector<StoreUpdate> parts{ empty };
  std::size_t bytes = 0;
  for (auto const& change : aUpdate.m_changes.m_changes) {
    if (bytes > 0 && bytes + SizeOf(change) > kPartBytes) {
      parts.push_back(empty);
      bytes = 0;
    }
    bytes += SizeOf(change);
    parts.back().m_changes.m_changes.push_back(change);
  }
  for (std::size_t number = 0; number < parts.size(); ++number) {
    parts[number].m_part = static_cast<unsigned>(number);
    parts[number].m_parts = static_cast<unsigned>(parts.size());
  }
  return parts;
}

std::optional<StoreUpdate> StoreUpdateAssembler::Add(StoreUpdate aPart)
{
  if (aPart.m_parts <= 1) {
    return aPart;
  }
  auto& batch = m_batches[aPart.m_host];
  auto const parts = aPart.m_parts;
  BatchId const id{ aPart.m_from, aPart.m_changes.m_version, parts };
  if (id.m_to.Era() < batch.m_id.m_to.Era()) {
    return std::nullopt;
  }
  if (batch.m_id != id) {
    batch = { id, {} };
  }
  auto const host = aPart.m_host;
  batch.m_parts.insert_or_assign(aPart.m_part, std::move(aPart));
  if (batch.m_parts.size() < parts) {
    return std::nullopt;
  }
  StoreUpdate complete = batch.m_parts.begin()->second;
  complete.m_changes.m_changes.clear();
  for (auto& [number, part] : batch.m_parts) {
    std::ranges::move(part.m_changes.m_changes, std::back_inserter(complete.m_changes.m_changes));
  }
  m_batches.erase(host);
  return complete;
}

} // namespace sardinefold::agent
