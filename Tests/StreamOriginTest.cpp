#define BOOST_TEST_MODULE StreamOrigin
#include "Agent/Fleet/StreamOriginHolders.h"
#include "Agent/Fleet/StreamOriginTable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace sardinefold;
using agent::StreamOrigin;
using agent::StreamOriginTable;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };

base::RequestId Request(int aNumber)
{
  return base::RequestId::FromValidated("r" + std::to_string(aNumber));
}

StreamOrigin Origin(int aNumber, std::string aVersion)
{
  return { Request(aNumber), base::DeploymentId::FromValidated("llm"),
           base::SoftwareVersion::FromValidated(std::move(aVersion)) };
}

std::vector<base::Endpoint> Loaders(int aCount)
{
  std::vector<base::Endpoint> loaders;
  for (int number = 1; number <= aCount; ++number) {
    loaders.push_back({ "10.0.0." + std::to_string(number), 7600 });
  }
  return loaders;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnOriginIsKeptForSomeTimeAfterItWasLastTold)
{
  StreamOriginTable table({ .m_retention = seconds(10), .m_maximumCount = 100 });
  table.Record(Origin(1, "v1"), kStart);
  table.Record(Origin(2, "v2"), kStart);
  table.Record(Origin(1, "v1"), kStart + seconds(8));
  BOOST_TEST((table.Find(Request(1), kStart + seconds(17)) == Origin(1, "v1")));
  BOOST_TEST(!table.Find(Request(2), kStart + seconds(17)).has_value());
  table.Record(Origin(3, "v1"), kStart + seconds(30));
  BOOST_TEST(table.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(AStreamWithTwoToldOriginsHasNone)
{
  StreamOriginTable table;
  table.Record(Origin(1, "v1"), kStart);
  table.Record(Origin(1, "v2"), kStart);
  table.Record(Origin(1, "v1"), kStart);
  BOOST_TEST(!table.Find(Request(1), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(TheTableOfOriginsIsBounded)
{
  StreamOriginTable table({ .m_retention = seconds(10), .m_maximumCount = 5 });
  for (int number = 0; number < 50; ++number) {
    table.Record(Origin(number, "v1"), kStart);
  }
  BOOST_TEST(table.Size() == 5U);
  BOOST_TEST(table.Find(Request(49), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(FewStreamsChangeTheirHoldersWithALoader)
{
  constexpr std::size_t kHolders = 3;
  constexpr int kStreams = 300;
  auto const before = Loaders(9);
  auto after = before;
  after.erase(after.begin() + 4);
  std::reverse(after.begin(), after.end());
  int changed = 0;
  for (int number = 0; number < kStreams; ++number) {
    auto const one = agent::StreamOriginHolders(before, Request(number), kHolders);
    auto const other = agent::StreamOriginHolders(after, Request(number), kHolders);
    BOOST_REQUIRE(one.size() == kHolders);
    bool const hadIt = std::ranges::find(one, before[4]) != one.end();
    BOOST_TEST((hadIt || one == other));
    changed += one == other ? 0 : 1;
  }
  // A third of the streams had the loader among their holders.
  BOOST_TEST(changed < kStreams / 2);
  BOOST_TEST(agent::StreamOriginHolders(Loaders(2), Request(1), kHolders).size() == 2U);
}
