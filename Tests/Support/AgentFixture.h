#pragma once

#include "Agent/AgentClient.h"
#include "Base/Http/HttpServer.h"
#include "Programs/Agent/AgentProgram.h"
#include "Programs/SystemClock.h"
#include "StandIns/Platform/PlatformStandIn.h"
#include "Tests/Support/PortClaim.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace sardinefold::tests {

/// An agent before an upstream that a test brings, with the platform and the client of an entry,
/// all on one event loop.
class AgentFixture
{
public:
  static constexpr long kMemoryKilobytes = 64 * 1024;
  static constexpr base::Duration kResponseTimeout = std::chrono::seconds(1);

  AgentFixture();

  /// Where the upstream has to listen.
  base::Endpoint UpstreamAddress() const { return { "127.0.3.1", m_port.Port() }; }
  void StartAgent(std::size_t aConcurrency);

  /// Sends a request that must not run twice to the agent. The client adds what identifies it.
  boost::asio::awaitable<agent::ForwardOutcome> Forward(base::ClaimId aClaim, std::string aBody,
                                                        base::Cancellation& aCancellation);

  template<typename Body>
  void Run(Body aBody)
  {
    auto run = [&]() -> boost::asio::awaitable<void> {
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
  }

  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  PortClaim m_port{ { "127.0.3.1" } };
  standins::PlatformStandIn m_platform;
  base::HttpServer m_platformServer;
  base::HttpClient m_http{ m_loop, {} };
  base::PeerAuthentication m_authentication;
  agent::AgentClient m_client{ m_loop, m_http, m_authentication, {} };
  std::unique_ptr<programs::AgentProgram> m_agent;
};

} // namespace sardinefold::tests
