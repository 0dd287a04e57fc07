#include "ObjectStore/ObjectWatch.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinefold::objectstore {

namespace {

/// A watch that ends sooner than this without changes was interrupted.
constexpr base::Duration kMinimumEmptyWatch = std::chrono::milliseconds(500);

base::ObjectVersion VersionOf(ObjectChange const& aChange)
{
  if (auto const* const put = std::get_if<ObjectPut>(&aChange)) {
    return put->m_object.m_version;
  }
  return std::get<ObjectDeleted>(aChange).m_version;
}

} // namespace

ObjectWatch::ObjectWatch(BackoffLimits aBackoff, std::uint64_t aSeed)
  : m_backoff(aBackoff, aSeed)
{
}

WatchStep ObjectWatch::Next(base::Instant aNow)
{
  if (m_next > aNow) {
    return WatchAgainAt{ m_next };
  }
  m_requestedAt = aNow;
  m_requestedEra = m_version.Era();
  if (m_mustList || IsOutdated()) {
    return ListObjects{};
  }
  return WatchAfter{ m_version };
}

void ObjectWatch::RecordContact(base::Instant aNow)
{
  m_lastContact = aNow;
  m_next = aNow;
  m_backoff.Reset();
}

ObjectChanges ObjectWatch::OnList(tl::expected<ObjectList, ReadError> const& aResponse,
                                  base::Instant aNow)
{
  if (!aResponse || aResponse->m_version < m_version) {
    PauseAfterFailure(aNow);
    return { m_version, {} };
  }
  RecordContact(aNow);
  m_mustList = false;
  m_listedAt = aNow;
  auto changes = ApplyAll(aResponse->m_objects, aResponse->m_version);
  if (IsOutdated()) {
    PauseAfterFailure(aNow);
  }
  return changes;
}

ObjectChanges ObjectWatch::OnChanges(tl::expected<ObjectChanges, ReadError> const& aResponse,
                                     base::Instant aNow)
{
  ObjectChanges changes{ m_version, {} };
  if (!aResponse) {
    auto const kind = aResponse.error().m_kind;
    // A list returns at once even if nothing has changed. A watch as the first
    // call after an outage would delay the calls behind it.
    bool const isGone = kind == ReadError::Kind::Compacted;
    m_mustList = m_mustList || isGone || kind == ReadError::Kind::Unavailable;
    // History that a list has only just named may be gone again at once.
    if (isGone && m_requestedAt - m_listedAt >= kMinimumEmptyWatch) {
      m_next = aNow;
    } else {
      PauseAfterFailure(aNow);
    }
    return changes;
  }
  OnEra(aResponse->m_version.Era());
  if (aResponse->m_version.Era() > m_requestedEra) {
    m_next = aNow;
    return changes;
  }
  bool const wasInterrupted =
    aResponse->m_changes.empty() && aNow - m_requestedAt < kMinimumEmptyWatch;
  if (aResponse->m_version < m_version || wasInterrupted) {
    PauseAfterFailure(aNow);
    return changes;
  }
  RecordContact(aNow);
  return ApplyNew(*aResponse);
}

std::optional<ObjectUpdate> ObjectWatch::UpdateOf(
  tl::expected<ObjectList, ReadError> const& aResponse) const
{
  if (!aResponse || aResponse->m_version <= m_version) {
    return std::nullopt;
  }
  ObjectUpdate update{ std::nullopt, { aResponse->m_version, {} } };
  for (auto const& object : aResponse->m_objects) {
    update.m_changes.m_changes.emplace_back(ObjectPut{ object });
  }
  return update;
}

std::optional<ObjectUpdate> ObjectWatch::UpdateOf(
  tl::expected<ObjectChanges, ReadError> const& aResponse) const
{
  if (!aResponse || !IsContinuation(*aResponse)) {
    return std::nullopt;
  }
  ObjectUpdate update{ m_version, { aResponse->m_version, {} } };
  std::ranges::copy_if(aResponse->m_changes, std::back_inserter(update.m_changes.m_changes),
                       [&](auto const& aChange) { return VersionOf(aChange) > m_version; });
  return update;
}

bool ObjectWatch::IsContinuation(ObjectChanges const& aResponse) const
{
  return aResponse.m_version > m_version && aResponse.m_version.Era() == m_requestedEra;
}

std::optional<ObjectChanges> ObjectWatch::OnRelayed(ObjectUpdate const& aUpdate,
                                                    base::Instant aReceivedAt)
{
  auto const& changes = aUpdate.m_changes;
  OnEra(changes.m_version.Era());
  if (changes.m_version.Era() < m_version.Era()) {
    return ObjectChanges{ m_version, {} };
  }
  // Changes from version zero are a list without the deletions before it.
  bool const hasGap = aUpdate.m_from && changes.m_version > m_version &&
                      (*aUpdate.m_from > m_version || aUpdate.m_from->Value() == 0 ||
                       aUpdate.m_from->Era() != changes.m_version.Era());
  if (!m_hasListed || hasGap) {
    return std::nullopt;
  }
  m_lastContact = std::max(m_lastContact, aReceivedAt);
  if (changes.m_version <= m_version) {
    return ObjectChanges{ m_version, {} };
  }
  if (aUpdate.m_from) {
    return ApplyNew(changes);
  }
  std::vector<Object> objects;
  for (auto const& change : changes.m_changes) {
    if (auto const* const put = std::get_if<ObjectPut>(&change)) {
      objects.push_back(put->m_object);
    }
  }
  return ApplyAll(objects, changes.m_version);
}

/// Replaces what is known by all objects of a list.
ObjectChanges ObjectWatch::ApplyAll(std::vector<Object> const& aObjects,
                                    base::ObjectVersion aVersion)
{
  ObjectChanges changes{ aVersion, {} };
  if (m_hasListed && aVersion.Era() > m_version.Era()) {
    changes.m_restoredFrom = m_version;
  }
  m_hasListed = true;
  OnEra(aVersion.Era());
  std::set<ObjectKey> listed;
  for (auto const& object : aObjects) {
    listed.insert(object.m_key);
    if (ObjectChange change = ObjectPut{ object }; Apply(change)) {
      changes.m_changes.push_back(std::move(change));
    }
  }
  std::vector<ObjectKey> missing;
  for (auto const& [key, version] : m_known) {
    if (!listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (auto const& key : missing) {
    m_known.erase(key);
    changes.m_changes.emplace_back(ObjectDeleted{ key, aVersion });
  }
  m_version = aVersion;
  return changes;
}

ObjectChanges ObjectWatch::ApplyNew(ObjectChanges const& aChanges)
{
  ObjectChanges changes{ aChanges.m_version, {} };
  for (auto const& change : aChanges.m_changes) {
    if (VersionOf(change) > m_version && Apply(change)) {
      changes.m_changes.push_back(change);
    }
  }
  m_version = aChanges.m_version;
  return changes;
}

/// Records a change. Returns false if it is already known.
bool ObjectWatch::Apply(ObjectChange const& aChange)
{
  if (auto const* const deleted = std::get_if<ObjectDeleted>(&aChange)) {
    return m_known.erase(deleted->m_key) > 0;
  }
  auto const& object = std::get<ObjectPut>(aChange).m_object;
  auto& known = m_known[object.m_key];
  if (known >= object.m_version) {
    return false;
  }
  known = object.m_version;
  return true;
}

} // namespace sardinefold::objectstore
