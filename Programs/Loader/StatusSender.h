#pragma once

#include "Programs/StatusMessenger.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace sardinefold::programs {

/// Sends an engine's status to one kind of receivers. The complete status goes to
/// all when something has changed that they act on, and to new receivers at once.
/// Otherwise a heartbeat confirms that the last status still applies.
template<StatusMessenger Messenger>
class StatusSender
{
public:
  StatusSender(Messenger& aMessenger, base::FailureDomainId aLocalFailureDomain,
               base::IncarnationId aIncarnation)
    : m_messenger(aMessenger)
    , m_localFailureDomain(std::move(aLocalFailureDomain))
    , m_incarnation(std::move(aIncarnation))
  {
  }

  void Send(std::vector<agent::MulticastReceiver> aReceivers, agent::EngineStatus aStatus,
            bool aIsHeartbeatDue)
  {
    auto stable = WithoutVolatileFields(aStatus);
    bool const hasChanged = stable != m_lastStable;
    if (hasChanged) {
      m_lastStable = std::move(stable);
      ++m_number;
    }
    aStatus.m_incarnation = m_incarnation;
    aStatus.m_number = m_number;
    if (hasChanged) {
      m_messenger.Multicast(m_localFailureDomain, aReceivers, aStatus);
    } else {
      m_messenger.Multicast(m_localFailureDomain, NewReceivers(aReceivers), aStatus);
      if (aIsHeartbeatDue) {
        m_messenger.Multicast(m_localFailureDomain, aReceivers, MakeHeartbeat(aStatus));
      }
    }
    m_lastReceivers = std::move(aReceivers);
  }

  /// Sends the status to a receiver that has missed the last one.
  void Resend(base::Endpoint const& aReceiver, agent::EngineStatus aStatus)
  {
    aStatus.m_incarnation = m_incarnation;
    aStatus.m_number = m_number;
    m_messenger.Send(aReceiver, aStatus);
  }

private:
  /// Clears the fields that change all the time, such as load and time left, as
  /// changes of them aren't worth a message.
  static agent::EngineStatus WithoutVolatileFields(agent::EngineStatus aStatus)
  {
    aStatus.m_gatewaysPresent = 0;
    aStatus.m_running = 0;
    aStatus.m_waiting = 0;
    aStatus.m_cacheUsed = base::Tokens();
    aStatus.m_change.m_readyIn = base::Duration::zero();
    return aStatus;
  }

  static agent::EngineHeartbeat MakeHeartbeat(agent::EngineStatus const& aStatus)
  {
    return {
      aStatus.m_host,    aStatus.m_engine,  aStatus.m_incarnation, aStatus.m_number,
      aStatus.m_running, aStatus.m_waiting, aStatus.m_canOrder,    aStatus.m_gatewaysPresent
    };
  }

  std::vector<agent::MulticastReceiver> NewReceivers(
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

  Messenger& m_messenger;
  base::FailureDomainId m_localFailureDomain;
  base::IncarnationId m_incarnation;
  std::optional<agent::EngineStatus> m_lastStable;
  std::uint64_t m_number = 0;
  std::vector<agent::MulticastReceiver> m_lastReceivers;
};

} // namespace sardinefold::programs
