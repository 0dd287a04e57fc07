#include "Base/Digest.h"
#include "Programs/Agent/ExchangeSession.h"

namespace sardinefold::programs {

using agent::Refusal;
using agent::StatedOutcome;
using boost::asio::awaitable;

namespace {

constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

/// A resend that waits for an earlier sending is told that its outcome is
/// unknown this long before its entry would give up the exchange.
constexpr base::Duration kAnswerMargin = std::chrono::milliseconds(500);
/// For the claim's creation, as long as the caller waits for it.
constexpr base::Duration kClaimLimit = std::chrono::seconds(2);
/// For the record of the answer, after the caller has it.
constexpr base::Duration kRecordLimit = std::chrono::seconds(30);
/// For the whole answer of the upstream.
constexpr base::Duration kRunLimit = std::chrono::minutes(2);
/// Largest answer that is passed on, kept or not.
constexpr std::size_t kMaxAnswerBytes = 8UL * 1024 * 1024;

service::ContentHash ContentOf(base::HttpRequest const& aRequest)
{
  auto const text = aRequest.m_method + "\n" + aRequest.m_target + "\n" + aRequest.m_body;
  return service::ContentHash::FromValidated(base::ToHex(base::Sha256(text)));
}

bool FitsTheClaim(service::StoredResponse const& aAnswer)
{
  auto size = aAnswer.m_body.size();
  for (auto const& field : aAnswer.m_fields) {
    size += field.m_name.size() + field.m_value.size();
  }
  return static_cast<std::int64_t>(size) <= service::kMaximumStoredBody.Value();
}

struct RefusalAnswer
{
  Refusal m_refusal;
  unsigned m_status;
};

RefusalAnswer ToAnswer(service::ClaimRefusal aReason)
{
  switch (aReason) {
    case service::ClaimRefusal::NotWritten:
      return { Refusal::ClaimNotWritten, kUnavailable };
    case service::ClaimRefusal::KeyReused:
      return { Refusal::KeyReused, kUnprocessable };
    case service::ClaimRefusal::EarlierUnknown:
      return { Refusal::EarlierOutcomeUnknown, kConflict };
    case service::ClaimRefusal::AnswerNotKept:
      return { Refusal::AnswerNotKept, kConflict };
  }
  return { Refusal::EarlierOutcomeUnknown, kConflict };
}

} // namespace

awaitable<void> ExchangeSession::RunClaimed()
{
  auto const waitEnd = std::max(m_arrival, LatestStart() - kAnswerMargin);
  auto ticket = m_parts.m_claims.Open(m_head.m_claim, ContentOf(m_exchange.Request()), waitEnd);
  auto const step = co_await m_parts.m_claims.Advance(ticket, kClaimLimit);
  if (auto const* const kept = std::get_if<service::ReturnStoredResponse>(&step)) {
    co_await RespondKept(kept->m_response);
    co_return;
  }
  if (auto const* const refused = std::get_if<service::RefuseClaimed>(&step)) {
    auto const answer = ToAnswer(refused->m_reason);
    bool const isNotRun = std::holds_alternative<base::NotRun>(refused->m_outcome);
    auto const outcome = isNotRun ? StatedOutcome::NotRun : StatedOutcome::Unknown;
    co_await Respond(answer.m_status, outcome, answer.m_refusal);
    co_return;
  }
  auto end = co_await RunInTurn();
  ticket.m_attempt.OnRunEnded(std::move(end));
  auto const last = co_await m_parts.m_claims.Advance(ticket, kRecordLimit);
  auto const* const ended = std::get_if<service::ClaimEnded>(&last);
  if (!ended || !ended->m_isRecorded) {
    base::log::Error(
      "the end of a claimed request is not recorded; a resend hears unknown",
      { { "request", m_head.m_request.Text() }, { "workspace", m_head.m_workspace.Text() } });
  }
}

awaitable<service::RunResult> ExchangeSession::RunInTurn()
{
  auto const entered = co_await m_parts.m_gate.Enter(m_head, LatestStart(), m_entryGone);
  if (!entered) {
    co_await Refuse(entered.error());
    co_return base::NotRun::BeforeSending(std::string(ToText(entered.error())));
  }
  auto const started = m_parts.m_loop.Now();
  auto const refusal = CheckStart();
  if (refusal) {
    co_await Refuse(*refusal);
    m_parts.m_gate.Leave(m_head.m_correlation, agent::LoadSignal::Served, base::Duration::zero());
    co_return base::NotRun::BeforeSending(std::string(ToText(*refusal)));
  }
  auto end = co_await RunOnce();
  auto const now = m_parts.m_loop.Now();
  bool const isServed = !std::holds_alternative<base::Unknown>(end);
  m_parts.m_gate.Leave(m_head.m_correlation,
                       isServed ? agent::LoadSignal::Served : agent::LoadSignal::Overloaded,
                       now - started);
  co_return end;
}

awaitable<service::RunResult> ExchangeSession::RunOnce()
{
  auto request = UpstreamRequest();
  auto const& upstream = m_parts.m_configuration.m_upstreamAddress;
  auto reply = co_await m_parts.m_http.Send(upstream, std::move(request), kRunLimit);
  if (!reply) {
    auto failure = reply.error();
    bool const mayHaveRun = failure.m_mayHaveBeenSent;
    co_await ReportFailure(std::move(failure));
    if (mayHaveRun) {
      co_return base::Unknown{ std::string(ToText(Refusal::UpstreamLost)) };
    }
    co_return base::NotRun::NeverConnected(std::string(ToText(Refusal::UpstreamUnreachable)));
  }
  service::StoredResponse answer;
  answer.m_status = reply->Status();
  auto const fields = UpstreamFields(*reply);
  for (auto const& field : fields.Fields()) {
    answer.m_fields.push_back({ field.m_name, field.m_value });
  }
  while (!reply->IsComplete()) {
    auto piece = co_await reply->Read(kRunLimit);
    if (!piece) {
      auto failure = piece.error();
      co_await ReportFailure(std::move(failure));
      co_return base::Unknown{ std::string(ToText(Refusal::UpstreamLost)) };
    }
    answer.m_body += *piece;
    if (answer.m_body.size() > kMaxAnswerBytes) {
      co_await Respond(kBadGateway, StatedOutcome::Unknown, Refusal::AnswerNotKept);
      co_return service::ResponseNotStored{};
    }
  }
  co_await RespondKept(answer);
  if (!FitsTheClaim(answer)) {
    co_return service::ResponseNotStored{};
  }
  co_return answer;
}

awaitable<void> ExchangeSession::RespondKept(service::StoredResponse const& aAnswer)
{
  Record(StatedOutcome::Ran);
  base::HttpResponse response;
  response.m_status = aAnswer.m_status;
  response.m_body = aAnswer.m_body;
  for (auto const& field : aAnswer.m_fields) {
    response.m_headers.Add(field.m_name, field.m_value);
  }
  agent::EncodeAnswerHead(Answer(StatedOutcome::Ran, {}), response.m_headers);
  m_parts.m_registry.NoteHead(m_head.m_correlation);
  base::Bytes const size(static_cast<std::int64_t>(aAnswer.m_body.size()));
  m_parts.m_registry.NoteWritten(m_head.m_correlation, size);
  co_await m_exchange.Respond(std::move(response));
}

} // namespace sardinefold::programs
