#include "Programs/Entry/StatusPoller.h"

#include "Agent/AgentStatusCodec.h"
#include "Base/Log.h"

#include <algorithm>

namespace sardinefold::programs {

namespace {

/// Interval between polls of the same agent while there are few agents.
constexpr base::Duration kPollInterval = std::chrono::milliseconds(500);
/// Minimum time between two calls. It limits the traffic of an entry to 20 calls
/// a second of less than 1 KB each, however many agents there are.
constexpr base::Duration kMinimumPollGap = std::chrono::milliseconds(50);
constexpr base::Duration kResponseTimeout = std::chrono::seconds(1);

} // namespace

StatusPoller::StatusPoller(base::EventLoop& aLoop, base::HttpClient& aHttp,
                           base::PeerAuthentication const& aAuthentication,
                           agent::AgentDirectory const& aDirectory, RoutingChooser& aChooser)
  : m_loop(aLoop)
  , m_rpc(aHttp, aAuthentication)
  , m_directory(aDirectory)
  , m_chooser(aChooser)
{
}

boost::asio::awaitable<void> StatusPoller::Run()
{
  while (true) {
    auto const agents = AllAgents();
    auto const gap =
      std::max(kMinimumPollGap,
               base::Duration(kPollInterval / static_cast<std::int64_t>(agents.size() + 1)));
    for (auto const& agent : agents) {
      // An agent that responds slowly has at most one request pending.
      if (m_pendingPolls.insert(agent.m_upstream).second) {
        m_loop.Start(Poll(agent.m_upstream, agent.m_endpoint));
      }
      co_await m_loop.Sleep(gap);
    }
    co_await m_loop.Sleep(gap);
  }
}

std::vector<agent::KnownAgent> StatusPoller::AllAgents() const
{
  std::vector<agent::KnownAgent> agents;
  for (auto const& deployment : m_directory.Deployments()) {
    auto const& deploymentAgents = m_directory.AgentsOf(deployment);
    agents.insert(agents.end(), deploymentAgents.begin(), deploymentAgents.end());
  }
  return agents;
}

boost::asio::awaitable<void> StatusPoller::Poll(base::UpstreamId aUpstream,
                                                base::Endpoint aEndpoint)
{
  auto const requestedAt = m_loop.Now();
  std::string method = "agent.status";
  Json::Value parameters(Json::objectValue);
  auto const response = co_await m_rpc.Call(std::move(aEndpoint), std::move(method),
                                            std::move(parameters), kResponseTimeout);
  m_pendingPolls.erase(aUpstream);
  if (!response) {
    co_return;
  }
  auto const status = agent::DecodeAgentStatus(*response);
  if (!status) {
    base::log::Warning("malformed agent status ignored",
                       { { "upstream", aUpstream.Text() }, { "error", status.error() } });
    co_return;
  }
  if (status->m_upstream == aUpstream) {
    m_chooser.OnStatus(*status, requestedAt);
  }
}

} // namespace sardinefold::programs
