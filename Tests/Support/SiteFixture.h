#pragma once

#include "platform/Wire.h"
#include "Programs/Gateway/GatewayProgram.h"
#include "Programs/Loader/LoaderProgram.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteConfiguration.h"
#include "StandIns/Site/SiteEngine.h"
#include "Tests/Support/PortClaim.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinefold::tests {

/// How a site differs from the usual one.
struct SiteShape
{
  base::SiteBounds m_bounds;
  /// Failure domain of the second engine; all else is in "a".
  std::string m_secondDomain = "a";
  std::map<base::FailureDomainId, base::RegionId> m_regions;
  /// Version of the second engine's software; that of the first is "v1".
  std::string m_secondVersion = "v1";
};

/// A small site on loopback addresses: a store, two engines with loaders, a
/// service without models and one gateway, all on one event loop.
class SiteFixture
{
public:
  using Gateway = programs::GatewayProgram<platform::Wire>;
  using Loader = programs::LoaderProgram<platform::Wire>;

  explicit SiteFixture(SiteShape const& aShape = {});

  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  standins::SiteStore m_store{ m_loop };
  std::vector<std::unique_ptr<standins::SiteEngine>> m_engines;
  std::unique_ptr<standins::SiteEngine> m_service;
  std::vector<base::ProcessProfile> m_loaderProfiles;
  std::vector<std::unique_ptr<Loader>> m_loaders;
  std::unique_ptr<Gateway> m_gateway;
  base::HttpClient m_client{ m_loop, {} };

  /// Runs the body once the gateway is ready, then stops the loop and destroys what
  /// is suspended on it. Programs that the body starts must outlive the call.
  template<typename Body>
  void Run(Body aBody)
  {
    auto run = [&]() -> boost::asio::awaitable<void> {
      co_await WaitUntilReady();
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
    DestroyTasks();
  }

  boost::asio::awaitable<void> WaitUntilReady();
  /// Returns a request as a caller sends it, with the key of the workspace
  /// "marshals".
  static base::HttpRequest Request(std::string aMethod, std::string aTarget, std::string aId);
  static base::HttpRequest ModelRequest(std::string aTarget, std::string aId, std::string aModel);
  boost::asio::awaitable<tl::expected<base::HttpResponse, base::HttpFailure>> Send(
    base::HttpRequest aRequest, base::Duration aTimeout = std::chrono::seconds(5));
  /// Returns how often the engines and the service ran a request.
  std::size_t RunsOf(std::string const& aId) const;
  void SetFault(standins::SiteEngine& aEngine, char const* aName, Json::Value aValue);
  base::Endpoint const& Callers() const { return m_callers; }
  /// The profile of a second gateway, which a test may start.
  base::ProcessProfile const& SecondGateway() const { return m_secondGateway; }

private:
  /// Destroys the tasks that are suspended on the loop, which refer to the programs of the
  /// fixture, before these. The loop must not run again.
  void DestroyTasks();

  PortClaim m_port;
  PortClaim m_peerPort;
  PortClaim m_readinessPort;
  base::HttpServer m_storeServer;
  base::Endpoint m_callers;
  base::Endpoint m_readiness;
  base::ProcessProfile m_secondGateway;
};

} // namespace sardinefold::tests
