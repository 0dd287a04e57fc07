#pragma once

#include "Agent/AgentDirectory.h"
#include "Base/EventLoop.h"
#include "Base/Rpc/RpcClient.h"
#include "Programs/Entry/RoutingChooser.h"

#include <set>

namespace sardinefold::programs {

/// Polls the status of all agents in the directory in turn and passes the
/// responses to the chooser.
class StatusPoller
{
public:
  StatusPoller(base::EventLoop& aLoop, base::HttpClient& aHttp,
               base::PeerAuthentication const& aAuthentication,
               agent::AgentDirectory const& aDirectory, RoutingChooser& aChooser);

  /// Polls for as long as the program runs.
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
