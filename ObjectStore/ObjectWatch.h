#pragma once

#include "Base/Time.h"
#include "ObjectStore/Backoff.h"
#include "ObjectStore/PlatformError.h"
#include "ObjectStore/PlatformObject.h"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <variant>

namespace sardinefold::objectstore {

struct ListObjects
{};
struct WatchAfter
{
  base::ObjectVersion m_version;
};
struct WatchAgainAt
{
  base::Instant m_time;
};
using WatchStep = std::variant<ListObjects, WatchAfter, WatchAgainAt>;

/// Follows the objects of one kind: lists them, then watches from that version
/// on. It lists again when the platform has compacted the version or did not
/// answer, waits with growing random pauses while calls fail, and hands out each
/// change once, in the order of versions, with deletions that were missed
/// meanwhile.
class ObjectWatch
{
public:
  ObjectWatch(BackoffLimits aBackoff, std::uint64_t aSeed);

  WatchStep Next(base::Instant aNow);
  /// The changes against what is known; empty on an error or a list older than
  /// what is known.
  ObjectChanges OnList(tl::expected<ObjectList, ReadError> const& aResponse, base::Instant aNow);
  ObjectChanges OnChanges(tl::expected<ObjectChanges, ReadError> const& aResponse,
                          base::Instant aNow);

  /// Changes from another process that watches the same objects and heard of
  /// them at the given time. Empty if they do not follow on what is known here.
  std::optional<ObjectChanges> OnRelayed(base::ObjectVersion aFrom, ObjectChanges const& aChanges,
                                         base::Instant aReceivedAt);

  /// Everything up to this version has been handed out.
  base::ObjectVersion Version() const { return m_version; }
  /// When the platform last answered.
  base::Instant LastContact() const { return m_lastContact; }
  bool HasListed() const { return m_hasListed; }

private:
  void RecordContact(base::Instant aNow);
  void PauseAfterFailure(base::Instant aNow) { m_next = aNow + m_backoff.Next(); }
  bool Apply(ObjectChange const& aChange);
  ObjectChanges ApplyNew(ObjectChanges const& aChanges);

  Backoff m_backoff;
  bool m_mustList = true;
  bool m_hasListed = false;
  base::ObjectVersion m_version;
  std::map<ObjectKey, base::ObjectVersion> m_known;
  base::Instant m_next{};
  base::Instant m_requestedAt{};
  base::Instant m_lastContact{};
};

} // namespace sardinefold::objectstore
