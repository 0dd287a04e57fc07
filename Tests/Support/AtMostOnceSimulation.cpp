#include "Tests/Support/AtMostOnceSimulation.h"

#include <algorithm>

namespace sardinefold::tests {

using service::ClaimAttempt;
using namespace std::chrono_literals;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr base::Duration kStoreLatency = 2ms;
constexpr base::Duration kRunTime = 30ms;
constexpr base::Duration kRequestTimeout = 5s;
constexpr base::Duration kPauseDuration = 20s;
constexpr base::Duration kOutageDuration = 3s;
/// Time within which the outcome of one write must be known.
constexpr base::Duration kWriteTimeout = 4s;
constexpr std::size_t kAgents = 4;
constexpr double kOutageShare = 0.02;
/// Average interval between the first attempts of two orders.
constexpr base::Duration kOrderInterval = 100ms;
/// Faults that affect a single attempt.
constexpr std::array kSingleFaults{ InjectedFault::AgentCrash, InjectedFault::ResponseLost,
                                    InjectedFault::Pause };

service::ContentHash Content(std::size_t aOrder)
{
  return service::ContentHash::FromValidated("content-" + std::to_string(aOrder));
}

ClaimAttempt MakeClaimAttempt(OrderAttempt const& aAttempt, service::ClaimOwnerId const& aOwner)
{
  auto const incarnation =
    base::IncarnationId::FromValidated("agent-" + std::to_string(aAttempt.m_agent));
  ClaimAttempt::Identity identity{ aOwner, incarnation, Content(aAttempt.m_order) };
  return ClaimAttempt(std::move(identity), kStart + aAttempt.m_at + kRequestTimeout);
}

} // namespace

AtMostOnceSimulation::AtMostOnceSimulation(AtMostOncePlan aPlan)
  : m_plan(std::move(aPlan))
  , m_random(m_plan.m_seed)
  , m_now(kStart)
{
  for (auto const& attempt : m_plan.m_attempts) {
    auto const index = m_senders.size();
    auto owner = service::ClaimOwnerId::FromValidated("owner-" + std::to_string(index));
    auto claimAttempt = MakeClaimAttempt(attempt, owner);
    auto const begin = kStart + attempt.m_at;
    m_senders.push_back({ index, attempt, std::move(owner), std::move(claimAttempt),
                          begin + kRequestTimeout, begin, 0, false, false, false, std::nullopt,
                          std::nullopt });
  }
}

AtMostOnceSimulation::Sender* AtMostOnceSimulation::FindNext()
{
  Sender* next = nullptr;
  for (auto& sender : m_senders) {
    bool const isEarlier = !next || sender.m_wakeAt < next->m_wakeAt;
    if (!sender.m_isFinished && isEarlier) {
      next = &sender;
    }
  }
  return next;
}

AtMostOnceResult AtMostOnceSimulation::Run()
{
  while (auto* const sender = FindNext()) {
    m_now = std::max(m_now, sender->m_wakeAt);
    ++sender->m_steps;
    m_result.m_maximumSteps = std::max(m_result.m_maximumSteps, sender->m_steps);
    if (!ApplyFault(*sender)) {
      Step(*sender);
    }
  }
  for (auto const& [order, runs] : m_runs) {
    m_result.m_duplicates += runs - 1;
  }
  std::set<std::size_t> orders;
  for (auto const& sender : m_senders) {
    orders.insert(sender.m_attempt.m_order);
  }
  m_result.m_orders = orders.size();
  auto const later = m_now + 25h;
  m_result.m_platformWrites += m_retention.TakeDue(later).size();
  return m_result;
}

std::optional<InjectedFault> AtMostOnceSimulation::FaultFor(Sender const& aSender)
{
  for (auto const& planned : m_plan.m_faults) {
    if (planned.m_attempt == aSender.m_index && planned.m_step == aSender.m_steps) {
      return planned.m_fault;
    }
  }
  if (m_plan.m_faultProbability > 0 && m_random.Fraction() < m_plan.m_faultProbability) {
    // An outage affects every attempt, so only a small share of the faults are outages.
    if (m_random.Fraction() < kOutageShare) {
      return InjectedFault::PlatformOutage;
    }
    auto const choice = static_cast<std::size_t>(m_random.Fraction() * kSingleFaults.size());
    return kSingleFaults.at(choice);
  }
  return std::nullopt;
}

/// Returns true if the fault replaces the step.
bool AtMostOnceSimulation::ApplyFault(Sender& aSender)
{
  auto const fault = FaultFor(aSender);
  if (!fault) {
    return false;
  }
  switch (*fault) {
    case InjectedFault::AgentCrash:
      RecordOutcome(aSender, base::Unknown{ "agent_died" });
      aSender.m_isFinished = true;
      return true;
    case InjectedFault::Pause:
      aSender.m_wakeAt = m_now + kPauseDuration;
      return true;
    case InjectedFault::PlatformOutage:
      m_downUntil = m_now + kOutageDuration;
      return false;
    case InjectedFault::ResponseLost:
      aSender.m_losesNextResponse = true;
      return false;
  }
  return false;
}

void AtMostOnceSimulation::Step(Sender& aSender)
{
  if (aSender.m_runResult) {
    auto end = *std::exchange(aSender.m_runResult, std::nullopt);
    if (auto const* const response = std::get_if<service::StoredResponse>(&end)) {
      RecordOutcome(aSender, *response);
    } else if (auto const* const notRun = std::get_if<base::NotRun>(&end)) {
      RecordOutcome(aSender, *notRun);
    } else {
      RecordOutcome(aSender, base::Unknown{ "upstream_lost" });
    }
    aSender.m_claimAttempt.OnRunEnded(std::move(end));
    aSender.m_isFinished = !m_plan.m_usesClaims;
    return;
  }
  if (!m_plan.m_usesClaims) {
    Send(aSender);
    return;
  }
  if (aSender.m_write) {
    StepWrite(aSender);
    return;
  }
  StepClaimed(aSender);
}

void AtMostOnceSimulation::StepClaimed(Sender& aSender)
{
  auto const step = aSender.m_claimAttempt.Next(m_now);
  if (auto const* const write = std::get_if<service::WriteClaim>(&step)) {
    StartWrite(aSender, *write);
  } else if (std::holds_alternative<service::ReadClaim>(step)) {
    Read(aSender);
  } else if (auto const* const wait = std::get_if<service::WaitForOwner>(&step)) {
    aSender.m_wakeAt = wait->m_until;
  } else if (std::holds_alternative<service::RunRequest>(step)) {
    Send(aSender);
  } else if (auto const* const kept = std::get_if<service::ReturnStoredResponse>(&step)) {
    RecordOutcome(aSender, kept->m_response);
    aSender.m_isFinished = true;
  } else if (auto const* const refused = std::get_if<service::RefuseClaimed>(&step)) {
    if (aSender.m_claimAttempt.IsAbandoned()) {
      m_abandonedOwners.insert(aSender.m_owner);
    }
    if (auto const* const notRun = std::get_if<base::NotRun>(&refused->m_outcome)) {
      RecordOutcome(aSender, *notRun);
    } else {
      RecordOutcome(aSender, std::get<base::Unknown>(refused->m_outcome));
    }
    aSender.m_isFinished = true;
  } else {
    aSender.m_isFinished = true;
  }
}

void AtMostOnceSimulation::Send(Sender& aSender)
{
  if (m_now > aSender.m_startBy) {
    aSender.m_runResult = base::NotRun::BeforeSending("start_by_passed");
    return;
  }
  aSender.m_hasRun = true;
  auto const run = ++m_runs[aSender.m_attempt.m_order];
  service::StoredResponse response;
  response.m_body = "run " + std::to_string(run);
  if (std::exchange(aSender.m_losesNextResponse, false)) {
    aSender.m_runResult = base::Unknown{ "upstream_lost" };
  } else {
    aSender.m_runResult = std::move(response);
  }
  aSender.m_wakeAt = m_now + kRunTime;
}

void AtMostOnceSimulation::StartWrite(Sender& aSender, service::WriteClaim const& aStep)
{
  auto nonce = objectstore::WriteNonce::FromValidated("nonce-" + std::to_string(++m_nonces));
  objectstore::ObjectWrite const write{ {}, aStep.m_condition, {}, nonce };
  objectstore::WriteResolution resolution(write, m_now + kWriteTimeout, {},
                                          m_plan.m_seed + m_nonces);
  aSender.m_write.emplace(
    Write{ aStep.m_condition, aStep.m_claim, std::move(nonce), std::move(resolution) });
}

void AtMostOnceSimulation::StepWrite(Sender& aSender)
{
  auto& resolution = aSender.m_write->m_resolution;
  auto const step = resolution.Next(m_now);
  if (auto const* const ended = std::get_if<objectstore::WriteEnded>(&step)) {
    EndWrite(aSender, ended->m_result);
    return;
  }
  if (auto const* const wait = std::get_if<objectstore::WaitUntil>(&step)) {
    aSender.m_wakeAt = wait->m_time;
    return;
  }
  aSender.m_wakeAt = m_now + kStoreLatency;
  if (std::holds_alternative<objectstore::ReadBack>(step)) {
    resolution.OnReadResponse(ReadBack(aSender), m_now);
  } else {
    resolution.OnWriteResponse(Apply(aSender), m_now);
  }
}

void AtMostOnceSimulation::EndWrite(
  Sender& aSender, tl::expected<base::ObjectVersion, objectstore::WriteError> aResult)
{
  if (aResult) {
    auto name = objectstore::ObjectName::FromValidated(std::to_string(aSender.m_attempt.m_order));
    m_retention.Record(name, *aResult, aSender.m_write->m_claim.m_state, m_now);
  }
  aSender.m_write.reset();
  aSender.m_claimAttempt.OnWritten(aResult);
}

tl::expected<base::ObjectVersion, objectstore::WriteError> AtMostOnceSimulation::Apply(
  Sender& aSender)
{
  using Kind = objectstore::WriteError::Kind;
  if (IsDown()) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::NotApplied, "down" });
  }
  ++m_result.m_platformWrites;
  auto const& write = *aSender.m_write;
  auto const found = m_store.find(aSender.m_attempt.m_order);
  auto const* const expected = std::get_if<objectstore::IfVersion>(&write.m_condition);
  bool const holds = expected
                       ? found != m_store.end() && found->second.m_version == expected->m_version
                       : found == m_store.end();
  if (holds) {
    m_latest = m_latest.Next();
    m_store[aSender.m_attempt.m_order] = { m_latest, write.m_nonce, write.m_claim };
  }
  if (std::exchange(aSender.m_losesNextResponse, false)) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::Unknown, "answer lost" });
  }
  if (!holds) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::Conflict, "other version" });
  }
  return m_latest;
}

tl::expected<objectstore::Object, objectstore::ReadError> AtMostOnceSimulation::ReadBack(
  Sender& aSender)
{
  using Kind = objectstore::ReadError::Kind;
  if (IsDown() || std::exchange(aSender.m_losesNextResponse, false)) {
    return tl::make_unexpected(objectstore::ReadError{ Kind::Unavailable, "down" });
  }
  ++m_result.m_platformReads;
  auto const found = m_store.find(aSender.m_attempt.m_order);
  if (found == m_store.end()) {
    return tl::make_unexpected(objectstore::ReadError{ Kind::NotFound, "" });
  }
  return objectstore::Object{ {}, found->second.m_version, {}, found->second.m_nonce };
}

void AtMostOnceSimulation::Read(Sender& aSender)
{
  aSender.m_wakeAt = m_now + kStoreLatency;
  using Result = tl::expected<service::VersionedClaim, objectstore::ReadError>;
  auto const object = ReadBack(aSender);
  Result result = tl::make_unexpected(objectstore::ReadError{});
  bool isAbandoned = false;
  if (object) {
    auto const& stored = m_store.at(aSender.m_attempt.m_order);
    isAbandoned = m_abandonedOwners.contains(stored.m_claim.m_owner);
    result = service::VersionedClaim{ stored.m_version, stored.m_claim };
  } else {
    result = tl::make_unexpected(object.error());
  }
  aSender.m_claimAttempt.OnRead(result, isAbandoned, m_now);
}

void AtMostOnceSimulation::RecordOutcome(
  Sender& aSender, std::variant<base::NotRun, service::StoredResponse, base::Unknown> aOutcome)
{
  if (auto const* const response = std::get_if<service::StoredResponse>(&aOutcome)) {
    ++m_result.m_answered;
    m_result.m_wrongResponses += response->m_body == "run 1" ? 0 : 1;
  } else if (std::holds_alternative<base::NotRun>(aOutcome)) {
    ++m_result.m_notRun;
    m_result.m_falseNotRun += aSender.m_hasRun ? 1 : 0;
  } else {
    ++m_result.m_unknown;
  }
}

std::vector<OrderAttempt> PlanResends(std::size_t aOrders, std::size_t aResends,
                                      std::uint64_t aSeed)
{
  objectstore::RandomSource random(aSeed);
  std::vector<OrderAttempt> attempts;
  for (std::size_t order = 0; order < aOrders; ++order) {
    auto const slot = static_cast<std::int64_t>(order);
    base::Duration at = kOrderInterval * slot + random.Below(kOrderInterval);
    auto agent = static_cast<std::size_t>(random.Fraction() * kAgents);
    attempts.push_back({ order, agent, at });
    for (std::size_t resend = 0; resend < aResends; ++resend) {
      bool const isSoon = random.Fraction() < 0.7;
      at += isSoon ? random.Below(100ms) : random.Below(5min);
      agent = (agent + 1) % kAgents;
      attempts.push_back({ order, agent, at });
    }
  }
  return attempts;
}

} // namespace sardinefold::tests
