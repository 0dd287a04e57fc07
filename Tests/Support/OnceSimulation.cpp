#include "Tests/Support/OnceSimulation.h"

#include <algorithm>

namespace sardinefold::tests {

using service::ClaimAttempt;
using namespace std::chrono_literals;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr base::Duration kStoreTime = 2ms;
constexpr base::Duration kRunTime = 30ms;
constexpr base::Duration kPatience = 5s;
constexpr base::Duration kPauseTime = 20s;
constexpr base::Duration kOutage = 3s;
/// Longest time for one write to become known.
constexpr base::Duration kWriteLimit = 4s;
constexpr std::size_t kAgents = 4;
constexpr double kOutageShare = 0.02;
/// Between the first sendings of two orders, on average.
constexpr base::Duration kOrderPause = 100ms;
/// Faults that hit one sending.
constexpr std::array kSingleFaults{ OnceFault::AgentDies, OnceFault::AnswerLost, OnceFault::Pause };

service::ContentHash Content(std::size_t aOrder)
{
  return service::ContentHash::FromValidated("content-" + std::to_string(aOrder));
}

ClaimAttempt MakeAttempt(OnceSending const& aSending, service::ClaimOwnerId const& aOwner)
{
  auto const incarnation =
    base::IncarnationId::FromValidated("agent-" + std::to_string(aSending.m_agent));
  ClaimAttempt::Identity identity{ aOwner, incarnation, Content(aSending.m_order) };
  return ClaimAttempt(std::move(identity), kStart + aSending.m_at + kPatience);
}

} // namespace

OnceSimulation::OnceSimulation(OncePlan aPlan)
  : m_plan(std::move(aPlan))
  , m_random(m_plan.m_seed)
  , m_now(kStart)
{
  for (auto const& sending : m_plan.m_sendings) {
    auto const index = m_senders.size();
    auto owner = service::ClaimOwnerId::FromValidated("owner-" + std::to_string(index));
    auto attempt = MakeAttempt(sending, owner);
    auto const begin = kStart + sending.m_at;
    m_senders.push_back({ index, sending, std::move(owner), std::move(attempt), begin + kPatience,
                          begin, 0, false, false, false, std::nullopt, std::nullopt });
  }
}

OnceSimulation::Sender* OnceSimulation::FindNext()
{
  Sender* next = nullptr;
  for (auto& sender : m_senders) {
    bool const isEarlier = !next || sender.m_wake < next->m_wake;
    if (!sender.m_isOver && isEarlier) {
      next = &sender;
    }
  }
  return next;
}

OnceResult OnceSimulation::Run()
{
  while (auto* const sender = FindNext()) {
    m_now = std::max(m_now, sender->m_wake);
    ++sender->m_steps;
    m_result.m_mostSteps = std::max(m_result.m_mostSteps, sender->m_steps);
    if (!ApplyFault(*sender)) {
      Step(*sender);
    }
  }
  for (auto const& [order, runs] : m_runs) {
    m_result.m_duplicates += runs - 1;
  }
  std::set<std::size_t> orders;
  for (auto const& sender : m_senders) {
    orders.insert(sender.m_sending.m_order);
  }
  m_result.m_orders = orders.size();
  auto const later = m_now + 25h;
  m_result.m_platformWrites += m_retention.TakeDue(later).size();
  return m_result;
}

std::optional<OnceFault> OnceSimulation::FaultFor(Sender const& aSender)
{
  for (auto const& planned : m_plan.m_faults) {
    if (planned.m_sending == aSender.m_index && planned.m_step == aSender.m_steps) {
      return planned.m_fault;
    }
  }
  if (m_plan.m_faultChance > 0 && m_random.Fraction() < m_plan.m_faultChance) {
    // An outage hits every sending, so few of them keep the platform down.
    if (m_random.Fraction() < kOutageShare) {
      return OnceFault::PlatformDown;
    }
    auto const choice = static_cast<std::size_t>(m_random.Fraction() * kSingleFaults.size());
    return kSingleFaults.at(choice);
  }
  return std::nullopt;
}

/// True if the fault takes the place of the step.
bool OnceSimulation::ApplyFault(Sender& aSender)
{
  auto const fault = FaultFor(aSender);
  if (!fault) {
    return false;
  }
  switch (*fault) {
    case OnceFault::AgentDies:
      Tell(aSender, base::Unknown{ "agent_died" });
      aSender.m_isOver = true;
      return true;
    case OnceFault::Pause:
      aSender.m_wake = m_now + kPauseTime;
      return true;
    case OnceFault::PlatformDown:
      m_downUntil = m_now + kOutage;
      return false;
    case OnceFault::AnswerLost:
      aSender.m_losesNextAnswer = true;
      return false;
  }
  return false;
}

void OnceSimulation::Step(Sender& aSender)
{
  if (aSender.m_runEnd) {
    auto end = *std::exchange(aSender.m_runEnd, std::nullopt);
    if (auto const* const answer = std::get_if<service::StoredResponse>(&end)) {
      Tell(aSender, *answer);
    } else if (auto const* const notRun = std::get_if<base::NotRun>(&end)) {
      Tell(aSender, *notRun);
    } else {
      Tell(aSender, base::Unknown{ "upstream_lost" });
    }
    aSender.m_attempt.OnRunEnded(std::move(end));
    aSender.m_isOver = !m_plan.m_usesClaims;
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

void OnceSimulation::StepClaimed(Sender& aSender)
{
  auto const step = aSender.m_attempt.Next(m_now);
  if (auto const* const write = std::get_if<service::WriteClaim>(&step)) {
    StartWrite(aSender, *write);
  } else if (std::holds_alternative<service::ReadClaim>(step)) {
    Read(aSender);
  } else if (auto const* const wait = std::get_if<service::WaitForOwner>(&step)) {
    aSender.m_wake = wait->m_until;
  } else if (std::holds_alternative<service::RunRequest>(step)) {
    Send(aSender);
  } else if (auto const* const kept = std::get_if<service::ReturnStoredResponse>(&step)) {
    Tell(aSender, kept->m_response);
    aSender.m_isOver = true;
  } else if (auto const* const refused = std::get_if<service::RefuseClaimed>(&step)) {
    if (aSender.m_attempt.IsAbandoned()) {
      m_gaveUp.insert(aSender.m_owner);
    }
    if (auto const* const notRun = std::get_if<base::NotRun>(&refused->m_outcome)) {
      Tell(aSender, *notRun);
    } else {
      Tell(aSender, std::get<base::Unknown>(refused->m_outcome));
    }
    aSender.m_isOver = true;
  } else {
    aSender.m_isOver = true;
  }
}

void OnceSimulation::Send(Sender& aSender)
{
  if (m_now > aSender.m_startBy) {
    aSender.m_runEnd = base::NotRun::BeforeSending("start_by_passed");
    return;
  }
  aSender.m_hasRun = true;
  auto const run = ++m_runs[aSender.m_sending.m_order];
  service::StoredResponse answer;
  answer.m_body = "run " + std::to_string(run);
  if (std::exchange(aSender.m_losesNextAnswer, false)) {
    aSender.m_runEnd = base::Unknown{ "upstream_lost" };
  } else {
    aSender.m_runEnd = std::move(answer);
  }
  aSender.m_wake = m_now + kRunTime;
}

void OnceSimulation::StartWrite(Sender& aSender, service::WriteClaim const& aStep)
{
  auto nonce = objectstore::WriteNonce::FromValidated("nonce-" + std::to_string(++m_nonces));
  objectstore::ObjectWrite const write{ {}, aStep.m_condition, {}, nonce };
  objectstore::WriteResolution resolution(write, m_now + kWriteLimit, {}, m_plan.m_seed + m_nonces);
  aSender.m_write.emplace(
    Write{ aStep.m_condition, aStep.m_claim, std::move(nonce), std::move(resolution) });
}

void OnceSimulation::StepWrite(Sender& aSender)
{
  auto& resolution = aSender.m_write->m_resolution;
  auto const step = resolution.Next(m_now);
  if (auto const* const ended = std::get_if<objectstore::WriteEnded>(&step)) {
    EndWrite(aSender, ended->m_result);
    return;
  }
  if (auto const* const wait = std::get_if<objectstore::WaitUntil>(&step)) {
    aSender.m_wake = wait->m_time;
    return;
  }
  aSender.m_wake = m_now + kStoreTime;
  if (std::holds_alternative<objectstore::ReadBack>(step)) {
    resolution.OnReadResponse(ReadBack(aSender), m_now);
  } else {
    resolution.OnWriteResponse(Apply(aSender), m_now);
  }
}

void OnceSimulation::EndWrite(Sender& aSender,
                              tl::expected<base::ObjectVersion, objectstore::WriteError> aResult)
{
  if (aResult) {
    auto name = objectstore::ObjectName::FromValidated(std::to_string(aSender.m_sending.m_order));
    m_retention.Record(name, *aResult, aSender.m_write->m_claim.m_state, m_now);
  }
  aSender.m_write.reset();
  aSender.m_attempt.OnWritten(aResult);
}

tl::expected<base::ObjectVersion, objectstore::WriteError> OnceSimulation::Apply(Sender& aSender)
{
  using Kind = objectstore::WriteError::Kind;
  if (IsDown()) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::NotApplied, "down" });
  }
  ++m_result.m_platformWrites;
  auto const& write = *aSender.m_write;
  auto const found = m_store.find(aSender.m_sending.m_order);
  auto const* const expected = std::get_if<objectstore::IfVersion>(&write.m_condition);
  bool const holds = expected
                       ? found != m_store.end() && found->second.m_version == expected->m_version
                       : found == m_store.end();
  if (holds) {
    m_latest = m_latest.Next();
    m_store[aSender.m_sending.m_order] = { m_latest, write.m_nonce, write.m_claim };
  }
  if (std::exchange(aSender.m_losesNextAnswer, false)) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::Unknown, "answer lost" });
  }
  if (!holds) {
    return tl::make_unexpected(objectstore::WriteError{ Kind::Conflict, "other version" });
  }
  return m_latest;
}

tl::expected<objectstore::Object, objectstore::ReadError> OnceSimulation::ReadBack(Sender& aSender)
{
  using Kind = objectstore::ReadError::Kind;
  if (IsDown() || std::exchange(aSender.m_losesNextAnswer, false)) {
    return tl::make_unexpected(objectstore::ReadError{ Kind::Unavailable, "down" });
  }
  ++m_result.m_platformReads;
  auto const found = m_store.find(aSender.m_sending.m_order);
  if (found == m_store.end()) {
    return tl::make_unexpected(objectstore::ReadError{ Kind::NotFound, "" });
  }
  return objectstore::Object{ {}, found->second.m_version, {}, found->second.m_nonce };
}

void OnceSimulation::Read(Sender& aSender)
{
  aSender.m_wake = m_now + kStoreTime;
  using Result = tl::expected<service::VersionedClaim, objectstore::ReadError>;
  auto const object = ReadBack(aSender);
  Result result = tl::make_unexpected(objectstore::ReadError{});
  bool gaveUp = false;
  if (object) {
    auto const& stored = m_store.at(aSender.m_sending.m_order);
    gaveUp = m_gaveUp.contains(stored.m_claim.m_owner);
    result = service::VersionedClaim{ stored.m_version, stored.m_claim };
  } else {
    result = tl::make_unexpected(object.error());
  }
  aSender.m_attempt.OnRead(result, gaveUp, m_now);
}

void OnceSimulation::Tell(Sender& aSender,
                          std::variant<base::NotRun, service::StoredResponse, base::Unknown> aEnd)
{
  if (auto const* const answer = std::get_if<service::StoredResponse>(&aEnd)) {
    ++m_result.m_answered;
    m_result.m_wrongAnswers += answer->m_body == "run 1" ? 0 : 1;
  } else if (std::holds_alternative<base::NotRun>(aEnd)) {
    ++m_result.m_notRun;
    m_result.m_falseNotRun += aSender.m_hasRun ? 1 : 0;
  } else {
    ++m_result.m_unknown;
  }
}

std::vector<OnceSending> PlanResends(std::size_t aOrders, std::size_t aResends, std::uint64_t aSeed)
{
  objectstore::RandomSource random(aSeed);
  std::vector<OnceSending> sendings;
  for (std::size_t order = 0; order < aOrders; ++order) {
    auto const slot = static_cast<std::int64_t>(order);
    base::Duration at = kOrderPause * slot + random.Below(kOrderPause);
    auto agent = static_cast<std::size_t>(random.Fraction() * kAgents);
    sendings.push_back({ order, agent, at });
    for (std::size_t resend = 0; resend < aResends; ++resend) {
      bool const isSoon = random.Fraction() < 0.7;
      at += isSoon ? random.Below(100ms) : random.Below(5min);
      agent = (agent + 1) % kAgents;
      sendings.push_back({ order, agent, at });
    }
  }
  return sendings;
}

} // namespace sardinefold::tests
