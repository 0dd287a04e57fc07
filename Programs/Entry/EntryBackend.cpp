#include "Programs/Entry/EntryBackend.h"

#include "Base/Digest.h"
#include "Base/Log.h"
#include "Caller/Admission.h"

namespace sardinefold::programs {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kSeedBytes = 8;

} // namespace

EntryBackend::EntryBackend(base::EventLoop& aLoop, base::HttpClient& aHttp,
                           base::PeerAuthentication const& aAuthentication, Allowances& aAllowances,
                           entry::KeysEndpoint& aKeys)
  : m_loop(aLoop)
  , m_allowances(aAllowances)
  , m_keys(aKeys)
  , m_agents(aLoop, aHttp, aAuthentication, {})
  , m_retryBudget({}, aLoop.Now())
  , m_chooser(m_directory, base::FastHash(base::RandomHex(kSeedBytes)))
  , m_statusPoller(aLoop, aHttp, aAuthentication, m_directory, m_chooser)
{
}

void EntryBackend::Apply(std::unique_ptr<operators::Document const> aDocument)
{
  m_document = std::move(aDocument);
  m_routes = std::make_unique<caller::RouteTable const>(*m_document);
  m_keys.SetDocument(*m_document);
  m_directory.SetDocument(*m_document);
  m_chooser.SetDocument(*m_document);
  m_allowances.SetDocument(*m_document);
  base::log::Info("document in force",
                  { { "environment", m_document->m_environment.Text() },
                    { "version", std::to_string(m_document->m_version.Value()) } });
}

void EntryBackend::SetHosts(std::vector<agent::AgentHost> aHosts)
{
  m_directory.SetHosts(std::move(aHosts));
  m_chooser.UpdateFromDirectory();
}

asio::awaitable<tl::expected<agent::DispatchResponse<EntryBackend::Reply>, agent::DispatchError>>
EntryBackend::Dispatch(agent::DispatchRequest const& aRequest, base::HttpRequest aMessage,
                       base::Cancellation& aCancellation)
{
  agent::DispatchSession session(m_loop, m_agents, m_chooser, *this, m_retryBudget);
  auto result = co_await session.Run(aRequest, std::move(aMessage), aCancellation);
  co_return result;
}

void EntryBackend::RecordResponse(agent::DispatchRequest const& aRequest,
                                  base::UpstreamId const& aUpstream, bool aIsComplete)
{
  auto const end = aIsComplete ? agent::AttemptEnd::Served : agent::AttemptEnd::Failed;
  m_chooser.OnEnded(aRequest, aUpstream, end, m_loop.Now());
}

asio::awaitable<tl::expected<agent::TokenReservation, agent::DispatchError>> EntryBackend::Reserve(
  agent::DispatchRequest const& aRequest)
{
  auto const tokens = agent::ReservedTokens(aRequest);
  if (tokens == base::Tokens(0) || aRequest.m_workspace == caller::OpenWorkspace()) {
    co_return agent::TokenReservation{};
  }
  auto workspace = aRequest.m_workspace;
  auto const granted =
    co_await m_allowances.Reserve(std::move(workspace), tokens, aRequest.m_deadline);
  if (!granted) {
    agent::DispatchError error{ agent::DispatchErrorCode::AllowanceExceeded,
                                base::NotRun::BeforeSending(
                                  "the workspace's rate and burst hold no tokens for it in time"),
                                granted.error().m_retryAfter };
    co_return tl::make_unexpected(std::move(error));
  }
  co_return agent::TokenReservation{ agent::ReservationId(granted->m_id.Value()), tokens,
                                     granted->m_startBy };
}

void EntryBackend::Settle(agent::ReservationId aReservation, base::Tokens aUsed)
{
  if (aReservation != agent::ReservationId()) {
    m_allowances.Settle(entry::ReservationId(aReservation.Value()), aUsed);
  }
}

} // namespace sardinefold::programs
