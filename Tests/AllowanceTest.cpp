#define BOOST_TEST_MODULE Allowance
#include "Bench/Workload/AllowanceFleet.h"
#include "Entry/Allowance/AllowanceLimits.h"
#include "Entry/Allowance/AllowanceNode.h"
#include "Entry/Allowance/BucketShare.h"
#include "Entry/Allowance/OwnershipPlan.h"
#include "Entry/Allowance/SliceHolder.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::entry;
using base::Tokens;

namespace {

constexpr Allowance kAllowance{ base::TokensPerSecond(100), Tokens(1000) };

base::Instant At(base::Duration aTime)
{
  return base::Instant(aTime);
}

base::WorkspaceId Workspace()
{
  return base::WorkspaceId::FromValidated("depot");
}

HolderKey Key(std::string const& aHost, std::string const& aIncarnation = "1")
{
  return { base::HostId::FromValidated(aHost), base::IncarnationId::FromValidated(aIncarnation) };
}

ShareKey Share()
{
  return { Workspace(), ShareIndex(0) };
}

BucketShare FullShare()
{
  InitialShareState start;
  start.m_level = Tokens(1000);
  start.m_hasPredecessor = false;
  return { Share(), base::Epoch(3), kAllowance, start, At(0s) };
}

TokenRequest Request(std::uint64_t aNumber, std::int64_t aWant)
{
  TokenRequest request{ Share(), Key("a"), base::Epoch(3), TokenRequestNumber(aNumber), {}, {}, {},
                        {},      {} };
  request.m_minimum = Tokens(aWant);
  request.m_wanted = Tokens(aWant);
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BucketShares)

BOOST_AUTO_TEST_CASE(SlicesCountAgainstTheBurstUntilTheyExpire)
{
  BucketShare share = FullShare();
  BOOST_TEST(share.Request(Request(1, 900), At(0s)).back().m_tokens == Tokens(900));
  share.Advance(At(2s));
  BOOST_TEST(share.Level() == Tokens(100));
  share.Advance(At(kGrantLifetime + 1s));
  BOOST_TEST(share.Outstanding() == Tokens());
  BOOST_TEST(share.Level() + share.Outstanding() <= Tokens(1000));
}

BOOST_AUTO_TEST_CASE(RepeatedAndLateMessagesChangeNothing)
{
  BucketShare share = FullShare();
  GrantNumber const number = share.Request(Request(1, 500), At(0s)).back().m_number;
  TokenRequest report = Request(2, 0);
  report.m_reports.push_back({ number, Tokens(100), Tokens(400) });
  share.Request(report, At(10ms));
  Tokens const level = share.Level();
  BOOST_TEST(level == Tokens(900));
  BOOST_TEST(share.Request(report, At(10ms)).empty());
  report.m_number = TokenRequestNumber(3);
  share.Request(report, At(10ms));
  BOOST_TEST(share.Level() == level);
  BOOST_TEST(share.Outstanding() == Tokens());
}

BOOST_AUTO_TEST_CASE(ReportsOfAnotherEpochAreIgnored)
{
  BucketShare share = FullShare();
  GrantNumber const number = share.Request(Request(1, 500), At(0s)).back().m_number;
  TokenRequest report = Request(2, 0);
  report.m_epoch = base::Epoch(2);
  report.m_reports.push_back({ number, Tokens(), Tokens(500) });
  report.m_refunds = { RefundNumber(1), { { 0s, Tokens(300) } } };
  share.Request(report, At(10ms));
  BOOST_TEST(share.Level() == Tokens(500));
  BOOST_TEST(share.Outstanding() == Tokens(500));
}

BOOST_AUTO_TEST_CASE(RefundsAreLimitedByThePeakSinceTheTokensWereSpent)
{
  BucketShare share = FullShare();
  GrantNumber const number = share.Request(Request(1, 600), At(0s)).back().m_number;
  TokenRequest report = Request(2, 0);
  report.m_reports.push_back({ number, Tokens(600), Tokens() });
  share.Request(report, At(300ms));
  share.Advance(At(3s));
  BOOST_TEST(share.Level() == Tokens(670));
  TokenRequest refund = Request(3, 0);
  refund.m_refunds = { RefundNumber(1), { { 500ms, Tokens(500) } } };
  share.Request(refund, At(3s));
  BOOST_TEST(share.Level() == Tokens(1000));
  TokenRequest repeated = Request(4, 0);
  repeated.m_refunds = refund.m_refunds;
  share.Request(repeated, At(3s));
  BOOST_TEST(share.Level() == Tokens(1000));
}

BOOST_AUTO_TEST_CASE(ARefundFromBeforeTheReportAddsNothing)
{
  BucketShare share = FullShare();
  GrantNumber const number = share.Request(Request(1, 600), At(0s)).back().m_number;
  TokenRequest report = Request(2, 0);
  report.m_reports.push_back({ number, Tokens(600), Tokens() });
  share.Request(report, At(300ms));
  TokenRequest refund = Request(3, 0);
  refund.m_refunds = { RefundNumber(1), { { 0s, Tokens(500) } } };
  share.Request(refund, At(400ms));
  BOOST_TEST(share.Level() == Tokens(410));
}

BOOST_AUTO_TEST_CASE(ANewOwnerWaitsForItsPredecessorsSlices)
{
  BucketShare share(Share(), base::Epoch(4), kAllowance, {}, At(0s));
  share.Advance(At(kGrantLifetime - 1ms));
  BOOST_TEST(share.Level() == Tokens());
  share.Advance(At(kGrantLifetime + 1s));
  BOOST_TEST(share.Level() > Tokens());
  BOOST_TEST(share.Level() <= Tokens(101));
}

BOOST_AUTO_TEST_CASE(AReducedBurstAppliesAtOnce)
{
  BucketShare share = FullShare();
  share.SetAllowance({ base::TokensPerSecond(10), Tokens(200) }, At(1s));
  BOOST_TEST(share.Level() == Tokens(200));
}

BOOST_AUTO_TEST_CASE(QueuedRequestsAreServedInOrder)
{
  BucketShare share(Share(), base::Epoch(1), kAllowance, { {}, false, {} }, At(0s));
  BOOST_TEST(share.Request(Request(1, 50), At(0s)).back().m_tokens == Tokens());
  TokenRequest second = Request(1, 10);
  second.m_holder = Key("b");
  share.Request(second, At(0s));
  auto const grants = share.Advance(At(550ms));
  BOOST_REQUIRE(grants.size() == 1);
  BOOST_TEST(grants[0].m_holder.m_host.Text() == "a");
  BOOST_TEST(share.Advance(At(650ms)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SliceHolders)

BOOST_AUTO_TEST_CASE(ASliceExpiresByTheTimeOfItsRequestNotOfItsArrival)
{
  SliceHolder holder(Workspace(), Key("a"), 1, ShareIndex(0), kAllowance, {});
  auto const reservation = holder.Reserve(ReservationId(1), Tokens(100), At(5s), At(0s));
  BOOST_REQUIRE(reservation.m_requests.size() == 1);
  TokenGrant grant{ Share(),
                    Key("a"),
                    base::Epoch(1),
                    reservation.m_requests[0].m_number,
                    GrantNumber(1),
                    Tokens(100),
                    {},
                    {},
                    {} };
  auto const late = holder.Receive(grant, At(kSliceLifetime + 1ms));
  BOOST_TEST(late.m_granted.empty());
  BOOST_TEST(holder.Available() == Tokens());
}

BOOST_AUTO_TEST_CASE(ARepeatedSliceIsHeldOnce)
{
  SliceHolder holder(Workspace(), Key("a"), 1, ShareIndex(0), kAllowance, {});
  auto const reservation = holder.Reserve(ReservationId(1), Tokens(100), At(5s), At(0s));
  TokenGrant const grant{ Share(),
                          Key("a"),
                          base::Epoch(1),
                          reservation.m_requests[0].m_number,
                          GrantNumber(1),
                          Tokens(150),
                          {},
                          {},
                          {} };
  BOOST_TEST(holder.Receive(grant, At(2ms)).m_granted.size() == 1);
  holder.Receive(grant, At(3ms));
  BOOST_TEST(holder.Available() == Tokens(50));
}

BOOST_AUTO_TEST_CASE(ARequestIsRefusedAtItsDeadline)
{
  SliceHolder holder(Workspace(), Key("a"), 1, ShareIndex(0), kAllowance, {});
  holder.Reserve(ReservationId(1), Tokens(100), At(1s), At(0s));
  BOOST_TEST(holder.Advance(At(999ms)).m_refused.empty());
  auto const actions = holder.Advance(At(1s));
  BOOST_REQUIRE(actions.m_refused.size() == 1);
  BOOST_TEST((actions.m_refused[0].m_retryAfter >= 1s));
  BOOST_TEST(holder.Reserve(ReservationId(2), Tokens(1001), At(9s), At(1s)).m_refused.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Owners)

BOOST_AUTO_TEST_CASE(AStalledOwnerGrantsOnlyAfterAReadThatBeganLater)
{
  AllowanceNode node(Key("a"), { 1, 1 }, ShareIndex(0), At(0s));
  node.SetWorkspace(Workspace(), kAllowance, At(0s));
  node.TakeOwnership({ { ShareIndex(0), SlotIndex(0) }, base::Epoch(1), false, {} }, At(0s),
                     At(0s));
  TokenRequest request = Request(1, 10);
  request.m_holder = Key("b");
  node.Advance(At(400ms));
  BOOST_TEST(node.Receive(request, At(800ms)).m_messages.size() == 1);
  request.m_number = TokenRequestNumber(2);
  BOOST_TEST(node.Receive(request, At(2s)).m_messages.empty());
  BOOST_REQUIRE(node.UnconfirmedSlots().size() == 1);
  node.ConfirmOwnership(node.UnconfirmedSlots()[0], base::Epoch(1), At(1s), At(2s));
  BOOST_TEST(node.Receive(request, At(2s)).m_messages.empty());
  node.ConfirmOwnership(node.UnconfirmedSlots()[0], base::Epoch(1), At(2s), At(2s));
  BOOST_TEST(node.Receive(request, At(2s)).m_messages.size() == 1);
}

BOOST_AUTO_TEST_CASE(AnOwnerStopsOnceItKnowsItsSuccessor)
{
  AllowanceNode node(Key("a"), { 1, 1 }, ShareIndex(0), At(0s));
  ShareSlot const slot{ ShareIndex(0), SlotIndex(0) };
  node.SetWorkspace(Workspace(), kAllowance, At(0s));
  node.TakeOwnership({ slot, base::Epoch(1), false, {} }, At(0s), At(0s));
  node.SetOwner(slot, base::HostId::FromValidated("b"), base::Epoch(2));
  BOOST_TEST(node.Receive(Request(1, 10), At(1ms)).m_messages.empty());
  node.TakeOwnership({ slot, base::Epoch(1), false, {} }, At(0s), At(1ms));
  BOOST_TEST(node.Receive(Request(2, 10), At(1ms)).m_messages.empty());
}

BOOST_AUTO_TEST_CASE(AnUnresponsiveOwnerKeepsItsSlots)
{
  AllowanceLayout const layout{ 1, 1 };
  ShareSlot const slot{ ShareIndex(0), SlotIndex(0) };
  OwnershipPlan plan(Key("b"), layout);
  auto const domain = base::FailureDomainId::FromValidated("d");
  ListedEntry const a{ base::HostId::FromValidated("a"), domain, false };
  ListedEntry const b{ base::HostId::FromValidated("b"), domain, false };
  plan.SetEntries({ a, b }, At(0s));
  plan.SetRecord(slot, StoredBucket{ { Key("a"), base::Epoch(5), layout, {} }, {} }, At(0s));
  BOOST_TEST(plan.Claims(At(1h)).empty());
  plan.SetEntries({ b }, At(1h));
  BOOST_TEST(plan.Claims(At(1h + 10s)).empty());
  plan.SetEntries({ b }, At(1h + 10s));
  auto const claims = plan.Claims(At(1h + 10s));
  BOOST_REQUIRE(claims.size() == 1);
  BOOST_TEST(claims[0].m_record.m_epoch == base::Epoch(6));
}

BOOST_AUTO_TEST_CASE(AHostThatWasNeverListedHasALongerGracePeriod)
{
  AllowanceLayout const layout{ 1, 1 };
  OwnershipPlan plan(Key("b"), layout);
  ListedEntry const b{ base::HostId::FromValidated("b"), base::FailureDomainId::FromValidated("d"),
                       false };
  plan.SetEntries({ b }, At(0s));
  plan.SetRecord({ ShareIndex(0), SlotIndex(0) },
                 StoredBucket{ { Key("new"), base::Epoch(5), layout, {} }, {} }, At(0s));
  plan.SetEntries({ b }, At(30s));
  BOOST_TEST(plan.Claims(At(30s)).empty());
  plan.SetEntries({ b }, At(61s));
  BOOST_TEST(plan.Claims(At(61s)).size() == 1);
}

BOOST_AUTO_TEST_CASE(ALaterIncarnationTakesTheNextEpochAtOnce)
{
  AllowanceLayout const layout{ 1, 1 };
  OwnershipPlan plan(Key("a", "2"), layout);
  ListedEntry const a{ base::HostId::FromValidated("a"), base::FailureDomainId::FromValidated("d"),
                       false };
  plan.SetRecord({ ShareIndex(0), SlotIndex(0) },
                 StoredBucket{ { Key("a", "1"), base::Epoch(5), layout, {} }, {} }, At(0s));
  BOOST_TEST(plan.Claims(At(0s)).empty());
  plan.SetEntries({ a }, At(0s));
  BOOST_TEST(plan.Claims(At(0s)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Fleets)

bench::AllowanceScenario Scenario(std::uint64_t aSeed)
{
  bench::AllowanceScenario scenario;
  scenario.m_seed = aSeed;
  scenario.m_length = 40s;
  scenario.m_workspaces.resize(2);
  scenario.m_workspaces[0] = { base::WorkspaceId::FromValidated("calm"),
                               { base::TokensPerSecond(10'000), Tokens(60'000) },
                               8 };
  scenario.m_workspaces[1] = { base::WorkspaceId::FromValidated("noisy"),
                               { base::TokensPerSecond(5'000), Tokens(30'000) },
                               40 };
  return scenario;
}

BOOST_AUTO_TEST_CASE(TheCheckerDetectsAnExcessOfOneRequest)
{
  bench::AllowanceChecker checker(kAllowance);
  checker.Receive(Tokens(900), At(0s));
  checker.Receive(Tokens(200), At(1s));
  BOOST_TEST(checker.MaxOverAllowance() == 1.0);
  checker.Receive(Tokens(1), At(1s));
  BOOST_TEST(checker.MaxOverAllowance() > 1.0);
}

BOOST_AUTO_TEST_CASE(TheCheckerAppliesASmallerBurstToLaterWindows)
{
  Allowance const reduced{ base::TokensPerSecond(100), Tokens(200) };
  bench::AllowanceChecker checker(kAllowance);
  checker.Receive(Tokens(900), At(0s));
  checker.SetAllowance(reduced, At(0s), At(1s));
  checker.Receive(Tokens(200), At(1s));
  BOOST_TEST(checker.MaxOverAllowance() == 1.0);
  checker.Receive(Tokens(1), At(1s));
  BOOST_TEST(checker.MaxOverAllowance() > 1.0);
}

BOOST_AUTO_TEST_CASE(NoWindowExceedsTheAllowanceUnderAnyFault)
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    bench::AllowanceScenario scenario = Scenario(seed);
    scenario.m_minimumUsedFraction = 1;
    scenario.m_isSkewed = seed % 2 == 0;
    scenario.m_crashInterval = 7s;
    scenario.m_pauseInterval = 3s;
    scenario.m_lostPerMille = 50;
    scenario.m_repeatedPerMille = 50;
    scenario.m_latePerMille = 50;
    scenario.m_partition = bench::FaultWindow{ 10s, 20s };
    scenario.m_platformOutage = bench::FaultWindow{ 15s, 30s };
    Allowance const reduced{ base::TokensPerSecond(2'000), Tokens(20'000) };
    scenario.m_changes = { { 12s, 1, reduced }, { 25s, 1, scenario.m_workspaces[1].m_allowance } };
    bench::AllowanceResult const result = bench::AllowanceFleet(scenario).Run();
    BOOST_TEST(result.m_maxOverAllowance <= 1.0, "seed " << seed);
    BOOST_TEST(result.m_served > 100, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(AFaultFreeFleetRefusesNothingWithinTheRate)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    bench::AllowanceScenario scenario = Scenario(seed);
    scenario.m_length = 150s;
    bench::AllowanceResult const result = bench::AllowanceFleet(scenario).Run();
    BOOST_TEST(result.m_maxOverAllowance <= 1.0);
    BOOST_TEST(result.m_maxOverAllowance > 0.3);
    BOOST_TEST(result.m_worstWorkspace >= 0.95);
  }
}

BOOST_AUTO_TEST_SUITE_END()
