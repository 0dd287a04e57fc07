#define BOOST_TEST_MODULE Claim
#include "Programs/SystemClock.h"
#include "Service/ClaimAttempt.h"
#include "Service/ClaimCodec.h"
#include "Service/ClaimRetention.h"
#include "Service/ClaimSession.h"
#include "Tests/Fakes/FakeObjectStore.h"
#include "Tests/Support/AtMostOnceSimulation.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using objectstore::ReadError;
using objectstore::WriteError;
using service::Claim;
using service::ClaimAttempt;
using service::ClaimState;
using tests::InjectedFault;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr base::Instant kEnd = kStart + 5s;
constexpr int kStepsCovered = 12;

ClaimAttempt Attempt()
{
  return ClaimAttempt({ service::ClaimOwnerId::FromValidated("me"),
                        base::IncarnationId::FromValidated("i1"),
                        service::ContentHash::FromValidated("c1") },
                      kEnd);
}

service::VersionedClaim OtherOwnersClaim(ClaimState aState, std::string aOwner = "other")
{
  Claim claim{ aState,
               service::ClaimOwnerId::FromValidated(std::move(aOwner)),
               base::IncarnationId::FromValidated("i2"),
               service::ContentHash::FromValidated("c1"),
               {} };
  if (aState == ClaimState::Answered) {
    claim.m_response =
      service::StoredResponse{ 201, { { "Content-Type", "text/plain" } }, "first" };
  }
  return { base::ObjectVersion(7), claim };
}

tl::expected<base::ObjectVersion, WriteError> Failed(WriteError::Kind aKind)
{
  return tl::make_unexpected(WriteError{ aKind, "" });
}

ClaimAttempt AfterConflict()
{
  auto attempt = Attempt();
  attempt.OnWritten(Failed(WriteError::Kind::Conflict));
  return attempt;
}

template<typename Step>
bool Is(ClaimAttempt const& aAttempt, base::Instant aNow = kStart)
{
  return std::holds_alternative<Step>(aAttempt.Next(aNow));
}

bool IsNotRun(ClaimAttempt const& aAttempt)
{
  auto const step = aAttempt.Next(kStart);
  auto const* const refused = std::get_if<service::RefuseClaimed>(&step);
  return refused && std::holds_alternative<base::NotRun>(refused->m_outcome);
}

bool IsUnknown(ClaimAttempt const& aAttempt)
{
  auto const step = aAttempt.Next(kStart);
  auto const* const refused = std::get_if<service::RefuseClaimed>(&step);
  return refused && std::holds_alternative<base::Unknown>(refused->m_outcome);
}

void CheckAtMostOnce(tests::AtMostOncePlan aPlan)
{
  auto const result = tests::AtMostOnceSimulation(std::move(aPlan)).Run();
  BOOST_TEST(result.m_duplicates == 0U);
  BOOST_TEST(result.m_falseNotRun == 0U);
  BOOST_TEST(result.m_wrongResponses == 0U);
  BOOST_TEST(result.m_maximumSteps < 1000);
}

} // namespace

BOOST_AUTO_TEST_CASE(RunsOnceTheClaimIsWritten)
{
  auto attempt = Attempt();
  BOOST_TEST(Is<service::WriteClaim>(attempt));
  attempt.OnWritten(base::ObjectVersion(3));
  BOOST_TEST(Is<service::RunRequest>(attempt));
  attempt.OnRunEnded(service::StoredResponse{ 200, {}, "done" });
  auto const step = attempt.Next(kStart);
  auto const* const write = std::get_if<service::WriteClaim>(&step);
  BOOST_REQUIRE(write);
  BOOST_TEST((write->m_claim.m_state == ClaimState::Answered));
  BOOST_TEST(std::get<objectstore::IfVersion>(write->m_condition).m_version.Value() == 3U);
  attempt.OnWritten(base::ObjectVersion(4));
  BOOST_TEST(Is<service::ClaimEnded>(attempt));
}

BOOST_AUTO_TEST_CASE(FailedCreationIsNotRunUnlessAClaimExists)
{
  using Kind = WriteError::Kind;
  for (auto const kind : { Kind::NotApplied, Kind::Unknown, Kind::TooLarge, Kind::Throttled,
                           Kind::OverBudget, Kind::CircuitOpen }) {
    auto attempt = Attempt();
    attempt.OnWritten(Failed(kind));
    BOOST_TEST(IsNotRun(attempt));
    BOOST_TEST(attempt.IsAbandoned() == (kind == Kind::Unknown));
  }
  for (auto const kind : { Kind::Conflict, Kind::Superseded }) {
    auto attempt = Attempt();
    attempt.OnWritten(Failed(kind));
    BOOST_TEST(Is<service::ReadClaim>(attempt));
  }
}

BOOST_AUTO_TEST_CASE(OwnClaimFoundByReadingRuns)
{
  auto attempt = AfterConflict();
  attempt.OnRead(OtherOwnersClaim(ClaimState::Running, "me"), false, kStart);
  BOOST_TEST(Is<service::RunRequest>(attempt));
}

BOOST_AUTO_TEST_CASE(ResendGetsTheFirstResponseOrUnknown)
{
  auto answered = AfterConflict();
  answered.OnRead(OtherOwnersClaim(ClaimState::Answered), false, kStart);
  auto const step = answered.Next(kStart);
  auto const* const stored = std::get_if<service::ReturnStoredResponse>(&step);
  BOOST_REQUIRE(stored);
  BOOST_TEST(stored->m_response.m_body == "first");
  auto lost = AfterConflict();
  lost.OnRead(OtherOwnersClaim(ClaimState::Lost), false, kStart);
  BOOST_TEST(IsUnknown(lost));
  auto large = AfterConflict();
  large.OnRead(OtherOwnersClaim(ClaimState::AnswerNotKept), false, kStart);
  BOOST_TEST(IsUnknown(large));
  auto unread = AfterConflict();
  unread.OnRead(tl::make_unexpected(ReadError{}), false, kStart);
  BOOST_TEST(IsUnknown(unread));
}

BOOST_AUTO_TEST_CASE(ResendWaitsForTheOwnerAndThenGetsUnknown)
{
  auto attempt = AfterConflict();
  attempt.OnRead(OtherOwnersClaim(ClaimState::Running), false, kStart);
  BOOST_TEST(Is<service::WaitForOwner>(attempt));
  BOOST_TEST(Is<service::ReadClaim>(attempt, kEnd));
  attempt.OnRead(OtherOwnersClaim(ClaimState::Running), false, kEnd);
  BOOST_TEST(IsUnknown(attempt));
}

BOOST_AUTO_TEST_CASE(ReleasedOrAbandonedClaimsAreTakenOverByVersion)
{
  for (bool const isAbandoned : { false, true }) {
    auto attempt = AfterConflict();
    attempt.OnRead(OtherOwnersClaim(isAbandoned ? ClaimState::Running : ClaimState::Released),
                   isAbandoned, kStart);
    auto const step = attempt.Next(kStart);
    auto const* const write = std::get_if<service::WriteClaim>(&step);
    BOOST_REQUIRE(write);
    BOOST_TEST(std::get<objectstore::IfVersion>(write->m_condition).m_version.Value() == 7U);
    attempt.OnWritten(Failed(WriteError::Kind::Conflict));
    BOOST_TEST(Is<service::ReadClaim>(attempt));
  }
}

// The copy is from before the first request, so that the store has lost its claim.
BOOST_AUTO_TEST_CASE(AResendDoesNotRunWhenTheStoreHasLostTheFirstClaim)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::FakeObjectStore store(loop);
  service::ClaimSession<tests::FakeObjectStore> claims(
    store, loop, base::IncarnationId::FromValidated("i1"), {});
  auto const claim = base::ClaimId::FromValidated("aa01");
  auto const content = service::ContentHash::FromValidated("c1");
  auto body = [&]() -> boost::asio::awaitable<void> {
    auto const copy = store.Objects();
    auto first = claims.Open(claim, content, loop.Now() + 1s);
    auto const run = co_await claims.Advance(first, 1s);
    BOOST_TEST(std::holds_alternative<service::RunRequest>(run));
    first.m_attempt.OnRunEnded(service::StoredResponse{});
    co_await claims.Advance(first, 1s);
    store.Objects().RestoreFrom(copy);
    auto resend = claims.Open(claim, content, loop.Now() + 1s);
    auto const step = co_await claims.Advance(resend, 1s);
    auto const* const refused = std::get_if<service::RefuseClaimed>(&step);
    BOOST_REQUIRE(refused);
    BOOST_TEST(std::holds_alternative<base::Unknown>(refused->m_outcome));
    loop.Stop();
  };
  loop.Start(body());
  loop.Run();
}

BOOST_AUTO_TEST_CASE(AResendDoesNotTakeOverAClaimWhoseAnswerTheStoreHasLost)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::FakeObjectStore store(loop);
  service::ClaimSession<tests::FakeObjectStore> claims(
    store, loop, base::IncarnationId::FromValidated("i1"), {});
  auto const claim = base::ClaimId::FromValidated("aa01");
  auto const content = service::ContentHash::FromValidated("c1");
  auto body = [&]() -> boost::asio::awaitable<void> {
    auto first = claims.Open(claim, content, loop.Now() + 1s);
    co_await claims.Advance(first, 1s);
    first.m_attempt.OnRunEnded(base::NotRun::BeforeSending("not begun"));
    co_await claims.Advance(first, 1s);
    auto const copy = store.Objects();
    auto second = claims.Open(claim, content, loop.Now() + 1s);
    auto const run = co_await claims.Advance(second, 1s);
    BOOST_TEST(std::holds_alternative<service::RunRequest>(run));
    second.m_attempt.OnRunEnded(service::StoredResponse{});
    co_await claims.Advance(second, 1s);
    store.Objects().RestoreFrom(copy);
    auto third = claims.Open(claim, content, loop.Now() + 1s);
    auto const step = co_await claims.Advance(third, 1s);
    BOOST_TEST(std::holds_alternative<service::RefuseClaimed>(step));
    loop.Stop();
  };
  loop.Start(body());
  loop.Run();
}

BOOST_AUTO_TEST_CASE(KeyReusedForAnotherRequestIsNotRun)
{
  auto attempt = AfterConflict();
  auto other = OtherOwnersClaim(ClaimState::Answered);
  other.m_claim.m_content = service::ContentHash::FromValidated("c2");
  attempt.OnRead(other, false, kStart);
  BOOST_TEST(IsNotRun(attempt));
}

BOOST_AUTO_TEST_CASE(DeletedClaimIsCreatedAgainAFewTimes)
{
  auto attempt = AfterConflict();
  int creations = 0;
  while (Is<service::ReadClaim>(attempt)) {
    attempt.OnRead(tl::make_unexpected(ReadError{ ReadError::Kind::NotFound, "" }), false, kStart);
    if (Is<service::WriteClaim>(attempt)) {
      ++creations;
      attempt.OnWritten(Failed(WriteError::Kind::Conflict));
    }
  }
  BOOST_TEST(creations == 2);
  BOOST_TEST(IsUnknown(attempt));
}

BOOST_AUTO_TEST_CASE(RunEndsAreRecorded)
{
  struct Case
  {
    service::RunResult m_result;
    ClaimState m_state;
  };
  std::array const cases{ Case{ base::NotRun::BeforeSending("x"), ClaimState::Released },
                          Case{ service::ResponseNotStored{}, ClaimState::AnswerNotKept },
                          Case{ base::Unknown{ "x" }, ClaimState::Lost } };
  for (auto const& one : cases) {
    auto attempt = Attempt();
    attempt.OnWritten(base::ObjectVersion(3));
    attempt.OnRunEnded(one.m_result);
    auto const step = attempt.Next(kStart);
    BOOST_TEST((std::get<service::WriteClaim>(step).m_claim.m_state == one.m_state));
    attempt.OnWritten(Failed(WriteError::Kind::Unknown));
    BOOST_TEST(!std::get<service::ClaimEnded>(attempt.Next(kStart)).m_isRecorded);
  }
}

BOOST_AUTO_TEST_CASE(ClaimSurvivesEncoding)
{
  auto claim = OtherOwnersClaim(ClaimState::Answered).m_claim;
  claim.m_response->m_body = std::string("\0\xff\"binary", 9);
  auto const decoded = service::DecodeClaim(service::EncodeClaim(claim));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((decoded->m_response == claim.m_response));
  BOOST_TEST(decoded->m_owner == claim.m_owner);
  BOOST_TEST((decoded->m_state == claim.m_state));
  for (auto const* const malformed :
       { "", "[]", "{}", R"({"state":"answered","owner":"a","incarnation":"b","content":"c"})",
         R"({"state":"done","owner":"a","incarnation":"b","content":"c"})" }) {
    BOOST_TEST(!service::DecodeClaim(malformed).has_value());
  }
}

BOOST_AUTO_TEST_CASE(LargestStoredResponseFitsTheStore)
{
  auto claim = OtherOwnersClaim(ClaimState::Answered).m_claim;
  claim.m_response->m_body =
    std::string(static_cast<std::size_t>(service::kMaximumStoredBody.Value()), '\xff');
  auto const size = static_cast<std::int64_t>(service::EncodeClaim(claim).size());
  BOOST_TEST(size < objectstore::kMaximumValueBytes.Value());
}

BOOST_AUTO_TEST_CASE(RetentionDeletesOnlyWhatStayedUnchanged)
{
  service::ClaimRetention retention({ 1h, 24h });
  auto const name = objectstore::ObjectName::FromValidated("claim");
  auto const running = objectstore::ObjectName::FromValidated("running");
  retention.Record(name, base::ObjectVersion(1), ClaimState::Answered, kStart);
  retention.Record(running, base::ObjectVersion(2), ClaimState::Running, kStart);
  retention.Record(name, base::ObjectVersion(3), ClaimState::Answered, kStart + 30min);
  retention.Record(name, base::ObjectVersion(3), ClaimState::Answered, kStart + 50min);
  BOOST_TEST(retention.TakeDue(kStart + 89min).empty());
  auto const due = retention.TakeDue(kStart + 90min);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST(due.front().m_version.Value() == 3U);
  BOOST_TEST(retention.TakeDue(kStart + 23h).empty());
  BOOST_TEST(retention.TakeDue(kStart + 24h).size() == 1U);
  BOOST_TEST(retention.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(EachFaultAtEachStepBesideAResend)
{
  for (auto const fault : tests::kInjectedFaults) {
    for (int step = 1; step <= kStepsCovered; ++step) {
      for (auto const resendAt : { 0ms, 10ms, 40ms, 6000ms, 400000ms }) {
        tests::AtMostOncePlan plan;
        plan.m_attempts = { { 0, 0, 0ms }, { 0, 1, resendAt } };
        plan.m_faults = { { 0, step, fault } };
        CheckAtMostOnce(std::move(plan));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(PairsOfFaultsInTwoAttempts)
{
  for (auto const first : tests::kInjectedFaults) {
    for (auto const second : tests::kInjectedFaults) {
      for (int cell = 0; cell < kStepsCovered * kStepsCovered; ++cell) {
        tests::AtMostOncePlan plan;
        plan.m_attempts = { { 0, 0, 0ms }, { 0, 1, 5ms }, { 0, 2, 90000ms } };
        plan.m_faults = { { 0, 1 + cell / kStepsCovered, first },
                          { 1, 1 + cell % kStepsCovered, second } };
        CheckAtMostOnce(std::move(plan));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RandomFaultsAtAnyStep)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    tests::AtMostOncePlan plan;
    plan.m_attempts = tests::PlanResends(40, 3, seed);
    plan.m_faultProbability = 0.05;
    plan.m_seed = seed;
    auto const attempts = plan.m_attempts.size();
    auto const result = tests::AtMostOnceSimulation(plan).Run();
    // An implementation that refuses every request would also run nothing twice.
    BOOST_TEST(result.m_answered >= attempts / 4);
    CheckAtMostOnce(std::move(plan));
  }
}

BOOST_AUTO_TEST_CASE(CheckerCountsDuplicatesWithoutClaims)
{
  tests::AtMostOncePlan plan;
  plan.m_attempts = tests::PlanResends(10, 2, 1);
  plan.m_usesClaims = false;
  auto const result = tests::AtMostOnceSimulation(std::move(plan)).Run();
  BOOST_TEST(result.m_duplicates == 20U);
  BOOST_TEST(result.m_wrongResponses > 0U);
}
