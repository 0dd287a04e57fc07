#include "Agent/Fleet/EngineDigestBoard.h"

#include <utility>

namespace sardinefold::agent {

namespace {

/// Digests are sent ten times a second.
constexpr base::Duration kMaximumStatusAge = std::chrono::milliseconds(400);
constexpr base::Duration kCompleteInterval = std::chrono::milliseconds(500);
/// Loaders send a heartbeat every 0.8 s. One that is silent for longer is not reported
/// as running.
constexpr base::Duration kLoaderTimeout = std::chrono::milliseconds(1200);
/// Keeps a digest well below the size of a datagram, at about a kilobyte a status.
constexpr std::size_t kMaximumStatuses = 32;
constexpr std::size_t kMaximumHeartbeats = 200;

EngineHeartbeat HeartbeatOf(EngineStatus const& aStatus)
{
  return { aStatus.m_host,    aStatus.m_engine,  aStatus.m_incarnation, aStatus.m_number,
           aStatus.m_running, aStatus.m_waiting, aStatus.m_canOrder,    aStatus.m_gatewaysPresent };
}

} // namespace

bool EngineDigestBoard::Record(EngineHeartbeat const& aHeartbeat, base::Instant aNow)
{
  auto& loader = m_loaders[aHeartbeat.m_host];
  bool const isOvertaken = loader.m_heartbeat.m_incarnation == aHeartbeat.m_incarnation &&
                           loader.m_heartbeat.m_number > aHeartbeat.m_number;
  if (isOvertaken) {
    return false;
  }
  loader = { aHeartbeat, aNow };
  return true;
}

void EngineDigestBoard::OnStatus(EngineStatus aStatus, base::Instant aNow)
{
  if (Record(HeartbeatOf(aStatus), aNow)) {
    auto const host = aStatus.m_host;
    m_pending.insert_or_assign(host, Pending{ std::move(aStatus), aNow });
  }
}

void EngineDigestBoard::OnHeartbeat(EngineHeartbeat const& aHeartbeat, base::Instant aNow)
{
  Record(aHeartbeat, aNow);
}

void EngineDigestBoard::OnSentElsewhere(EngineDigest const& aDigest)
{
  for (auto const& status : aDigest.m_statuses) {
    auto const found = m_pending.find(status.m_host);
    bool const isSent = found != m_pending.end() &&
                        found->second.m_status.m_incarnation == status.m_incarnation &&
                        found->second.m_status.m_number <= status.m_number;
    if (isSent) {
      m_pending.erase(found);
    }
  }
}

std::vector<EngineDigest> EngineDigestBoard::TakeDigests(base::Instant aNow)
{
  std::erase_if(m_pending, [aNow](auto const& aItem) {
    return aNow - aItem.second.m_receivedAt > kMaximumStatusAge;
  });
  std::erase_if(m_loaders, [aNow](auto const& aItem) {
    return aNow - aItem.second.m_lastContactAt > kLoaderTimeout;
  });
  std::vector<EngineDigest> digests{ { m_domain, {}, {} } };
  if (aNow - m_lastCompleteAt >= kCompleteInterval) {
    m_lastCompleteAt = aNow;
    for (auto const& [host, loader] : m_loaders) {
      if (m_pending.contains(host)) {
        continue;
      }
      if (digests.back().m_heartbeats.size() >= kMaximumHeartbeats) {
        digests.push_back({ m_domain, {}, {} });
      }
      digests.back().m_heartbeats.push_back(loader.m_heartbeat);
    }
  }
  for (auto& [host, pending] : std::exchange(m_pending, {})) {
    if (digests.back().m_statuses.size() >= kMaximumStatuses) {
      digests.push_back({ m_domain, {}, {} });
    }
    auto const& latest = m_loaders.at(host).m_heartbeat;
    pending.m_status.m_running = latest.m_running;
    pending.m_status.m_waiting = latest.m_waiting;
    digests.back().m_statuses.push_back(std::move(pending.m_status));
  }
  return digests;
}

} // namespace sardinefold::agent
