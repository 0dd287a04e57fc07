#include "Tests/Support/SiteFixture.h"

#include "Base/Json.h"
#include "Programs/ProgramLifecycle.h"

#include <boost/test/unit_test.hpp>

namespace sardinefold::tests {

namespace {

/// Each process has a loopback address of its own, so that all can use the same
/// ports.
constexpr char kStoreHost[] = "127.0.1.1";
constexpr char kGatewayHost[] = "127.0.1.2";
constexpr char kServiceHost[] = "127.0.1.3";
constexpr char kSecondGatewayHost[] = "127.0.1.4";

/// Returns the hosts of the site, and that of a further upstream.
std::vector<std::string> Hosts()
{
  return { kStoreHost,  kGatewayHost, kServiceHost, kSecondGatewayHost,
           "127.0.2.1", "127.0.2.2",  "127.0.3.1" };
}

} // namespace

SiteFixture::SiteFixture(SiteShape const& aShape)
  : m_port(Hosts())
  , m_peerPort(Hosts())
  , m_readinessPort(Hosts())
  , m_storeServer(
      m_loop, {}, [this](base::HttpExchange& aExchange) { return m_store.Serve(aExchange); },
      standins::RenderRequestError)
{
  // Only errors are logged unless the environment sets another level.
  auto const level = programs::ReadEnvironment("SARDINEFOLD_LOG_LEVEL").value_or("error");
  BOOST_REQUIRE(base::log::Configure("site", level).has_value());
  auto const port = m_port.Port();
  m_callers = { kGatewayHost, port };
  m_readiness = { kGatewayHost, m_readinessPort.Port() };
  BOOST_REQUIRE(m_storeServer.Listen({ kStoreHost, port }).has_value());
  m_store.Attach(m_storeServer);
  m_store.Put("config", "main", standins::SiteConfiguration(1));
  base::ProcessProfile profile;
  profile.m_failureDomain = base::FailureDomainId::FromValidated("a");
  profile.m_bounds = aShape.m_bounds;
  profile.m_regions = aShape.m_regions;
  profile.m_peerPort = m_peerPort.Port();
  profile.m_objectStore = { kStoreHost, port };
  for (int number = 1; number <= 2; ++number) {
    standins::SiteEngineSettings settings;
    settings.m_instance = "i-" + std::to_string(number);
    settings.m_deployment = "llm";
    settings.m_address = { "127.0.2." + std::to_string(number), port };
    settings.m_models = { "common", "own" + std::to_string(number) };
    settings.m_failureDomain = number == 2 ? aShape.m_secondDomain : "a";
    settings.m_version = number == 2 ? aShape.m_secondVersion : "v1";
    m_engines.push_back(std::make_unique<standins::SiteEngine>(m_loop, m_store, settings));
    BOOST_REQUIRE(m_engines.back()->Start().has_value());
    auto side = profile;
    side.m_host = base::HostId::FromValidated("side-" + std::to_string(number));
    side.m_address = settings.m_address.m_address;
    side.m_failureDomain = base::FailureDomainId::FromValidated(settings.m_failureDomain);
    side.m_engine = settings.m_address;
    side.m_engineDeployment = base::DeploymentId::FromValidated("llm");
    m_loaderProfiles.push_back(side);
    m_loaders.push_back(std::make_unique<Loader>(m_loop, side));
    BOOST_REQUIRE(m_loaders.back()->Start().has_value());
  }
  standins::SiteEngineSettings service;
  service.m_instance = "i-desk";
  service.m_deployment = "desk";
  service.m_address = { kServiceHost, port };
  service.m_hasModels = false;
  m_service = std::make_unique<standins::SiteEngine>(m_loop, m_store, service);
  BOOST_REQUIRE(m_service->Start().has_value());
  profile.m_host = base::HostId::FromValidated("front-1");
  profile.m_address = kGatewayHost;
  profile.m_callers = m_callers;
  profile.m_readiness = m_readiness;
  m_gateway = std::make_unique<Gateway>(m_loop, profile);
  BOOST_REQUIRE(m_gateway->Start().has_value());
  m_secondGateway = profile;
  m_secondGateway.m_host = base::HostId::FromValidated("front-2");
  m_secondGateway.m_address = kSecondGatewayHost;
  m_secondGateway.m_callers = { kSecondGatewayHost, port };
  m_secondGateway.m_readiness = { kSecondGatewayHost, m_readinessPort.Port() };
}

boost::asio::awaitable<void> SiteFixture::WaitUntilReady()
{
  for (int attempt = 0; attempt < 100; ++attempt) {
    base::HttpRequest request;
    request.m_target = "/v1/ready";
    auto endpoint = m_readiness;
    auto const response =
      co_await m_client.Fetch(std::move(endpoint), std::move(request), std::chrono::seconds(1));
    if (response && response->m_status == 200) {
      // Long enough to receive one status report from each loader.
      co_await m_loop.Sleep(std::chrono::milliseconds(900));
      co_return;
    }
    co_await m_loop.Sleep(std::chrono::milliseconds(50));
  }
  BOOST_FAIL("the gateway did not become ready");
}

void SiteFixture::DestroyTasks()
{
  struct Access : boost::asio::execution_context
  {
    static auto Shutdown() { return &Access::shutdown; }
  };
  (m_loop.Context().*Access::Shutdown())();
}

base::HttpRequest SiteFixture::Request(std::string aMethod, std::string aTarget, std::string aId)
{
  base::HttpRequest request;
  request.m_method = std::move(aMethod);
  request.m_target = std::move(aTarget);
  request.m_headers.Add("Host", "site.example");
  request.m_headers.Add("Request-Id", std::move(aId));
  request.m_headers.Add("Deadline-Ms", "5000");
  request.m_headers.Add("Authorization", "Bearer key-1");
  return request;
}

base::HttpRequest SiteFixture::ModelRequest(std::string aTarget, std::string aId,
                                            std::string aModel)
{
  auto request = Request("POST", std::move(aTarget), std::move(aId));
  request.m_headers.Add("Model", std::move(aModel));
  request.m_headers.Add("Token-Count", "100,10");
  request.m_body = "prompt";
  return request;
}

boost::asio::awaitable<tl::expected<base::HttpResponse, base::HttpFailure>> SiteFixture::Send(
  base::HttpRequest aRequest, base::Duration aTimeout)
{
  auto endpoint = m_callers;
  co_return co_await m_client.Fetch(std::move(endpoint), std::move(aRequest), aTimeout);
}

std::size_t SiteFixture::RunsOf(std::string const& aId) const
{
  std::size_t runs = 0;
  auto const count = [&](standins::SiteEngine const& aEngine) {
    for (auto const& run : aEngine.Runs()) {
      runs += run.m_request == aId ? 1 : 0;
    }
  };
  for (auto const& engine : m_engines) {
    count(*engine);
  }
  count(*m_service);
  return runs;
}

void SiteFixture::SetFault(standins::SiteEngine& aEngine, char const* aName, Json::Value aValue)
{
  Json::Value faults;
  faults[aName] = std::move(aValue);
  BOOST_REQUIRE(aEngine.Faults().Apply(faults).has_value());
}

} // namespace sardinefold::tests
