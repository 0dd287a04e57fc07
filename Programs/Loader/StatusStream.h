#pragma once

#include "Programs/FleetPost.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sardinefold::programs {

/// Tells one kind of receivers of an engine's status: the whole of it when
/// something has changed that they act on, and to those that are new; in between
/// only that it still holds.
class StatusStream
{
public:
  StatusStream(FleetPost& aPost, base::FailureDomainId aHome)
    : m_post(aPost)
    , m_home(std::move(aHome))
  {
  }

  void Send(std::vector<agent::MulticastReceiver> aReceivers, agent::EngineStatus aStatus,
            bool aIsDue)
  {
    auto steadyText = agent::EncodeFleetMessage(SteadyPart(aStatus));
    bool const hasChanged = steadyText != m_lastSteady;
    if (hasChanged) {
      m_lastSteady = std::move(steadyText);
      ++m_number;
    }
    aStatus.m_number = m_number;
    if (hasChanged) {
      m_post.Cast(m_home, aReceivers, aStatus);
    } else {
      m_post.Cast(m_home, NewAmong(aReceivers), aStatus);
      if (aIsDue) {
        m_post.Cast(m_home, aReceivers, AliveOf(aStatus));
      }
    }
    m_lastReceivers = std::move(aReceivers);
  }

  /// To a receiver that has missed the last one.
  void SendAgain(base::Endpoint const& aReceiver, agent::EngineStatus aStatus)
  {
    aStatus.m_number = m_number;
    m_post.Send(aReceiver, aStatus);
  }

private:
  /// Load and time left change all the time and are worth no message.
  static agent::EngineStatus SteadyPart(agent::EngineStatus aStatus)
  {
    aStatus.m_gatewaysPresent = 0;
    aStatus.m_running = 0;
    aStatus.m_waiting = 0;
    aStatus.m_cacheUsed = base::Tokens();
    aStatus.m_change.m_readyIn = base::Duration::zero();
    return aStatus;
  }

  static agent::EngineHeartbeat AliveOf(agent::EngineStatus const& aStatus)
  {
    return { aStatus.m_host,    aStatus.m_engine,   aStatus.m_number,         aStatus.m_running,
             aStatus.m_waiting, aStatus.m_canOrder, aStatus.m_gatewaysPresent };
  }

  std::vector<agent::MulticastReceiver> NewAmong(
    std::vector<agent::MulticastReceiver> const& aReceivers) const
  {
    std::vector<agent::MulticastReceiver> found;
    for (auto const& receiver : aReceivers) {
      bool const isKnown =
        std::ranges::any_of(m_lastReceivers, [&receiver](agent::MulticastReceiver const& aKnown) {
          return aKnown.m_endpoint == receiver.m_endpoint;
        });
      if (!isKnown) {
        found.push_back(receiver);
      }
    }
    return found;
  }

  FleetPost& m_post;
  base::FailureDomainId m_home;
  std::string m_lastSteady;
  std::uint64_t m_number = 0;
  std::vector<agent::MulticastReceiver> m_lastReceivers;
};

} // namespace sardinefold::programs
