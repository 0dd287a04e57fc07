#pragma once

#include "Base/Time.h"
#include "ObjectStore/Backoff.h"
#include "ObjectStore/PlatformError.h"
#include "ObjectStore/PlatformObject.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <variant>
#include <vector>

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
/// between. When the store has come back from a copy, lists at once and returns how
/// all that exists differs from what was known.
class ObjectWatch
{
public:
  ObjectWatch(BackoffLimits aBackoff, std::uint64_t aSeed);

  WatchStep Next(base::Instant aNow);
  /// Returns the changes from the known state; empty on an error, or if the
  /// response is older than the known state or does not continue it.
  ObjectChanges OnList(tl::expected<ObjectList, ReadError> const& aResponse, base::Instant aNow);
  ObjectChanges OnChanges(tl::expected<ObjectChanges, ReadError> const& aResponse,
                          base::Instant aNow);

  /// Returns what another process may apply of a response; none if it holds nothing
  /// new. To be called before the response is applied here. What it holds depends on
  /// the version that is known here, but not on which objects are.
  std::optional<ObjectUpdate> UpdateOf(tl::expected<ObjectList, ReadError> const& aResponse) const;
  std::optional<ObjectUpdate> UpdateOf(
    tl::expected<ObjectChanges, ReadError> const& aResponse) const;

  /// Applies an update from another process that watches the same objects and
  /// received it at aReceivedAt. Returns nothing if changes before it are missing
  /// here.
  std::optional<ObjectChanges> OnRelayed(ObjectUpdate const& aUpdate, base::Instant aReceivedAt);

  /// Records an era that the store has reached.
  void OnEra(base::StoreEra aEra) { m_latestEra = std::max(m_latestEra, aEra); }

  /// All changes up to this version have been returned.
  base::ObjectVersion Version() const { return m_version; }
  /// When the platform last responded.
  base::Instant LastContact() const { return m_lastContact; }
  bool HasListed() const { return m_hasListed; }
  /// Whether the store is known to be in a later era than the known state.
  bool IsOutdated() const { return m_latestEra > m_version.Era(); }

private:
  void RecordContact(base::Instant aNow);
  void PauseAfterFailure(base::Instant aNow) { m_next = aNow + m_backoff.Next(); }
  /// Whether a response to the last watch reports what follows the known state.
  bool IsContinuation(ObjectChanges const& aResponse) const;
  bool Apply(ObjectChange const& aChange);
  ObjectChanges ApplyNew(ObjectChanges const& aChanges);
  ObjectChanges ApplyAll(std::vector<Object> const& aObjects, base::ObjectVersion aVersion);

  Backoff m_backoff;
  bool m_mustList = true;
  bool m_hasListed = false;
  base::ObjectVersion m_version;
  std::map<ObjectKey, base::ObjectVersion> m_known;
  base::Instant m_next{};
  base::StoreEra m_latestEra;
  base::StoreEra m_requestedEra;
  base::Instant m_requestedAt{};
  base::Instant m_listedAt{};
  base::Instant m_lastContact{};
};

} // namespace sardinefold::objectstore
