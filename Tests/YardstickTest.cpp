#define BOOST_TEST_MODULE Yardstick
#include "Bench/Workload/RequestLog.h"
#include "Bench/Workload/ScheduleBound.h"

#include <boost/test/tools/floating_point_comparison.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace sardinefold;
using namespace sardinefold::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };

ScheduledRequest Request(std::string aModel, base::Duration aAt, base::Duration aGoal,
                         double aWorth = 1)
{
  return { base::ModelId::FromValidated(std::move(aModel)), kStart + aAt, kStart + aAt + aGoal,
           aWorth };
}

std::string LogLine(std::string const& aFields)
{
  return R"(  1.25 front-1 { "timestamp": "2026-03-13 06:42:06,065", "level": "INFO", )"
         R"("message": "request ended", "context_map": { "route": "r", "model": "m", )" +
         aFields + " } }\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(AllWorthIsReachableWithEnoughSlots)
{
  std::vector<ScheduledRequest> requests;
  requests.reserve(20);
  for (int number = 0; number < 20; ++number) {
    requests.push_back(Request("m" + std::to_string(number), seconds(number), seconds(3)));
  }
  BOOST_TEST(MaximumWeight(requests, { 20, milliseconds(800) }) == 20.0);
}

BOOST_AUTO_TEST_CASE(BurstBeyondCapacityIsNotFullyReachable)
{
  // A hundred models are requested at once with one slot, one second for each load
  // and one second to the goal, so about two loads fit at most.
  std::vector<ScheduledRequest> requests;
  requests.reserve(100);
  for (int number = 0; number < 100; ++number) {
    requests.push_back(Request("m" + std::to_string(number), seconds(0), seconds(1)));
  }
  double const bound = MaximumWeight(requests, { 1, seconds(1) });
  BOOST_TEST(bound >= 1.0);
  BOOST_TEST(bound <= 4.0);
}

BOOST_AUTO_TEST_CASE(ALoadServesAllThatWaitForItsModel)
{
  std::vector<ScheduledRequest> requests(50, Request("m", seconds(0), seconds(1)));
  BOOST_TEST(MaximumWeight(requests, { 1, seconds(1) }) == 50.0);
}

BOOST_AUTO_TEST_CASE(RequestsOfGreatestWorthAreServedFirst)
{
  std::vector<ScheduledRequest> requests;
  requests.reserve(51);
  for (int number = 0; number < 50; ++number) {
    requests.push_back(Request("cheap" + std::to_string(number), seconds(0), seconds(0), 0.1));
  }
  requests.push_back(Request("dear", seconds(0), seconds(0), 10));
  double const bound = MaximumWeight(requests, { 1, seconds(1) });
  BOOST_TEST(bound >= 10.0);
  BOOST_TEST(bound <= 10.3);
}

BOOST_AUTO_TEST_CASE(CausesOfLossAreReadFromTheLog)
{
  std::stringstream log(
    "not a line\n" +
    LogLine(R"("goal_ms": "600", "first_ms": "100", "total_ms": "900", "waited_ms": "0", )"
            R"("tokens": "100", "sends": "1", "status": "200", "outcome": "answered")") +
    LogLine(R"("goal_ms": "600", "first_ms": "900", "total_ms": "900", "waited_ms": "700", )"
            R"("tokens": "100", "sends": "1", "status": "200", "outcome": "answered")") +
    LogLine(R"("goal_ms": "600", "first_ms": "900", "total_ms": "900", "waited_ms": "0", )"
            R"("tokens": "400", "sends": "1", "status": "200", "outcome": "answered")") +
    LogLine(R"("goal_ms": "600", "first_ms": "9", "total_ms": "9", "waited_ms": "0", )"
            R"("tokens": "200", "sends": "0", "status": "503", "outcome": "model not loaded")") +
    LogLine(R"("goal_ms": "600", "first_ms": "1", "total_ms": "1", "waited_ms": "0", )"
            R"("tokens": "200", "sends": "0", "status": "401", "outcome": "unknown key")"));
  auto const requests = ReadRequests(log);
  BOOST_REQUIRE(requests.size() == 5U);
  BOOST_TEST(LossCause(requests[0]).empty());
  BOOST_TEST((requests[1].m_arrival - requests[0].m_arrival == base::Duration::zero()));
  BOOST_TEST(LossCause(requests[1]) == "late: waited for a model");
  BOOST_TEST(LossCause(requests[2]) == "late: queued at the engine");
  BOOST_TEST(LossCause(requests[3]) == "model not loaded");
  BOOST_TEST(LossCause(requests[4]) == "not owed");
  // The requests of the route have 200 tokens on average.
  BOOST_TEST(RequestWeights(requests)[3] == 1.0);
  BOOST_TEST(RequestWeights(requests)[0] == 0.65, boost::test_tools::tolerance(1e-9));
}
