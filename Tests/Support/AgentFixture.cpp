#include "Tests/Support/AgentFixture.h"

#include "Base/Json.h"

#include <boost/test/unit_test.hpp>

namespace sardinefold::tests {

namespace {

constexpr char kSecret[] = "fleet-secret-of-the-test";
constexpr double kPlatformRate = 1000;

} // namespace

AgentFixture::AgentFixture()
  : m_platform(m_loop, kPlatformRate, kPlatformRate)
  , m_platformServer(
      m_loop, {}, [this](base::HttpExchange& aExchange) { return m_platform.Serve(aExchange); },
      [](base::HttpRequestError const& aError) {
        return base::JsonResponse(aError.m_status, "{}");
      })
  , m_authentication(kSecret)
{
  BOOST_REQUIRE(m_platformServer.Listen({ "127.0.0.1", 0 }));
}

void AgentFixture::StartAgent(std::size_t aConcurrency)
{
  programs::AgentConfiguration configuration;
  configuration.m_listen = { "127.0.0.1", 0 };
  configuration.m_upstreamAddress = UpstreamAddress();
  configuration.m_upstreamKind = operators::UpstreamKind::Service;
  configuration.m_upstream = base::UpstreamId::FromValidated("u1");
  configuration.m_fleetSecret = kSecret;
  configuration.m_platform = { { "127.0.0.1", m_platformServer.Port() } };
  configuration.m_concurrency = aConcurrency;
  configuration.m_maximumWaiting = 2;
  configuration.m_responseTimeout = kResponseTimeout;
  configuration.m_memoryLimit = base::Bytes(kMemoryKilobytes * 1024);
  m_agent = std::make_unique<programs::AgentProgram>(m_loop, std::move(configuration));
  BOOST_REQUIRE(m_agent->Start());
}

boost::asio::awaitable<agent::ForwardOutcome> AgentFixture::Forward(
  base::ClaimId aClaim, std::string aBody, base::Cancellation& aCancellation)
{
  agent::ForwardRequest request;
  request.m_head.m_request = base::RequestId::FromValidated("r1");
  request.m_head.m_workspace = base::WorkspaceId::FromValidated("w1");
  request.m_head.m_route = base::RouteId::FromValidated("bookings");
  request.m_head.m_firstByteLimit = std::chrono::seconds(5);
  request.m_head.m_claim = std::move(aClaim);
  request.m_message.m_method = "POST";
  request.m_message.m_target = "/bookings";
  request.m_message.m_body = std::move(aBody);
  base::Endpoint endpoint{ "127.0.0.1", m_agent->Port() };
  co_return co_await m_client.Forward(std::move(request), std::move(endpoint), aCancellation);
}

} // namespace sardinefold::tests
