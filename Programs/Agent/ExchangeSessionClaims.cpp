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

/// A resend that waits for an earlier attempt gets the outcome "unknown" this long
/// before its entry would abandon the exchange.
constexpr base::Duration kResponseMargin = std::chrono::milliseconds(500);
/// Time limit for each write that creates the claim, for which the caller waits.
constexpr base::Duration kClaimTimeout = std::chrono::seconds(2);
/// Time limit for each write that records the response, after the caller has
/// received it.
constexpr base::Duration kRecordTimeout = std::chrono::seconds(30);
/// Time limit for the head of the upstream's response, and between two chunks of
/// its body.
constexpr base::Duration kUpstreamTimeout = std::chrono::minutes(2);
/// Maximum size of a response that is relayed, whether or not it is stored.
constexpr base::Bytes kMaximumResponseBytes{ 8LL * 1024 * 1024 };

service::ContentHash HashContent(base::HttpRequest const& aRequest)
{
  auto const text = aRequest.m_method + "\n" + aRequest.m_target + "\n" + aRequest.m_body;
  return service::ContentHash::FromValidated(base::ToHex(base::Sha256(text)));
}

bool FitsInClaim(service::StoredResponse const& aResponse)
{
  auto size = aResponse.m_body.size();
  for (auto const& field : aResponse.m_fields) {
    size += field.m_name.size() + field.m_value.size();
  }
  return static_cast<std::int64_t>(size) <= service::kMaximumStoredBody.Value();
}

struct RefusalResponse
{
  Refusal m_refusal;
  unsigned m_status;
};

RefusalResponse ToRefusalResponse(service::ClaimRefusal aReason)
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
  auto const waitEnd = std::max(m_arrival, LatestStart() - kResponseMargin);
  auto ticket = m_context.m_claims.Open(m_head.m_claim, HashContent(m_exchange.Request()), waitEnd);
  auto const step = co_await m_context.m_claims.Advance(ticket, kClaimTimeout);
  if (auto const* const kept = std::get_if<service::ReturnStoredResponse>(&step)) {
    co_await RespondStored(kept->m_response);
    co_return;
  }
  if (auto const* const refused = std::get_if<service::RefuseClaimed>(&step)) {
    auto const answer = ToRefusalResponse(refused->m_reason);
    bool const isNotRun = std::holds_alternative<base::NotRun>(refused->m_outcome);
    auto const outcome = isNotRun ? StatedOutcome::NotRun : StatedOutcome::Unknown;
    co_await Respond(answer.m_status, outcome, answer.m_refusal);
    co_return;
  }
  auto end = co_await RunWhenAdmitted();
  ticket.m_attempt.OnRunEnded(std::move(end));
  auto const last = co_await m_context.m_claims.Advance(ticket, kRecordTimeout);
  auto const* const ended = std::get_if<service::ClaimEnded>(&last);
  if (!ended || !ended->m_isRecorded) {
    base::log::Error(
      "result of a claimed request not recorded; a resend gets outcome unknown",
      { { "request", m_head.m_request.Text() }, { "workspace", m_head.m_workspace.Text() } });
  }
}

awaitable<service::RunResult> ExchangeSession::RunWhenAdmitted()
{
  auto const entered = co_await m_context.m_gate.Enter(m_head, LatestStart(), m_entryDisconnected);
  if (!entered) {
    co_await Refuse(entered.error());
    co_return base::NotRun::BeforeSending(std::string(ToText(entered.error())));
  }
  auto const started = m_context.m_loop.Now();
  auto const refusal = CheckStart();
  if (refusal) {
    co_await Refuse(*refusal);
    m_context.m_gate.Leave(m_head.m_correlation, agent::LoadSignal::Served, base::Duration::zero());
    co_return base::NotRun::BeforeSending(std::string(ToText(*refusal)));
  }
  auto end = co_await RunAtUpstream();
  auto const now = m_context.m_loop.Now();
  bool const isServed = !std::holds_alternative<base::Unknown>(end);
  m_context.m_gate.Leave(m_head.m_correlation,
                         isServed ? agent::LoadSignal::Served : agent::LoadSignal::Overloaded,
                         now - started);
  co_return end;
}

awaitable<service::RunResult> ExchangeSession::RunAtUpstream()
{
  auto request = UpstreamRequest();
  auto const& upstream = m_context.m_configuration.m_upstreamAddress;
  auto options = UpstreamOptions(kUpstreamTimeout);
  auto reply = co_await m_context.m_http.Send(upstream, std::move(request), std::move(options));
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
  caller::ResponseMemoryBudget::Lease lease(m_context.m_responseMemory);
  while (!reply->IsComplete()) {
    auto chunk = co_await ReadChunk(*reply, kUpstreamTimeout);
    if (!chunk) {
      auto failure = chunk.error();
      co_await ReportFailure(std::move(failure));
      co_return base::Unknown{ std::string(ToText(Refusal::UpstreamLost)) };
    }
    answer.m_body += *chunk;
    base::Bytes const size(static_cast<std::int64_t>(answer.m_body.size()));
    if (size > kMaximumResponseBytes || !lease.Resize(size)) {
      co_await Respond(kBadGateway, StatedOutcome::Unknown, Refusal::AnswerNotKept);
      co_return service::ResponseNotStored{};
    }
  }
  co_await RespondStored(answer);
  if (!FitsInClaim(answer)) {
    co_return service::ResponseNotStored{};
  }
  co_return answer;
}

awaitable<void> ExchangeSession::RespondStored(service::StoredResponse const& aResponse)
{
  Record(StatedOutcome::Ran);
  base::HttpResponse response;
  response.m_status = aResponse.m_status;
  response.m_body = aResponse.m_body;
  for (auto const& field : aResponse.m_fields) {
    response.m_headers.Add(field.m_name, field.m_value);
  }
  agent::EncodeResponseHead(MakeResponseHead(StatedOutcome::Ran, {}), response.m_headers);
  m_context.m_registry.OnHead(m_head.m_correlation);
  base::Bytes const size(static_cast<std::int64_t>(aResponse.m_body.size()));
  m_context.m_registry.OnWritten(m_head.m_correlation, size);
  co_await m_exchange.Respond(std::move(response));
}

} // namespace sardinefold::programs
