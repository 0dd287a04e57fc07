#pragma once

#include "Agent/Fleet/FleetCodec.h"
#include "Agent/Fleet/FleetMulticast.h"
#include "Base/DatagramEndpoint.h"
#include "Base/Log.h"

#include <functional>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Exchanges messages with the fleet's other processes, and forwards those that
/// are also addressed to other processes of its failure domain.
class FleetMessenger
{
public:
  /// Called for each message with the endpoint of its original sender.
  using Handler =
    std::function<void(agent::FleetMessage const& aMessage, base::Endpoint const& aOrigin)>;

  explicit FleetMessenger(base::EventLoop& aLoop)
    : m_datagrams(aLoop)
  {
  }

  tl::expected<void, std::string> Listen(base::Endpoint const& aEndpoint, Handler aHandler)
  {
    m_port = aEndpoint.m_port;
    m_handler = std::move(aHandler);
    return m_datagrams.Listen(aEndpoint,
                              [this](std::string_view aText, base::Endpoint const& aSender) {
                                OnDatagram(aText, aSender);
                              });
  }

  void Send(base::Endpoint const& aReceiver, agent::FleetMessage const& aMessage)
  {
    m_datagrams.Send(aReceiver, agent::EncodeFleetMessage(aMessage));
  }

  /// Sends a message to each of the receivers.
  void SendToEach(std::vector<base::Endpoint> const& aReceivers,
                  agent::FleetMessage const& aMessage)
  {
    if (aReceivers.empty()) {
      return;
    }
    auto const text = agent::EncodeFleetMessage(aMessage);
    for (auto const& receiver : aReceivers) {
      m_datagrams.Send(receiver, text);
    }
  }

  /// Sends a message to several receivers as agent::PlanMulticast() says.
  void Multicast(base::FailureDomainId const& aLocalFailureDomain,
                 std::vector<agent::MulticastReceiver> const& aReceivers,
                 agent::FleetMessage const& aMessage)
  {
    std::vector<base::Endpoint> direct;
    for (auto const& datagram :
         agent::PlanMulticast(aLocalFailureDomain, aReceivers, m_multicastRound++)) {
      if (datagram.m_forwardTo.empty()) {
        direct.push_back(datagram.m_receiver);
        continue;
      }
      m_datagrams.Send(datagram.m_receiver, agent::EncodeFleetMessage(agent::FleetEnvelope{
                                              aMessage, std::nullopt, datagram.m_forwardTo }));
    }
    SendToEach(direct, aMessage);
  }

private:
  /// More than any multicast names. Forwarding to any number of receivers would
  /// let a sender amplify traffic.
  static constexpr std::size_t kMaximumForwards = 64;

  void OnDatagram(std::string_view aText, base::Endpoint const& aSender)
  {
    auto envelope = agent::DecodeFleetMessage(aText);
    if (!envelope) {
      base::log::Warning("ignoring malformed fleet message",
                         { { "sender", aSender.Text() }, { "error", envelope.error() } });
      return;
    }
    auto const origin = envelope->m_origin.value_or(aSender);
    Forward(*envelope, origin);
    m_handler(envelope->m_message, origin);
  }

  void Forward(agent::FleetEnvelope const& aEnvelope, base::Endpoint const& aOrigin)
  {
    if (aEnvelope.m_forwardTo.empty() || aEnvelope.m_forwardTo.size() > kMaximumForwards) {
      return;
    }
    auto const text =
      agent::EncodeFleetMessage(agent::FleetEnvelope{ aEnvelope.m_message, aOrigin, {} });
    for (auto const& receiver : aEnvelope.m_forwardTo) {
      // All processes of the fleet use one port, so other ports are ignored.
      if (receiver.m_port == m_port) {
        m_datagrams.Send(receiver, text);
      }
    }
  }

  base::DatagramEndpoint m_datagrams;
  Handler m_handler;
  std::uint16_t m_port = 0;
  std::size_t m_multicastRound = 0;
};

} // namespace sardinefold::programs
