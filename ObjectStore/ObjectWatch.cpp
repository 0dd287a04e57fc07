#include "ObjectStore/ObjectWatch.h"

#include <algorithm>
#include <set>

namespace sardinefold::objectstore {

namespace {

/// A watch that ends with nothing sooner than this was cut off.
constexpr base::Duration kShortestQuietWatch = std::chrono::milliseconds(500);

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
  m_asked = aNow;
  if (m_mustList) {
    return ListObjects{};
  }
  return WatchAfter{ m_version };
}

void ObjectWatch::Heard(base::Instant aNow)
{
  m_lastHeard = aNow;
  m_next = aNow;
  m_backoff.Reset();
}

ObjectChanges ObjectWatch::OnList(tl::expected<ObjectList, ReadError> const& aAnswer,
                                  base::Instant aNow)
{
  ObjectChanges changes{ m_version, {} };
  if (!aAnswer || aAnswer->m_version < m_version) {
    PauseAfterFailure(aNow);
    return changes;
  }
  std::set<ObjectKey> listed;
  for (auto const& object : aAnswer->m_objects) {
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
    changes.m_changes.emplace_back(ObjectDeleted{ key, aAnswer->m_version });
  }
  Heard(aNow);
  m_mustList = false;
  m_hasListed = true;
  m_version = aAnswer->m_version;
  changes.m_version = m_version;
  return changes;
}

ObjectChanges ObjectWatch::OnChanges(tl::expected<ObjectChanges, ReadError> const& aAnswer,
                                     base::Instant aNow)
{
  ObjectChanges changes{ m_version, {} };
  if (!aAnswer) {
    auto const kind = aAnswer.error().m_kind;
    // A list answers at once, also when nothing has changed: a watch that waits
    // as the first call after an outage would hold up the calls behind it.
    m_mustList =
      m_mustList || kind == ReadError::Kind::Compacted || kind == ReadError::Kind::Unavailable;
    PauseAfterFailure(aNow);
    return changes;
  }
  bool const wasCutOff = aAnswer->m_changes.empty() && aNow - m_asked < kShortestQuietWatch;
  if (aAnswer->m_version < m_version || wasCutOff) {
    PauseAfterFailure(aNow);
    return changes;
  }
  Heard(aNow);
  return TakeNew(*aAnswer);
}

std::optional<ObjectChanges> ObjectWatch::OnRelayed(base::ObjectVersion aFrom,
                                                    ObjectChanges const& aChanges,
                                                    base::Instant aHeardAt)
{
  if (!m_hasListed || aFrom > m_version) {
    return std::nullopt;
  }
  m_lastHeard = std::max(m_lastHeard, aHeardAt);
  if (aChanges.m_version <= m_version) {
    return ObjectChanges{ m_version, {} };
  }
  return TakeNew(aChanges);
}

ObjectChanges ObjectWatch::TakeNew(ObjectChanges const& aChanges)
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

/// Records a change; false if it brings nothing new.
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
