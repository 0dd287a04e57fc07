#define BOOST_TEST_MODULE ForwardDecisions
#include "Agent/RetryBudget.h"
#include "Caller/AttemptHistory.h"
#include "Caller/ResponseDeadline.h"
#include "Caller/ResponseMemoryBudget.h"
#include "Caller/WaitPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::caller;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };

operators::RouteRule Route(operators::Repeatability aRepeatability, bool aIsResumable = false)
{
  operators::RouteRule route;
  route.m_repeatability = aRepeatability;
  route.m_isResumable = aIsResumable;
  route.m_maximumAttempts = 2;
  route.m_goal = milliseconds(600);
  route.m_pause = milliseconds(300);
  return route;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnAtMostOnceRequestIsRetriedOnlyIfItDidNotRun)
{
  auto const route = Route(operators::Repeatability::AtMostOnce);
  AttemptHistory history;
  history.OnSent();
  history.OnEnd(AttemptEnd::NotRun);
  BOOST_TEST(history.MayRetry(route));
  BOOST_TEST(!history.MayHaveRun());
  history.OnSent();
  history.OnEnd(AttemptEnd::Unknown);
  BOOST_TEST(!history.MayRetry(route));
  BOOST_TEST(history.MayHaveRun());
  // A later refusal does not prove that the earlier attempt did not run.
  history.OnSent();
  history.OnEnd(AttemptEnd::NotRun);
  BOOST_TEST(history.MayHaveRun());
}

BOOST_AUTO_TEST_CASE(AnIdempotentRequestIsRetriedUpToItsRoutesLimit)
{
  auto const route = Route(operators::Repeatability::Idempotent);
  AttemptHistory history;
  history.OnSent();
  history.OnEnd(AttemptEnd::Failed);
  BOOST_TEST(history.MayRetry(route));
  history.OnSent();
  history.OnEnd(AttemptEnd::Unknown);
  BOOST_TEST(!history.MayRetry(route));
}

BOOST_AUTO_TEST_CASE(AStartedStreamResumesOnlyAfterAKnownEvent)
{
  auto const resumable = Route(operators::Repeatability::Stream, true);
  auto const plain = Route(operators::Repeatability::Stream, false);
  AttemptHistory history;
  history.OnSent();
  history.OnForwarded(std::nullopt);
  history.OnEnd(AttemptEnd::Unknown);
  BOOST_TEST(!history.MayRetry(resumable));
  history.OnForwarded(EventNumber(7));
  BOOST_TEST(history.MayRetry(resumable));
  BOOST_TEST(!history.MayRetry(plain));
  BOOST_TEST(history.LastEvent()->Value() == 7U);
}

BOOST_AUTO_TEST_CASE(ARequestWaitsOnlyForAModelReadyBeforeItsCallerLeaves)
{
  auto const route = Route(operators::Repeatability::Stream);
  WaitPolicy const policy(route, kStart, kStart + seconds(15));
  // Callers disconnect after four times the goal, which is more than two seconds here.
  BOOST_TEST((policy.End() < kStart + route.m_goal * 4));
  BOOST_TEST((policy.End() > kStart + seconds(2)));
  ModelForecast const soon{ kStart + seconds(1), kStart };
  ModelForecast const late{ kStart + seconds(7), kStart };
  BOOST_TEST(policy.MayWait(std::nullopt, kStart));
  BOOST_TEST(policy.MayWait(soon, kStart));
  BOOST_TEST(!policy.MayWait(late, kStart));
  // An outdated forecast is ignored.
  BOOST_TEST(policy.MayWait(late, kStart + seconds(1)));
  BOOST_TEST(!policy.MayWait(std::nullopt, policy.End()));
  BOOST_TEST((WaitPolicy::RetryAfter(late, kStart) == seconds(7)));
  BOOST_TEST((WaitPolicy::RetryAfter(std::nullopt, kStart) == seconds(1)));
}

BOOST_AUTO_TEST_CASE(ARequestWaitsNoLongerThanItsDeadline)
{
  WaitPolicy const policy(Route(operators::Repeatability::Stream), kStart, kStart + seconds(1));
  BOOST_TEST((policy.End() == kStart + seconds(1)));
}

BOOST_AUTO_TEST_CASE(ARetryBudgetFollowsTheNumberOfGateways)
{
  agent::RetryBudgetLimits limits;
  limits.m_perRequest = 0;
  limits.m_perSecond = 0;
  limits.m_maximum = 2;
  agent::RetryBudget budget(limits, kStart);
  limits.m_maximum = 10;
  budget.SetLimits(limits);
  BOOST_TEST(budget.Available() == 10.0);
  BOOST_TEST(budget.TryTake(kStart));
  // Setting the same limits again adds nothing.
  budget.SetLimits(limits);
  BOOST_TEST(budget.Available() == 9.0);
  limits.m_maximum = 4;
  budget.SetLimits(limits);
  BOOST_TEST(budget.Available() == 4.0);
}

BOOST_AUTO_TEST_CASE(AResponseDeadlineDoesNotMoveWhileChunksArrive)
{
  ResponseDeadline deadline(kStart + seconds(1), milliseconds(150));
  BOOST_TEST((deadline.Left(kStart) == milliseconds(1150)));
  BOOST_TEST((deadline.Left(kStart + milliseconds(990)) == milliseconds(160)));
  BOOST_TEST((deadline.Left(kStart + milliseconds(1100)) == milliseconds(150)));
  BOOST_TEST((deadline.Left(kStart + milliseconds(1200)) == milliseconds(50)));
  BOOST_TEST((deadline.Left(kStart + milliseconds(1300)) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatCameWhileTheProcessStoodStillIsRead)
{
  ResponseDeadline deadline(kStart + seconds(1), milliseconds(150));
  BOOST_TEST((deadline.Left(kStart + seconds(5)) == milliseconds(150)));
  BOOST_TEST((deadline.Left(kStart + milliseconds(5150)) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(OneResponseLeavesMemoryForTheOthers)
{
  ResponseMemoryBudget memory(base::Bytes(100));
  ResponseMemoryBudget::Lease endless(memory);
  BOOST_TEST(endless.Resize(base::Bytes(50)));
  BOOST_TEST(!endless.Resize(base::Bytes(51)));
  {
    ResponseMemoryBudget::Lease other(memory);
    BOOST_TEST(other.Resize(base::Bytes(25)));
    BOOST_TEST(!other.Resize(base::Bytes(26)));
    // Released memory is available to the next lease.
    BOOST_TEST(endless.Resize(base::Bytes(10)));
    BOOST_TEST(other.Resize(base::Bytes(45)));
  }
  BOOST_TEST(memory.Used() == base::Bytes(10));
  ResponseMemoryBudget::Lease moved(std::move(endless));
  BOOST_TEST(memory.Used() == base::Bytes(10));
}
