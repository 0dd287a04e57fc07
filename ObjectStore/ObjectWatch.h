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

/// Follows the objects of one kind: lists them, then watches from that version.
/// Lists again when the platform has compacted the version or did not respond,
/// backs off exponentially with jitter while calls fail, and returns each change
/// once, in the order of versions, including deletions that were missed in
/// between.
class ObjectWatch
{
public:
  ObjectWatch(BackoffLimits aBackoff, std::uint64_t aSeed);

  WatchStep Next(base::Instant aNow);
  /// Returns the changes from the known state; empty on an error, or if the list is
  /// older than the known state.
  ObjectChanges OnList(tl::expected<ObjectList, ReadError> const& aResponse, base::Instant aNow);
  ObjectChanges OnChanges(tl::expected<ObjectChanges, ReadError> const& aResponse,
                          base::Instant aNow);

  /// Applies changes from another process that watches the same objects and
  /// received them at aReceivedAt. Returns nothing if they do not continue from
  /// the version that is known here.
  std::optional<ObjectChanges> OnRelayed(base::ObjectVersion aFrom, ObjectChanges const& aChanges,
                                         base::Instant aReceivedAt);

  /// All changes up to this version have been returned.
  base::ObjectVersion Version() const { return m_version; }
  /// When the platform last responded.
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
