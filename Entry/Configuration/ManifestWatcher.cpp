#include "Entry/Configuration/ManifestWatcher.h"

#include "Base/Digest.h"

#include <algorithm>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// Bounds the age of the version that a relay reports as the newest.
constexpr base::Duration kWatchTimeout = 1500ms;
constexpr base::Duration kInitialBackoff = 100ms;
constexpr base::Duration kMaximumBackoff = 2s;
constexpr unsigned kMaxDoublings = 5;

} // namespace

ManifestWatcher::ManifestWatcher(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void ManifestWatcher::SetActive(bool aIsActive)
{
  if (!aIsActive) {
    m_state = State::Inactive;
    return;
  }
  if (m_state == State::Inactive) {
    m_state = State::MustRead;
  }
}

void ManifestWatcher::Collect(base::Instant aNow, ConfigurationActions& aActions)
{
  if (aNow < m_nextAttempt) {
    return;
  }
  if (m_state == State::MustRead) {
    m_state = State::Waiting;
    aActions.push_back(ReadManifestAction{});
  } else if (m_state == State::MustWatch) {
    m_state = State::Waiting;
    aActions.push_back(WatchManifestAction{ m_seen, kWatchTimeout });
  }
}

void ManifestWatcher::OnManifest(base::ObjectVersion aObjectVersion, base::Instant aSent)
{
  m_seen = std::max(m_seen, aObjectVersion);
  OnUnchanged(aSent);
}

void ManifestWatcher::OnUnchanged(base::Instant aSent)
{
  m_confirmedAt = std::max(aSent, m_confirmedAt.value_or(aSent));
  m_failures = 0;
  if (m_state != State::Inactive) {
    m_state = State::MustWatch;
  }
}

void ManifestWatcher::OnFailure(base::Instant aNow)
{
  if (m_state == State::Inactive) {
    return;
  }
  auto const doubled = kInitialBackoff * (1 << std::min(m_failures++, kMaxDoublings));
  auto const backoff = std::min<base::Duration>(doubled, kMaximumBackoff);
  m_random = base::FastHash("pause", m_random);
  auto const share = static_cast<double>(m_random % 1024) / 1024;
  m_nextAttempt = aNow + base::FromSeconds(base::ToSeconds(backoff) * (0.5 + share / 2));
  m_state = State::MustRead;
}

void ManifestWatcher::OnCompacted()
{
  if (m_state != State::Inactive) {
    m_state = State::MustRead;
  }
}

} // namespace sardinefold::entry
