#define BOOST_TEST_MODULE HttpBudget
#include "Base/Http/HttpBudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <vector>

// Callers that together hold more than the process has must neither end it nor keep
// others out.

using namespace sardinefold::base;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kConnection = HttpBudgetEntry::kConnectionBytes.Value();
constexpr std::int64_t kUnit = 8LL * 1024;

/// A budget and its connections, which note when they are cut.
class BudgetFixture
{
public:
  using Handle = HttpBudget::Handle;

  HttpBudget m_budget{ { Bytes(1024 * kUnit), 10, 5s } };
  Instant m_now{ 1000s };
  std::vector<Handle> m_cut;

  std::optional<Handle> Connect()
  {
    m_now += 1ms;
    auto const entry = m_budget.Add({});
    entry->m_cut = [this, entry] { m_cut.push_back(entry); };
    if (!m_budget.Admit(entry, m_now)) {
      m_budget.Remove(entry);
      return std::nullopt;
    }
    return entry;
  }

  Handle In(HttpActivity aActivity, std::int64_t aBytes = 0)
  {
    auto const entry = Connect();
    BOOST_REQUIRE(entry.has_value());
    m_budget.SetActivity(*entry, aActivity, m_now);
    BOOST_REQUIRE(m_budget.HoldRequest(*entry, Bytes(aBytes), m_now));
    return *entry;
  }

  bool Hold(Handle aEntry, std::int64_t aBytes)
  {
    return m_budget.HoldRequest(aEntry, Bytes(aBytes), m_now);
  }

  bool IsCut(Handle aEntry) const { return std::ranges::find(m_cut, aEntry) != m_cut.end(); }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ASmallRequestGetsInWhileLargeOnesFillTheMemory, BudgetFixture)
{
  auto const first = In(HttpActivity::ReadingBody, 400 * kUnit);
  auto const larger = In(HttpActivity::ReadingBody, 450 * kUnit);
  auto const small = In(HttpActivity::ReadingBody);
  BOOST_TEST(Hold(small, 200 * kUnit));
  BOOST_TEST(IsCut(larger));
  BOOST_TEST(!IsCut(first));
  BOOST_TEST(m_budget.Held().Value() == 600 * kUnit + 2 * kConnection);
}

BOOST_FIXTURE_TEST_CASE(TheLargestRequestIsRefusedItself, BudgetFixture)
{
  In(HttpActivity::ReadingBody, 400 * kUnit);
  auto const large = In(HttpActivity::ReadingBody, 300 * kUnit);
  BOOST_TEST(!Hold(large, 700 * kUnit));
  BOOST_TEST(m_cut.empty());
  BOOST_TEST(m_budget.Events().m_refusedForMemory == 1U);
  BOOST_TEST(large->m_request.Value() == 300 * kUnit);
}

BOOST_FIXTURE_TEST_CASE(OfEqualRequestsTheOneWithoutProgressIsCut, BudgetFixture)
{
  auto const stalled = In(HttpActivity::ReadingBody, 300 * kUnit);
  auto const progressing = In(HttpActivity::ReadingBody, 290 * kUnit);
  auto const asking = In(HttpActivity::ReadingBody, 250 * kUnit);
  m_now += 1s;
  BOOST_TEST(Hold(progressing, 300 * kUnit));
  BOOST_TEST(Hold(asking, 300 * kUnit));
  BOOST_TEST(IsCut(stalled));
  BOOST_TEST(m_cut.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ARequestThatMayRunIsNeverCut, BudgetFixture)
{
  auto const serving = In(HttpActivity::ReadingBody, 890 * kUnit);
  BOOST_TEST(m_budget.Serve(serving, m_now));
  auto const large = In(HttpActivity::ReadingBody);
  BOOST_TEST(!Hold(large, 300 * kUnit));
  // What large requests may not use is left for small ones.
  for (unsigned number = 0; number < 6; ++number) {
    In(HttpActivity::ReadingBody, 2 * kUnit);
  }
  BOOST_TEST(m_cut.empty());
}

BOOST_FIXTURE_TEST_CASE(OneRequestWithTheLargestBodyFitsInCalm, BudgetFixture)
{
  constexpr std::int64_t kBody = 890 * kUnit;
  BOOST_REQUIRE(m_budget.Fits(Bytes(kBody)));
  BOOST_TEST(!m_budget.Fits(Bytes(1000 * kUnit)));
  auto const only = In(HttpActivity::ReadingBody);
  BOOST_TEST(Hold(only, kBody));
  BOOST_TEST(m_budget.Serve(only, m_now));
}

BOOST_FIXTURE_TEST_CASE(IdleConnectionsEndBeforeARequestIsRefused, BudgetFixture)
{
  auto const idle = In(HttpActivity::Idle);
  auto const serving = In(HttpActivity::ReadingBody, 850 * kUnit);
  BOOST_TEST(m_budget.Serve(serving, m_now));
  auto const asking = In(HttpActivity::ReadingBody);
  BOOST_TEST(Hold(asking, 42 * kUnit));
  BOOST_TEST(IsCut(idle));
}

BOOST_FIXTURE_TEST_CASE(NobodyIsCutInVain, BudgetFixture)
{
  for (auto const activity :
       { HttpActivity::Lingering, HttpActivity::Idle, HttpActivity::Idle, HttpActivity::Idle }) {
    In(activity);
  }
  auto const serving = In(HttpActivity::ReadingBody, 850 * kUnit);
  BOOST_TEST(m_budget.Serve(serving, m_now));
  auto const asking = In(HttpActivity::ReadingBody);
  BOOST_TEST(!Hold(asking, 100 * kUnit));
  BOOST_TEST(m_cut.empty());
}

BOOST_FIXTURE_TEST_CASE(AnAnswerMayArriveWhileALargeRequestCanGiveWay, BudgetFixture)
{
  auto const answered = In(HttpActivity::Lingering);
  auto const large = In(HttpActivity::ReadingBody, 880 * kUnit);
  auto const asking = In(HttpActivity::ReadingBody);
  BOOST_TEST(Hold(asking, 50 * kUnit));
  BOOST_TEST(!IsCut(answered));
  BOOST_TEST(IsCut(large));
}

BOOST_FIXTURE_TEST_CASE(ResponsesThatNobodyReadsGiveWayAfterTheirBound, BudgetFixture)
{
  auto const unread = In(HttpActivity::ReadingBody);
  BOOST_TEST(m_budget.Serve(unread, m_now));
  m_budget.HoldResponse(unread, Bytes(900 * kUnit), m_now);
  auto const asking = In(HttpActivity::ReadingBody);
  m_now += 4s;
  BOOST_TEST(!Hold(asking, 300 * kUnit));
  BOOST_TEST(m_cut.empty());
  m_now += 1s;
  BOOST_TEST(Hold(asking, 300 * kUnit));
  BOOST_TEST(IsCut(unread));
}

BOOST_FIXTURE_TEST_CASE(TheLeastUsefulConnectionMakesRoomForANewOne, BudgetFixture)
{
  auto const serving = In(HttpActivity::Serving);
  std::vector<Handle> expected{ In(HttpActivity::Lingering), In(HttpActivity::Silent),
                                In(HttpActivity::ReadingHead) };
  for (unsigned number = 0; number < 2; ++number) {
    In(HttpActivity::ReadingBody);
  }
  expected.push_back(In(HttpActivity::Idle));
  expected.push_back(In(HttpActivity::Idle));
  BOOST_TEST(m_budget.Descriptors() == 9U);
  In(HttpActivity::Serving);
  m_now += 500ms;
  while (m_cut.size() < expected.size()) {
    In(HttpActivity::Idle);
  }
  BOOST_TEST((m_cut == expected));
  BOOST_TEST(!IsCut(serving));
  BOOST_TEST(m_budget.Descriptors() <= 10U);
}

BOOST_FIXTURE_TEST_CASE(NobodyIsCutInCalm, BudgetFixture)
{
  auto const idle = In(HttpActivity::Idle);
  for (unsigned number = 0; number < 4; ++number) {
    BOOST_TEST(m_budget.Serve(In(HttpActivity::ReadingBody, 100 * kUnit), m_now));
  }
  m_now += 1h;
  BOOST_TEST(m_cut.empty());
  BOOST_TEST(!IsCut(idle));
}

BOOST_FIXTURE_TEST_CASE(WithoutRoomANewConnectionIsTurnedAway, BudgetFixture)
{
  for (unsigned number = 0; number < 5; ++number) {
    BOOST_TEST(m_budget.Serve(In(HttpActivity::ReadingBody), m_now));
  }
  BOOST_TEST(!Connect().has_value());
  BOOST_TEST(m_budget.Events().m_refusedForDescriptors == 1U);
  BOOST_TEST(m_budget.Descriptors() == 10U);
}

BOOST_FIXTURE_TEST_CASE(ACutConnectionThatIsUsedAgainCounts, BudgetFixture)
{
  auto const idle = In(HttpActivity::Idle);
  for (unsigned number = 0; number < 10; ++number) {
    In(HttpActivity::Idle);
  }
  BOOST_REQUIRE(IsCut(idle));
  BOOST_TEST(m_budget.Descriptors() == 10U);
  m_budget.SetActivity(idle, HttpActivity::ReadingHead, m_now);
  BOOST_TEST(m_budget.Descriptors() == 11U);
  m_budget.Remove(idle);
  BOOST_TEST(m_budget.Descriptors() == 10U);
}

BOOST_FIXTURE_TEST_CASE(WhatIsHeldIsGivenBack, BudgetFixture)
{
  std::vector<Handle> all{ In(HttpActivity::ReadingBody, 5000), In(HttpActivity::Idle),
                           In(HttpActivity::ReadingHead, 700) };
  BOOST_TEST(m_budget.Serve(all[0], m_now));
  m_budget.HoldResponse(all[0], Bytes(1000), m_now);
  auto const usage = m_budget.Measure();
  BOOST_TEST(usage.m_requests.Value() == 5700);
  BOOST_TEST(usage.m_responses.Value() == 1000);
  BOOST_TEST(usage.m_connections.Value() == 3 * kConnection);
  for (auto const entry : all) {
    m_budget.Remove(entry);
  }
  BOOST_TEST(m_budget.Held().Value() == 0);
  BOOST_TEST(m_budget.Descriptors() == 0U);
}

BOOST_AUTO_TEST_CASE(ALowLimitOfTheProcessLeavesSomeConnections)
{
  BOOST_TEST(HttpBudgetLimits::Of(Bytes(3000), 100).m_descriptors == 16U);
  BOOST_TEST(HttpBudgetLimits::Of(Bytes(3000), 4096).m_memory.Value() == 1000);
  BOOST_TEST(HttpBudgetLimits::Of(Bytes(3000), 4096).m_descriptors == 4096U - 264U - 1024U);
}
