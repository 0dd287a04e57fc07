#define BOOST_TEST_MODULE FleetPlanning
#include "Programs/Loader/FleetPlanning.h"

#include "Programs/SystemClock.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// Loopback addresses of a gateway that listens and of another that does not.
base::Endpoint const kListening{ "127.0.5.1", 27'611 };
base::Endpoint const kOther{ "127.0.5.2", 27'611 };

agent::GatewayReport Report(char const* aHost, base::Duration aStoreAge)
{
  agent::GatewayReport report;
  report.m_host = base::HostId::FromValidated(aHost);
  report.m_incarnation = base::IncarnationId::FromValidated("one");
  report.m_failureDomain = base::FailureDomainId::FromValidated("a");
  report.m_storeAge = aStoreAge;
  return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(AGatewayRefusedByTheStoreLearnsTheStoreAgeOfAnother)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::optional<base::Duration> receivedAge;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      receivedAge = summary->m_storeAge;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto run = [&]() -> awaitable<void> {
    for (int tick = 0; tick < 20 && !receivedAge; ++tick) {
      planning.OnReport(Report("front-1", 5s), kListening, loop.Now());
      planning.OnReport(Report("front-2", 40ms), kOther, loop.Now());
      planning.Tick(loop.Now());
      co_await loop.Sleep(20ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  // The age is that of the other gateway, not the receiver's own.
  BOOST_REQUIRE(receivedAge.has_value());
  BOOST_TEST((*receivedAge >= 40ms));
  BOOST_TEST((*receivedAge < 1s));
}
