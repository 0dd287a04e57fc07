#pragma once

#include "Agent/AgentDirectory.h"
#include "Base/EventLoop.h"
#include "Base/Rpc/RpcClient.h"
#include "Programs/Entry/RoutingChooser.h"

#include <set>

namespace sardinefold::programs {

/// Asks the agents of the directory for their status, each again and again,
/// and hands the answers to the chooser.
class StatusPoller
{
public:
  StatusPoller(base::EventLoop& aLoop, base::HttpClient& aHttp,
               base::PeerAuthentication const& aAuthentication,
               agent::AgentDirectory const& aDirectory, RoutingChooser& aChooser);

  /// Asks for as long as the program runs.
  boost::asio::awaitable<void> Run();

private:
  std::vector<agent::KnownAgent> AllAgents() const;
  boost::asio::awaitable<void> Poll(base::UpstreamId aUpstream, base::Endpoint aEndpoint);

  base::EventLoop& m_loop;
  base::RpcClient m_rpc;
  agent::AgentDirectory const& m_directory;
  RoutingChooser& m_chooser;
  std::set<base::UpstreamId> m_pendingPolls;
};

} // namespace sardinefold::programs
