#define BOOST_TEST_MODULE AgentAdmission
#include "Agent/ConcurrencyLimit.h"
#include "Agent/DispatchQueue.h"
#include "Agent/RetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using agent::ConcurrencyLimit;
using agent::DispatchQueue;
using agent::LoadSignal;
using operators::RequestClass;

namespace {

constexpr base::Instant kStart{ 1000s };

base::CorrelationId Exchange(std::string aName)
{
  return base::CorrelationId::FromValidated(std::move(aName));
}

} // namespace

BOOST_AUTO_TEST_CASE(QueueServesByClassThenByDeadline)
{
  DispatchQueue queue(10);
  auto const enter = [&](char const* aName, RequestClass aClass, base::Duration aStartIn) {
    return queue.Enter(Exchange(aName), aClass, kStart + aStartIn, 1);
  };
  BOOST_TEST((enter("running", RequestClass::Batch, 1s) == DispatchQueue::Admission::Running));
  BOOST_TEST((enter("batch", RequestClass::Batch, 1s) == DispatchQueue::Admission::Waiting));
  enter("late", RequestClass::Interactive, 9s);
  enter("soon", RequestClass::Interactive, 2s);
  enter("standard", RequestClass::Standard, 1s);
  BOOST_TEST(!queue.TakeNext(1, kStart).has_value());
  queue.Leave(Exchange("running"));
  for (auto const* const expected : { "soon", "late", "standard", "batch" }) {
    auto const next = queue.TakeNext(1, kStart);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->Text() == expected);
    queue.Leave(*next);
  }
  BOOST_TEST(queue.Running() == 0U);
}

BOOST_AUTO_TEST_CASE(QueueSkipsExpiredEntriesAndRefusesWhenFull)
{
  DispatchQueue queue(2);
  queue.Enter(Exchange("running"), RequestClass::Standard, kStart, 1);
  queue.Enter(Exchange("expired"), RequestClass::Interactive, kStart + 1s, 1);
  queue.Enter(Exchange("waiting"), RequestClass::Standard, kStart + 5s, 1);
  auto const refused = queue.Enter(Exchange("more"), RequestClass::Standard, kStart + 5s, 1);
  BOOST_TEST((refused == DispatchQueue::Admission::Full));
  queue.Leave(Exchange("running"));
  auto const next = queue.TakeNext(1, kStart + 2s);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->Text() == "waiting");
  queue.Leave(Exchange("expired"));
  BOOST_TEST(queue.Waiting() == 0U);
  BOOST_TEST(queue.Running() == 1U);
}

BOOST_AUTO_TEST_CASE(LimitShrinksOncePerRoundAndRecovers)
{
  ConcurrencyLimit limit(10);
  limit.OnEnded(LoadSignal::Overloaded, 1s, 10, kStart);
  limit.OnEnded(LoadSignal::Overloaded, 1s, 10, kStart + 500ms);
  BOOST_TEST(limit.Current() == 9U);
  limit.OnEnded(LoadSignal::Overloaded, 1s, 9, kStart + 1s);
  BOOST_TEST(limit.Current() == 8U);
  for (int round = 0; round < 9; ++round) {
    limit.OnEnded(LoadSignal::Served, 1s, limit.Current(), kStart + 2s);
  }
  BOOST_TEST(limit.Current() == 9U);
  for (int round = 0; round < 100; ++round) {
    limit.OnEnded(LoadSignal::Served, 1s, 1, kStart + 2s);
  }
  BOOST_TEST(limit.Current() == 9U);
  for (int round = 0; round < 100; ++round) {
    limit.OnEnded(LoadSignal::Served, 1s, 10, kStart + 2s);
  }
  BOOST_TEST(limit.Current() == 10U);
  for (int round = 0; round < 100; ++round) {
    limit.OnEnded(LoadSignal::Overloaded, 1s, 10, kStart + 10s * round);
  }
  BOOST_TEST(limit.Current() == 1U);
}

BOOST_AUTO_TEST_CASE(RetriesAreLimitedToAShareOfRequests)
{
  agent::RetryBudgetLimits const limits{ 0.1, 0.0, 2.0 };
  agent::RetryBudget budget(limits, kStart);
  BOOST_TEST(budget.TryTake(kStart));
  BOOST_TEST(budget.TryTake(kStart));
  BOOST_TEST(!budget.TryTake(kStart));
  int taken = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnRequest(kStart + 1s);
    taken += budget.TryTake(kStart + 1s) ? 1 : 0;
  }
  BOOST_TEST(taken >= 99);
  BOOST_TEST(taken <= 100);
}

BOOST_AUTO_TEST_CASE(RetryBudgetRefillsOverTime)
{
  agent::RetryBudgetLimits const limits{ 0.0, 1.0, 2.0 };
  agent::RetryBudget budget(limits, kStart);
  budget.TryTake(kStart);
  budget.TryTake(kStart);
  BOOST_TEST(!budget.TryTake(kStart + 900ms));
  BOOST_TEST(budget.TryTake(kStart + 1100ms));
  BOOST_TEST(budget.Available() <= limits.m_maximum);
}
