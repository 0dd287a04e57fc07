#define BOOST_TEST_MODULE CrashRegistry
#include "Agent/CrashRegistry.h"

#include "Agent/Fleet/CrashNewsBoard.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using RequestRegistry = agent::CrashRegistry<base::FingerprintId>;
using PartRegistry = agent::CrashRegistry<base::PromptPartId>;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr agent::CrashLimits kLimits;

base::PromptPartId Part(std::string aName)
{
  return base::PromptPartId::FromValidated(std::move(aName));
}

base::UpstreamId Upstream(int aNumber)
{
  return base::UpstreamId::FromValidated("i-" + std::to_string(aNumber));
}

base::FingerprintId Fingerprint(std::string aName)
{
  return base::FingerprintId::FromValidated(std::move(aName));
}

auto const kCrasher = Fingerprint("crasher");
auto const kNeighbour = Fingerprint("neighbour");

bool IsRefused(RequestRegistry const& aRegistry, base::FingerprintId const& aFingerprint,
               base::Instant aNow)
{
  return aRegistry.FindRefused({ aFingerprint }, aNow).has_value();
}

/// Limits by which one crash makes a request suspected and two make it refused.
agent::CrashLimits StrictLimits()
{
  auto limits = agent::CrashLimits::ForRequests();
  limits.m_suspicion = 1;
  limits.m_refusal = 2;
  return limits;
}

auto const kDeadly = Part("dead");
auto const kSound = Part("50d");

/// Crashes an upstream that was sent the parts 100 ms before.
void Crash(PartRegistry& aRegistry, std::vector<base::PromptPartId> const& aParts, int aUpstream,
           base::Instant aAt)
{
  aRegistry.OnCrash(aParts, Upstream(aUpstream), aAt - 100ms, aAt);
}

bool IsRefused(PartRegistry const& aRegistry, base::PromptPartId const& aPart, base::Instant aNow)
{
  return aRegistry.FindRefused({ aPart }, aNow).has_value();
}

/// Returns a registry that refuses kDeadly since kStart + 2s.
PartRegistry RegistryWithRefusal()
{
  PartRegistry registry(kLimits, 1);
  for (int number = 0; number < 3; ++number) {
    Crash(registry, { kDeadly }, number, kStart + number * 1s);
  }
  return registry;
}

} // namespace

BOOST_AUTO_TEST_CASE(APartIsSuspectedAfterTwoCrashesAndRefusedAfterThree)
{
  PartRegistry registry(kLimits, 1);
  Crash(registry, { kSound, kDeadly }, 1, kStart);
  BOOST_TEST(!registry.IsSuspected({ kDeadly }, kStart));
  registry.OnBegun({ kSound }, Upstream(2), kStart, kStart + 100ms);
  Crash(registry, { kSound, kDeadly }, 2, kStart + 1s);
  BOOST_TEST(registry.IsSuspected({ kSound, kDeadly }, kStart + 1s));
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 1s));
  BOOST_TEST(!IsRefused(registry, kDeadly, kStart + 1s));
  Crash(registry, { kSound, kDeadly }, 3, kStart + 2s);
  BOOST_TEST(IsRefused(registry, kDeadly, kStart + 2s));
  BOOST_TEST(!IsRefused(registry, kSound, kStart + 2s));
  // The crashes of the refused part are explained.
  Crash(registry, { kSound, kDeadly }, 4, kStart + 3s);
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 3s));
  BOOST_TEST(registry.Size() == 1U);
  BOOST_TEST(registry.CountRefused() == 1U);
}

BOOST_AUTO_TEST_CASE(CrashesOfOneIncarnationCountOnce)
{
  PartRegistry registry(kLimits, 1);
  for (int number = 0; number < 5; ++number) {
    Crash(registry, { kDeadly }, 1, kStart + number * 1s);
  }
  BOOST_TEST(!registry.IsSuspected({ kDeadly }, kStart + 4s));
}

BOOST_AUTO_TEST_CASE(UpstreamsThatFailTogetherDoNotGetSoundPartsRefused)
{
  PartRegistry registry(kLimits, 1);
  for (int number = 0; number < 9; ++number) {
    registry.OnCrash({ kSound }, Upstream(number), kStart - 300ms, kStart + number * 20ms);
  }
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 200ms));
  // Crashes half a second apart are independent.
  registry.OnCrash({ kSound }, Upstream(20), kStart - 300ms, kStart + 499ms);
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 500ms));
  registry.OnCrash({ kSound }, Upstream(21), kStart - 300ms, kStart + 500ms);
  BOOST_TEST(registry.IsSuspected({ kSound }, kStart + 500ms));
}

BOOST_AUTO_TEST_CASE(ResetConnectionsOfUpstreamsThatAnswerDoNotCount)
{
  PartRegistry registry(kLimits, 1);
  for (int number = 0; number < 3; ++number) {
    Crash(registry, { kSound }, number, kStart + number * 1s);
  }
  BOOST_TEST(IsRefused(registry, kSound, kStart + 2s));
  registry.OnBegun({}, Upstream(0), kStart - 1s, kStart + 3s);
  BOOST_TEST(IsRefused(registry, kSound, kStart + 3s));
  registry.OnBegun({}, Upstream(0), kStart + 1s, kStart + 3s);
  BOOST_TEST(!IsRefused(registry, kSound, kStart + 3s));
}

BOOST_AUTO_TEST_CASE(ARepeatedReportDoesNotRestoreARefutedCrash)
{
  PartRegistry registry(kLimits, 1);
  Crash(registry, { kSound }, 1, kStart);
  auto const repeat = registry.CrashesToReport(true, kStart);
  BOOST_REQUIRE(repeat.size() == 1U);
  registry.OnBegun({}, Upstream(1), kStart + 50ms, kStart + 100ms);
  registry.OnCrashReports(repeat, kStart + 300ms);
  BOOST_TEST(registry.Size() == 0U);
  // The next crash of that upstream counts.
  Crash(registry, { kSound }, 1, kStart + 5s);
  BOOST_TEST(registry.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnAnswerAfterARestartRefutesNoCrash)
{
  PartRegistry registry(kLimits, 1);
  Crash(registry, { kDeadly }, 1, kStart);
  registry.OnBegun({}, Upstream(1), kStart + 3s, kStart + 4s);
  BOOST_TEST(registry.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(LateReportsOfOneMomentAreNotIndependentCrashes)
{
  PartRegistry registry(kLimits, 1);
  for (int number = 0; number < 3; ++number) {
    registry.OnCrash({ kSound }, Upstream(number), kStart - 40ms, kStart + number * 5ms);
  }
  auto const echo = registry.CrashesToReport(true, kStart + 10ms);
  BOOST_REQUIRE(echo.size() == 3U);
  registry.OnCrashReports(echo, kStart + 60ms);
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 60ms));
  BOOST_TEST(!IsRefused(registry, kSound, kStart + 60ms));
}

BOOST_AUTO_TEST_CASE(TheBeginningOfAnAnswerAcquits)
{
  auto registry = RegistryWithRefusal();
  registry.OnAcquittals({ { kDeadly, 200ms } }, kStart + 2'100ms);
  BOOST_TEST(IsRefused(registry, kDeadly, kStart + 2'100ms) == false);
  BOOST_TEST(registry.Size() == 1U);
  registry.OnBegun({ kDeadly }, Upstream(9), kStart + 2s, kStart + 3s);
  BOOST_TEST(registry.Size() == 0U);
  // A report that is older than the beginning has no effect and is answered.
  registry.Tick(kStart + 10s);
  BOOST_TEST(registry.AcquittalsToReport(kStart + 10s).empty());
  registry.OnCrashReports({ { kDeadly, Upstream(1), 9s, 10s } }, kStart + 10s);
  BOOST_TEST(registry.Size() == 0U);
  auto const acquittals = registry.AcquittalsToReport(kStart + 10s);
  BOOST_REQUIRE(acquittals.size() == 1U);
  BOOST_TEST((acquittals[0].m_age == 7s));
  BOOST_TEST(registry.AcquittalsToReport(kStart + 10s + kLimits.m_reportTime).empty());
}

BOOST_AUTO_TEST_CASE(OfPartsWithTheSameCrashesTheOneThatNeverBeganIsRefused)
{
  PartRegistry registry(kLimits, 1);
  registry.OnAcquittals({ { kSound, 5s } }, kStart);
  for (int number = 0; number < 3; ++number) {
    Crash(registry, { kSound, kDeadly }, number, kStart + number * 1s);
  }
  BOOST_TEST(IsRefused(registry, kDeadly, kStart + 2s));
  BOOST_TEST(!IsRefused(registry, kSound, kStart + 2s));
  BOOST_TEST(!registry.IsSuspected({ kSound }, kStart + 2s));
}

BOOST_AUTO_TEST_CASE(OneRequestWithASuspectedPartRunsAtATime)
{
  PartRegistry registry(kLimits, 1);
  auto const other = Part("0ther");
  for (int number = 0; number < 2; ++number) {
    Crash(registry, { kDeadly, other }, number, kStart + number * 1s);
  }
  auto const now = kStart + 2s;
  BOOST_TEST(registry.MaySend({ kDeadly }, now));
  registry.OnSent({ kDeadly });
  BOOST_TEST(!registry.MaySend({ kDeadly }, now));
  BOOST_TEST(!registry.MaySend({ kSound, other }, now));
  BOOST_TEST(registry.MaySend({ kSound }, now));
  registry.OnAnswered({ kDeadly });
  BOOST_TEST(registry.MaySend({ other }, now));
}

BOOST_AUTO_TEST_CASE(ARefusalEndsInATrial)
{
  auto registry = RegistryWithRefusal();
  auto const latest = kStart + 2s;
  BOOST_TEST(IsRefused(registry, kDeadly, latest + kLimits.m_refusalTime - 1s));
  auto const trial = latest + kLimits.m_refusalTime + kLimits.m_refusalJitter;
  registry.Tick(trial);
  BOOST_TEST(!IsRefused(registry, kDeadly, trial));
  BOOST_TEST(registry.IsSuspected({ kDeadly }, trial));
  auto const changes = registry.TakeChanges();
  BOOST_TEST((changes.back().m_state == agent::SubjectState::HalfOpen));
  BOOST_TEST(changes.back().m_upstreams.size() == 3U);
  // Another crash, also one at another gateway, refuses the part again.
  registry.OnCrashReports({ { kDeadly, Upstream(9), 0ms, 100ms } }, trial);
  BOOST_TEST(IsRefused(registry, kDeadly, trial));
  registry.Tick(trial + kLimits.m_retention);
  BOOST_TEST(registry.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(AnotherGatewayLearnsARefusalInAnyOrderOfReports)
{
  auto const first = RegistryWithRefusal();
  auto const now = kStart + 5s;
  BOOST_TEST(first.CrashesToReport(false, now).empty());
  auto reports = first.CrashesToReport(true, now);
  BOOST_REQUIRE(reports.size() == 3U);
  std::ranges::sort(reports, {}, &agent::PartCrashReport::m_upstream);
  do {
    PartRegistry second(kLimits, 2);
    for (auto const& report : reports) {
      BOOST_TEST(!IsRefused(second, kDeadly, now));
      second.OnCrashReports({ report }, now);
      second.OnCrashReports({ report, { kSound, report.m_upstream, 0ms, 0ms } }, now + 50ms);
    }
    BOOST_TEST(IsRefused(second, kDeadly, now));
    BOOST_TEST(!second.IsSuspected({ kSound }, now));
    BOOST_TEST(second.CrashesToReport(false, now).empty());
  } while (std::ranges::next_permutation(reports, {}, &agent::PartCrashReport::m_upstream).found);
}

BOOST_AUTO_TEST_CASE(InvalidReportsAreIgnored)
{
  PartRegistry registry(kLimits, 1);
  registry.OnCrashReports({ { kDeadly, Upstream(1), -1ms, 0ms },
                            { kDeadly, Upstream(2), kLimits.m_retention, kLimits.m_retention },
                            { kDeadly, Upstream(3), 10ms, 9ms } },
                          kStart);
  registry.OnAcquittals({ { kDeadly, -1ms }, { kDeadly, kLimits.m_retention } }, kStart);
  BOOST_TEST(registry.Size() == 0U);
  BOOST_TEST(registry.CountBeginnings() == 0U);
}

BOOST_AUTO_TEST_CASE(PartsChosenByAHostileCallerTakeLimitedMemory)
{
  auto limits = kLimits;
  limits.m_maximumSubjects = 10;
  limits.m_maximumBeginnings = 10;
  limits.m_maximumCrashes = 4;
  limits.m_maximumReported = 3;
  PartRegistry registry(limits, 1);
  for (int number = 0; number < 3; ++number) {
    Crash(registry, { kDeadly }, number, kStart + number * 1s);
  }
  auto const now = kStart + 3s;
  registry.OnBegun({ kSound }, Upstream(1), now, now);
  for (int number = 0; number < 50; ++number) {
    auto const part = Part(std::to_string(number));
    Crash(registry, { part }, 100 + number, now);
    registry.OnBegun({ Part("b" + std::to_string(number)), kSound }, Upstream(1), now, now);
    Crash(registry, { kDeadly }, 200 + number, now + number * 1s);
    BOOST_TEST(registry.Size() <= 10U);
  }
  BOOST_TEST(registry.CountBeginnings() == 10U);
  BOOST_TEST(IsRefused(registry, kDeadly, now + 50s));
  // Crashes of the deadly part come first in a report.
  auto const reports = registry.CrashesToReport(true, now + 50s);
  BOOST_REQUIRE(reports.size() == 3U);
  BOOST_TEST(reports[0].m_subject == kDeadly);
  // A part that keeps beginning is not forgotten.
  registry.OnCrashReports({ { kSound, Upstream(7), 60s, 61s } }, now + 50s);
  BOOST_TEST(!registry.AcquittalsToReport(now + 50s).empty());
}

BOOST_AUTO_TEST_CASE(ThePlannerPassesNewsOnOnceAndRepeatsItWhileItLasts)
{
  agent::CrashNewsBoard<base::PromptPartId> board;
  auto const reports = RegistryWithRefusal().CrashesToReport(true, kStart + 3s);
  auto now = kStart + 3s;
  unsigned passedOn = 0;
  for (int tick = 0; tick < 40; ++tick, now += 100ms) {
    // Four gateways repeat the same crashes.
    auto aged = reports;
    for (auto& report : aged) {
      report.m_age += now - (kStart + 3s);
      report.m_sentAge += now - (kStart + 3s);
    }
    board.OnReport(aged, {}, now);
    board.OnReport(aged, {}, now);
    auto const news = board.TakeDue(now);
    BOOST_TEST(news.m_crashes.size() <= 3U);
    passedOn += static_cast<unsigned>(news.m_crashes.size());
  }
  // Five times while new, and once a second then.
  BOOST_TEST(passedOn == 3U * (5 + 3));
  BOOST_TEST(board.AllCrashes(now).size() == 3U);
  // A later beginning counts, also if another one was reported shortly before it.
  agent::CrashNewsBoard<base::PromptPartId> other;
  other.OnReport({}, { { kSound, 400ms } }, now);
  other.OnReport({ { kSound, Upstream(1), 200ms, 300ms } }, { { kSound, 0ms } }, now);
  BOOST_TEST(other.AllCrashes(now).empty());
  // An acquittal ends it, also for older reports that come later.
  auto const late = board.AllCrashes(now);
  board.OnReport({}, { { kDeadly, 100ms } }, now);
  board.OnReport(late, {}, now);
  auto const news = board.TakeDue(now);
  BOOST_TEST(news.m_acquittals.size() == 1U);
  BOOST_TEST(news.m_crashes.empty());
  BOOST_TEST(board.AllCrashes(now).empty());
}

BOOST_AUTO_TEST_CASE(CrashingRequestIsRefusedEverywhereAfterTwoUpstreams)
{
  RequestRegistry first(StrictLimits(), 1);
  RequestRegistry second(StrictLimits(), 2);
  first.OnCrash({ kCrasher }, Upstream(1), kStart, kStart);
  first.OnCrash({ kNeighbour }, Upstream(1), kStart, kStart);
  auto reported = first.CrashesToReport(false, kStart);
  BOOST_TEST(reported.size() == 2U);
  BOOST_TEST(first.IsSuspected({ kCrasher }, kStart));
  BOOST_TEST(!IsRefused(first, kCrasher, kStart));
  BOOST_TEST(second.OnCrashReports(reported, kStart).size() == 2U);
  // The neighbour's attempt at another upstream ends without a crash.
  second.OnCrash({ kCrasher }, Upstream(2), kStart, kStart + 1s);
  reported = second.CrashesToReport(false, kStart + 1s);
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST(first.OnCrashReports(reported, kStart + 1s).size() == 1U);
  for (auto* const registry : { &first, &second }) {
    BOOST_TEST(IsRefused(*registry, kCrasher, kStart + 2s));
    BOOST_TEST(!IsRefused(*registry, kNeighbour, kStart + 2s));
  }
  BOOST_TEST(!IsRefused(first, kCrasher, kStart + 11min));
  first.Tick(kStart + 11min);
  BOOST_TEST(first.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(LaterResponseClearsACrashReport)
{
  auto limits = agent::CrashLimits::ForRequests();
  limits.m_suspicion = 1;
  RequestRegistry registry(limits, 1);
  for (int number = 1; number <= 3; ++number) {
    registry.OnCrashReports({ { kNeighbour, Upstream(number), {}, {} } }, kStart);
  }
  BOOST_TEST(IsRefused(registry, kNeighbour, kStart));
  // Responses to requests sent before the crash do not clear the report.
  registry.OnBegun({}, Upstream(1), kStart - 1s, kStart + 1s);
  BOOST_TEST(IsRefused(registry, kNeighbour, kStart));
  registry.OnBegun({}, Upstream(1), kStart + 1s, kStart + 1s);
  registry.OnBegun({}, Upstream(2), kStart + 1s, kStart + 1s);
  BOOST_TEST(!IsRefused(registry, kNeighbour, kStart + 1s));
  BOOST_TEST(registry.IsSuspected({ kNeighbour }, kStart + 1s));
  registry.OnBegun({}, Upstream(3), kStart + 1s, kStart + 1s);
  BOOST_TEST(!registry.IsSuspected({ kNeighbour }, kStart + 1s));
}

BOOST_AUTO_TEST_CASE(ARequestThatIsServedIsNoSuspect)
{
  RequestRegistry registry(StrictLimits(), 1);
  registry.OnCrashReports({ { kNeighbour, Upstream(1), {}, {} } }, kStart);
  registry.OnBegun({ kNeighbour }, Upstream(2), kStart, kStart);
  BOOST_TEST(!registry.IsSuspected({ kNeighbour }, kStart));
}

BOOST_AUTO_TEST_CASE(RepeatedCrashesOfOneUpstreamCauseNoRefusal)
{
  RequestRegistry registry(StrictLimits(), 1);
  for (auto const at : { 0s, 60s }) {
    registry.OnCrash({ kCrasher }, Upstream(1), kStart + at, kStart + at);
  }
  BOOST_TEST(!IsRefused(registry, kCrasher, kStart + 61s));
}

BOOST_AUTO_TEST_CASE(RepeatedAndExpiredCrashReportsAreIgnored)
{
  RequestRegistry registry(agent::CrashLimits::ForRequests(), 1);
  agent::RequestCrashReport const reported{ kCrasher, Upstream(1), 100ms, 200ms };
  BOOST_TEST(registry.OnCrashReports({ reported }, kStart).size() == 1U);
  // The same crash is reported over a longer path, with its age rounded down.
  BOOST_TEST(registry.OnCrashReports({ reported }, kStart + 50ms).empty());
  agent::RequestCrashReport const old{ kNeighbour, Upstream(1), 1h, 1h };
  BOOST_TEST(registry.OnCrashReports({ old }, kStart).empty());
}

BOOST_AUTO_TEST_CASE(SuspectCountIsBounded)
{
  auto limits = StrictLimits();
  limits.m_maximumSubjects = 10;
  RequestRegistry registry(limits, 1);
  for (int number = 0; number < 100; ++number) {
    auto const at = kStart + 1ms * number;
    registry.OnCrash({ Fingerprint("f" + std::to_string(number)) }, Upstream(1), at, at);
  }
  BOOST_TEST(registry.Size() == 10U);
  BOOST_TEST(registry.CrashesToReport(true, kStart + 1s).size() == 10U);
  BOOST_TEST(registry.IsSuspected({ Fingerprint("f99") }, kStart + 1s));
  BOOST_TEST(!registry.IsSuspected({ Fingerprint("f0") }, kStart + 1s));
}

// A planner that starts knows only what gateways still report.
BOOST_AUTO_TEST_CASE(SuspectedAndRefusedRequestsAreReportedAsLongAsTheyAreSo)
{
  RequestRegistry registry(agent::CrashLimits::ForRequests(), 1);
  registry.OnCrash({ kNeighbour }, Upstream(9), kStart, kStart);
  for (int number = 1; number <= 3; ++number) {
    auto const at = kStart + number * 1s;
    registry.OnCrashReports({ { kCrasher, Upstream(number), 0ms, 5ms } }, at);
    BOOST_TEST(registry.CrashesToReport(true, at + 600ms).size() == (number > 1 ? number : 0U));
  }
  BOOST_TEST(registry.CrashesToReport(true, kStart + 9min).size() == 3U);
  BOOST_TEST(registry.CrashesToReport(false, kStart + 9min).empty());
  registry.Tick(kStart + 11min);
  BOOST_TEST(registry.CrashesToReport(true, kStart + 11min).empty());
}

// All know of three crashes beside a sound request. One gateway serves it; the others
// would refuse it for minutes, and a gateway that starts would be told to.
BOOST_AUTO_TEST_CASE(ARequestThatOneGatewayServedIsRefusedNowhere)
{
  RequestRegistry serving(agent::CrashLimits::ForRequests(), 1);
  RequestRegistry other(agent::CrashLimits::ForRequests(), 2);
  agent::CrashNewsBoard<base::FingerprintId> board;
  for (int number = 1; number <= 3; ++number) {
    other.OnCrash({ kNeighbour }, Upstream(number), kStart - 10ms, kStart);
  }
  BOOST_TEST(IsRefused(other, kNeighbour, kStart));
  // It is served before the news of the crashes arrives.
  serving.OnBegun({ kNeighbour }, Upstream(4), kStart, kStart + 50ms);
  auto now = kStart + 100ms;
  board.OnReport(other.CrashesToReport(false, now), {}, now);
  serving.OnCrashReports(board.TakeDue(now).m_crashes, now);
  BOOST_TEST(!IsRefused(serving, kNeighbour, now));
  now += 100ms;
  board.OnReport(other.CrashesToReport(false, now), serving.AcquittalsToReport(now), now);
  auto const news = board.TakeDue(now);
  other.OnAcquittals(news.m_acquittals, now);
  BOOST_TEST(!IsRefused(other, kNeighbour, now));
  BOOST_TEST(board.AllCrashes(now).empty());
}

// A sound request stands beside several that crash their upstreams, one crash each. It has
// enough crashes first; those that cause them must not be cleared by that, nor it stay refused.
BOOST_AUTO_TEST_CASE(ARequestThatWasServedBeforeDoesNotExplainTheCrashesOfOthers)
{
  RequestRegistry registry(agent::CrashLimits::ForRequests(), 1);
  auto const crash = [&](std::vector<base::FingerprintId> const& aRequests, int aUpstream) {
    auto const at = kStart + aUpstream * 1s;
    for (auto const& request : aRequests) {
      registry.OnCrash({ request }, Upstream(aUpstream), at - 10ms, at);
    }
    return at;
  };
  registry.OnBegun({ kNeighbour }, Upstream(9), kStart - 1s, kStart - 1s);
  crash({ kCrasher, kNeighbour }, 1);
  crash({ kCrasher, kNeighbour }, 2);
  auto now = crash({ Fingerprint("other crasher"), kNeighbour }, 3);
  BOOST_TEST(!IsRefused(registry, kCrasher, now));
  now = crash({ kNeighbour, kCrasher }, 4);
  BOOST_TEST(IsRefused(registry, kCrasher, now));
  BOOST_TEST(!IsRefused(registry, kNeighbour, now));
  // A report of a crash that is explained does not restore it.
  registry.OnCrashReports({ { kNeighbour, Upstream(1), now - kStart - 1s, now - kStart } }, now);
  BOOST_TEST(!registry.IsSuspected({ kNeighbour }, now));
}

// An upstream that starts again under its id answers before the list names its new start.
BOOST_AUTO_TEST_CASE(AnAnswerOfTheNextStartRefutesNoCrashOfARequest)
{
  RequestRegistry registry(agent::CrashLimits::ForRequests(), 1);
  for (int number = 1; number <= 3; ++number) {
    auto const at = kStart + number * 100ms;
    registry.OnCrash({ kCrasher }, Upstream(number), at - 10ms, at);
  }
  registry.OnBegun({ kNeighbour }, Upstream(1), kStart + 2200ms, kStart + 2300ms);
  // Sent while the upstream was away; the next start took its connection.
  registry.OnBegun({ kNeighbour }, Upstream(2), kStart + 2100ms, kStart + 2300ms);
  BOOST_TEST(IsRefused(registry, kCrasher, kStart + 3s));
}

// Upstreams that start again under their ids, and whose new starts are not listed yet, crash
// under the identity that a convicted request crashed before.
BOOST_AUTO_TEST_CASE(AConvictExplainsNoLaterCrashOfItsUpstreams)
{
  RequestRegistry registry(agent::CrashLimits::ForRequests(), 1);
  auto const other = Fingerprint("other crasher");
  for (int number = 1; number <= 3; ++number) {
    auto const at = kStart + number * 100ms;
    registry.OnCrash({ kCrasher }, Upstream(number), at - 10ms, at);
  }
  BOOST_TEST(IsRefused(registry, kCrasher, kStart + 1s));
  registry.OnCrash({ kNeighbour }, Upstream(1), kStart + 90ms, kStart + 110ms);
  BOOST_TEST(registry.Size() == 1U);
  for (int number = 1; number <= 3; ++number) {
    auto const at = kStart + 3s + number * 100ms;
    registry.OnCrash({ other }, Upstream(number), at - 10ms, at);
  }
  BOOST_TEST(IsRefused(registry, other, kStart + 4s));
}
