#pragma once

#include "Entry/Configuration/ConfigurationMessages.h"

#include <cstdint>
#include <optional>

namespace sardinefold::entry {

/// Follows the manifest in the platform: reads it once, then watches it. Retries
/// after a failure with exponential backoff and jitter, so that relays do not all
/// return at once after an outage.
class ManifestWatcher
{
public:
  explicit ManifestWatcher(std::uint64_t aSeed);

  /// Starts or stops following; only relays do.
  void SetActive(bool aIsActive);
  void Collect(base::Instant aNow, ConfigurationActions& aActions);

  /// Records that a call sent at aSent read the manifest.
  void OnManifest(base::ObjectVersion aObjectVersion, base::Instant aSent);
  /// Records that a watch sent at aSent ended without a change.
  void OnUnchanged(base::Instant aSent);
  /// Records a failed call or, for OnCompacted, that the watched version has been
  /// compacted.
  void OnFailure(base::Instant aNow);
  void OnCompacted();

  /// Returns the sending time of the last call that the platform answered.
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
