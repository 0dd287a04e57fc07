#include "Entry/Configuration/Announcer.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// Delay per rank. Longer than a process takes to fetch and apply a changed
/// chunk.
constexpr base::Duration kStagger = 300ms;
/// An announcement without a response within this time counts as lost.
constexpr base::Duration kResponseTimeout = 250ms;
/// Time from an acknowledgement of an older version to the next announcement.
constexpr base::Duration kApplyInterval = 100ms;
constexpr base::Duration kMaximumBackoff = 4s;
constexpr base::Duration kKeepAliveInterval = 5s;
/// Keep-alive interval of announcers other than a listener's first one.
constexpr base::Duration kBackupKeepAliveInterval = 30s;
constexpr unsigned kMaxDoublings = 4;

} // namespace

void Announcer::SetListeners(std::vector<Listener> const& aListeners, base::Instant aNow)
{
  std::map<base::HostId, State> listeners;
  for (auto const& listener : aListeners) {
    auto const known = m_listeners.find(listener.m_host);
    State state;
    state.m_next = aNow + kStagger * static_cast<int>(listener.m_rank);
    if (known != m_listeners.end()) {
      state = std::move(known->second);
    }
    state.m_rank = listener.m_rank;
    state.m_isCounted = listener.m_isCounted;
    listeners.emplace(listener.m_host, std::move(state));
  }
  m_listeners = std::move(listeners);
}

void Announcer::OnNewVersion(base::Instant aNow)
{
  for (auto& [host, state] : m_listeners) {
    state.m_next = aNow + kStagger * static_cast<int>(state.m_rank);
    state.m_unanswered = 0;
  }
}

bool Announcer::IsDue(base::Instant aNow) const
{
  return std::ranges::any_of(m_listeners,
                             [aNow](auto const& aEntry) { return aNow >= aEntry.second.m_next; });
}

void Announcer::Collect(Announcement const& aAnnouncement, base::Instant aNow,
                        ConfigurationActions& aActions)
{
  for (auto& [host, state] : m_listeners) {
    if (aNow < state.m_next) {
      continue;
    }
    aActions.push_back(AnnounceAction{ host, aAnnouncement });
    auto const doubled = kResponseTimeout * (1 << std::min(state.m_unanswered, kMaxDoublings));
    state.m_next = aNow + std::min<base::Duration>(doubled, kMaximumBackoff);
    ++state.m_unanswered;
  }
}

void Announcer::OnAcknowledgement(base::HostId const& aFrom, Acknowledgement aAcknowledgement,
                                  base::DocumentVersion aCurrent, base::Instant aNow)
{
  auto const listener = m_listeners.find(aFrom);
  if (listener == m_listeners.end()) {
    return;
  }
  auto& state = listener->second;
  bool const isOlder = aAcknowledgement.m_inForce < state.m_acknowledged.m_inForce;
  if (isOlder && aAcknowledgement.m_inForce > base::DocumentVersion(0)) {
    // A later response has overtaken this one.
    return;
  }
  state.m_unanswered = 0;
  auto const& rejection = aAcknowledgement.m_rejection;
  bool const isSettled =
    aAcknowledgement.m_inForce >= aCurrent || (rejection && rejection->m_version >= aCurrent);
  bool const isComplete =
    aAcknowledgement.m_below.m_applied == aAcknowledgement.m_below.m_processes;
  auto const keepAlive =
    state.m_rank == 0 || !isComplete ? kKeepAliveInterval : kBackupKeepAliveInterval;
  state.m_next = aNow + (isSettled ? keepAlive : kApplyInterval);
  state.m_acknowledged = std::move(aAcknowledgement);
}

void Announcer::OnNoResponse(base::HostId const& aFrom, base::Instant aNow)
{
  auto const listener = m_listeners.find(aFrom);
  if (listener != m_listeners.end()) {
    listener->second.m_next = std::max(listener->second.m_next, aNow);
  }
}

Tally Announcer::Count(base::DocumentVersion aVersion) const
{
  Tally tally;
  tally.m_version = aVersion;
  for (auto const& [host, state] : m_listeners) {
    if (!state.m_isCounted) {
      continue;
    }
    auto const& acknowledged = state.m_acknowledged;
    auto const& rejection = acknowledged.m_rejection;
    bool const isRejected = rejection && rejection->m_version == aVersion;
    tally.AddProcess(
      { host, acknowledged.m_inForce, isRejected ? rejection->m_problem : std::string() });
    tally.Add(acknowledged.m_below);
  }
  return tally;
}

} // namespace sardinefold::entry
