#include "StandIns/Engine/CompletionText.h"
#include "StandIns/Engine/EngineStandIn.h"

#include <charconv>
#include <cstdlib>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kStreamsPath = "/streams/";
constexpr std::chrono::seconds kStepTimeout{ 60 };

} // namespace

tl::expected<std::string, base::HttpResponse> EngineStandIn::Start(
  base::HttpRequest const& aRequest)
{
  auto parsed = ParseCompletionRequest(aRequest);
  if (!parsed) {
    return tl::make_unexpected(ErrorResponse(400, "invalid_request", parsed.error()));
  }
  if (!m_poison.empty() && parsed->m_prompt.find(m_poison) != std::string::npos) {
    std::_Exit(EXIT_FAILURE);
  }
  if (!m_engineMemory.IsLoaded(parsed->m_model)) {
    return tl::make_unexpected(
      ErrorResponse(404, "model_not_loaded", "\"" + parsed->m_model + "\" is not loaded"));
  }
  Sequence sequence;
  sequence.m_promptHash = PromptHash(parsed->m_model, parsed->m_prompt);
  auto const natural = NaturalLength(sequence.m_promptHash);
  auto const maximum = parsed->m_maximumTokens.value_or(natural);
  sequence.m_length = parsed->m_ignoreEnd ? maximum : std::min(natural, maximum);
  auto& response = sequence.m_response;
  response.m_isChat = parsed->m_isChat;
  response.m_id = (parsed->m_isChat ? "chatcmpl-" : "cmpl-") + std::to_string(m_nextStream++);
  response.m_model = parsed->m_model;
  response.m_createdSeconds = m_loop.WallNow().m_milliseconds / 1000;
  response.m_promptTokens = CountTokens(parsed->m_prompt);
  response.m_finishReason = sequence.m_length < natural || parsed->m_ignoreEnd ? "length" : "stop";
  auto& entry = m_executionLog.Add(aRequest, m_loop.WallNow());
  entry.m_model = parsed->m_model;
  entry.m_promptTokens = response.m_promptTokens;
  sequence.m_executionSequence = entry.m_sequence;
  sequence.m_request = std::move(*parsed);
  auto const id = response.m_id;
  m_batch.Add(id, std::move(sequence));
  return id;
}

void EngineStandIn::RecordEnd(Sequence const& aSequence, std::string const& aOutcome)
{
  if (auto* const entry = m_executionLog.Find(aSequence.m_executionSequence)) {
    entry->m_generatedTokens = aSequence.m_response.m_generatedTokens;
  }
  m_executionLog.End(aSequence.m_executionSequence, aOutcome, m_loop.WallNow());
}

void EngineStandIn::Cancel(std::string const& aId)
{
  auto const* const sequence = m_batch.Find(aId);
  if (!sequence) {
    return;
  }
  bool const isFinished = sequence->m_state == SequenceState::Finished;
  RecordEnd(*sequence, isFinished ? "finished" : "cancelled");
  m_batch.Remove(aId);
  m_batch.Stepped().Notify();
}

asio::awaitable<void> EngineStandIn::ServeCompletion(base::HttpExchange& aExchange)
{
  auto id = Start(aExchange.Request());
  if (!id) {
    auto response = std::move(id.error());
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  bool const isStream = m_batch.Find(*id)->m_request.m_stream;
  if (isStream) {
    co_await ServeStream(aExchange, *id, 0);
  } else {
    co_await ServeComplete(aExchange, *id);
  }
}

asio::awaitable<void> EngineStandIn::ServeComplete(base::HttpExchange& aExchange, std::string aId)
{
  aExchange.OnPeerDisconnected([this] { m_batch.Stepped().Notify(); });
  while (true) {
    auto const* const sequence = m_batch.Find(aId);
    if (!sequence || aExchange.IsPeerDisconnected()) {
      Cancel(aId);
      co_return;
    }
    if (sequence->m_state == SequenceState::Finished) {
      break;
    }
    co_await m_batch.Stepped().Wait(kStepTimeout);
  }
  auto const& sequence = *m_batch.Find(aId);
  auto const text = CompletionText(sequence.m_promptHash, sequence.m_response.m_generatedTokens);
  auto response = base::JsonResponse(200, RenderCompletion(sequence.m_response, text));
  Cancel(aId);
  co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
}

asio::awaitable<void> EngineStandIn::ServeStream(base::HttpExchange& aExchange, std::string aId,
                                                 std::uint64_t aAfter)
{
  base::HttpHeaders headers;
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-store");
  headers.Add("Stream-Id", aId);
  aExchange.OnPeerDisconnected([this] { m_batch.Stepped().Notify(); });
  auto const started = co_await aExchange.StartStream(200, std::move(headers));
  bool const isComplete = started && co_await WriteStream(aExchange, aId, aAfter);
  if (isComplete) {
    co_await aExchange.Finish();
    Cancel(aId);
  } else {
    m_batch.Pause(aId);
  }
}

/// Writes the events after the first aAfter tokens. Returns false if the stream
/// was not written completely.
asio::awaitable<bool> EngineStandIn::WriteStream(base::HttpExchange& aExchange, std::string aId,
                                                 std::uint64_t aAfter)
{
  auto sent = aAfter;
  while (true) {
    auto const* const sequence = m_batch.Find(aId);
    if (!sequence || aExchange.IsPeerDisconnected()) {
      co_return false;
    }
    if (m_faultInjector.IsSilenced(aExchange)) {
      co_await m_faultInjector.HoldOpen(aExchange);
      co_return false;
    }
    if (m_interruptStreamsAfter > 0 && sent >= m_interruptStreamsAfter && aAfter == 0) {
      co_return false;
    }
    if (sent < sequence->m_response.m_generatedTokens) {
      auto const token = CompletionToken(sequence->m_promptHash, sent);
      auto const event = RenderTokenEvent(sequence->m_response, token, sent == 0);
      ++sent;
      if (!co_await aExchange.Write(event)) {
        co_return false;
      }
      continue;
    }
    if (sequence->m_state == SequenceState::Finished) {
      break;
    }
    co_await m_batch.Stepped().Wait(kStepTimeout);
  }
  auto const& sequence = *m_batch.Find(aId);
  auto end = RenderFinishEvent(sequence.m_response);
  if (sequence.m_request.m_includeUsage) {
    end += RenderUsageEvent(sequence.m_response);
  }
  end += RenderDoneEvent();
  auto const written = co_await aExchange.Write(end);
  co_return written.has_value();
}

asio::awaitable<void> EngineStandIn::ServeResume(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  auto const id = std::string(request.Path().substr(kStreamsPath.size()));
  auto const text = request.Query("after").value_or("");
  std::uint64_t after = 0;
  auto const parsed = std::from_chars(text.data(), text.data() + text.size(), after);
  auto const* const sequence = m_batch.Find(id);
  if (!sequence || parsed.ec != std::errc() || after > sequence->m_response.m_generatedTokens) {
    auto response = ErrorResponse(404, "no_such_stream", "nothing to resume");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  m_batch.Resume(id);
  co_await ServeStream(aExchange, id, after);
}

} // namespace sardinefold::standins
