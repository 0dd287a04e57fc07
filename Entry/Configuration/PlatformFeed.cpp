#include "Entry/Configuration/PlatformFeed.h"

#include "Base/Digest.h"

#include <algorithm>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// Bounds the age of the news that a relay vouches for.
constexpr base::Duration kWatchTime = 1500ms;
constexpr base::Duration kFirstPause = 100ms;
constexpr base::Duration kLongestPause = 2s;
constexpr unsigned kMaxDoublings = 5;

} // namespace

PlatformFeed::PlatformFeed(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void PlatformFeed::SetActive(bool aIsActive)
{
  if (!aIsActive) {
    m_state = State::Inactive;
    return;
  }
  if (m_state == State::Inactive) {
    m_state = State::MustRead;
  }
}

void PlatformFeed::Collect(base::Instant aNow, NewsActions& aActions)
{
  if (aNow < m_notBefore) {
    return;
  }
  if (m_state == State::MustRead) {
    m_state = State::Waiting;
    aActions.push_back(ReadManifestAction{});
  } else if (m_state == State::MustWatch) {
    m_state = State::Waiting;
    aActions.push_back(WatchManifestAction{ m_seen, kWatchTime });
  }
}

void PlatformFeed::OnManifest(base::ObjectVersion aObjectVersion, base::Instant aSent)
{
  m_seen = std::max(m_seen, aObjectVersion);
  OnQuiet(aSent);
}

void PlatformFeed::OnQuiet(base::Instant aSent)
{
  m_confirmedAt = std::max(aSent, m_confirmedAt.value_or(aSent));
  m_failures = 0;
  if (m_state != State::Inactive) {
    m_state = State::MustWatch;
  }
}

void PlatformFeed::OnFailure(base::Instant aNow)
{
  if (m_state == State::Inactive) {
    return;
  }
  auto const doubled = kFirstPause * (1 << std::min(m_failures++, kMaxDoublings));
  auto const pause = std::min<base::Duration>(doubled, kLongestPause);
  m_random = base::FastHash("pause", m_random);
  auto const share = static_cast<double>(m_random % 1024) / 1024;
  m_notBefore = aNow + base::FromSeconds(base::ToSeconds(pause) * (0.5 + share / 2));
  m_state = State::MustRead;
}

void PlatformFeed::OnCompacted()
{
  if (m_state != State::Inactive) {
    m_state = State::MustRead;
  }
}

} // namespace sardinefold::entry
