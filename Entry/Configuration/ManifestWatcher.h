#pragma once

#include "Entry/Configuration/ConfigurationMessages.h"

#include <cstdint>
#include <optional>

namespace sardinefold::entry {

/// Follows the manifest in the platform: reads it once, then waits for
/// changes. After a failure it pauses, longer each time and by a random part,
/// so that relays do not return together after an outage.
class ManifestWatcher
{
public:
  explicit ManifestWatcher(std::uint64_t aSeed);

  /// Only relays follow the platform.
  void SetActive(bool aIsActive);
  void Collect(base::Instant aNow, ConfigurationActions& aActions);

  /// The manifest was read, by a call sent at aSent; none if the environment
  /// has no document.
  void OnManifest(base::ObjectVersion aObjectVersion, base::Instant aSent);
  /// A watch ended without a change.
  void OnUnchanged(base::Instant aSent);
  /// A call failed, or the version watched has been compacted.
  void OnFailure(base::Instant aNow);
  void OnCompacted();

  /// When the platform last confirmed what it told.
  std::optional<base::Instant> ConfirmedAt() const { return m_confirmedAt; }

private:
  enum class State
  {
    Inactive,
    MustRead,
    MustWatch,
    Waiting
  };

  State m_state = State::Inactive;
  base::ObjectVersion m_seen;
  base::Instant m_nextAttempt{};
  std::optional<base::Instant> m_confirmedAt;
  unsigned m_failures = 0;
  std::uint64_t m_random;
};

} // namespace sardinefold::entry
