#include "Programs/Load/LoadRun.h"

#include "Base/Digest.h"
#include "Base/Json.h"

#include <utility>

namespace sardinefold::programs {

namespace {

namespace asio = boost::asio;

constexpr base::Duration kHeadTimeout = std::chrono::seconds(60);
constexpr base::Duration kReadTimeout = std::chrono::seconds(60);
constexpr base::Duration kCompletionPollInterval = std::chrono::milliseconds(20);
constexpr unsigned kFirstErrorStatus = 400;

std::string RandomPrompt(unsigned aWords, std::mt19937_64& aGenerator)
{
  static constexpr char const* kWords[] = { "bus",     "stop",  "route",  "night",  "depot",
                                            "curtain", "stage", "velvet", "report", "pickup" };
  std::uniform_int_distribution<std::size_t> choose(0, std::size(kWords) - 1);
  std::string text;
  for (unsigned word = 0; word < aWords; ++word) {
    text += text.empty() ? "" : " ";
    text += kWords[choose(aGenerator)];
  }
  return text;
}

std::string RefusalCode(std::string const& aBody)
{
  auto const root = base::ParseJson(aBody);
  if (!root || !root->isObject() || !(*root)["error"].isObject()) {
    return "unreadable_refusal";
  }
  return (*root)["error"]["code"].asString();
}

} // namespace

LoadRun::LoadRun(base::EventLoop& aLoop, LoadPlan aPlan, std::vector<base::Endpoint> aTargets,
                 std::uint64_t aSeed, std::size_t aMaximumOpen)
  : m_loop(aLoop)
  , m_plan(std::move(aPlan))
  , m_targets(std::move(aTargets))
  , m_seed(aSeed)
  , m_maximumOpen(aMaximumOpen)
  , m_client(aLoop, {})
{
}

asio::awaitable<void> LoadRun::Run()
{
  for (std::size_t index = 0; index < m_plan.m_streams.size(); ++index) {
    ++m_runningStreams;
    m_loop.Start(RunStream(m_plan.m_streams[index], m_seed + index));
  }
  while (m_runningStreams > 0 || m_open > 0) {
    co_await m_loop.Sleep(kCompletionPollInterval);
  }
}

asio::awaitable<void> LoadRun::RunStream(LoadStream const& aStream, std::uint64_t aSeed)
{
  std::mt19937_64 generator(aSeed);
  std::exponential_distribution<double> gap(aStream.m_requestsPerSecond);
  auto const start = m_loop.Now();
  auto next = start + base::FromSeconds(gap(generator));
  while (next - start < m_plan.m_duration) {
    auto const wait = next - m_loop.Now();
    if (wait > base::Duration::zero()) {
      co_await m_loop.Sleep(wait);
    }
    auto request = MakeRequest(aStream, generator);
    if (m_open < m_maximumOpen) {
      ++m_open;
      m_loop.Start(SendOne(aStream, std::move(request)));
    } else {
      LoadResult result;
      result.m_code = "not_sent_too_many_open";
      m_report.Add(aStream.m_workspace, aStream.m_class, result);
    }
    next += base::FromSeconds(gap(generator));
  }
  --m_runningStreams;
}

base::HttpRequest LoadRun::MakeRequest(LoadStream const& aStream, std::mt19937_64& aGenerator)
{
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_target = aStream.m_path;
  request.m_headers.Add("Content-Type", "application/json");
  if (!aStream.m_key.empty()) {
    request.m_headers.Add("Authorization", "Bearer " + aStream.m_key);
  }
  if (aStream.m_hasIdempotencyKeys) {
    request.m_headers.Add("Idempotency-Key", base::RandomHex(16));
  }
  Json::Value body;
  auto const prompt = RandomPrompt(aStream.m_promptWords, aGenerator);
  if (aStream.m_models.empty()) {
    body["text"] = prompt;
  } else {
    std::uniform_int_distribution<std::size_t> choose(0, aStream.m_models.size() - 1);
    body["model"] = aStream.m_models[choose(aGenerator)];
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = prompt;
    body["max_tokens"] = aStream.m_maximumTokens;
    body["stream"] = aStream.m_isStream;
  }
  request.m_body = base::RenderJson(body);
  return request;
}

asio::awaitable<void> LoadRun::SendOne(LoadStream const& aStream, base::HttpRequest aRequest)
{
  auto const start = m_loop.Now();
  auto const target = m_targets[m_nextTarget++ % m_targets.size()];
  LoadResult result;
  auto response = co_await m_client.Send(target, std::move(aRequest), kHeadTimeout);
  std::string body;
  if (!response) {
    result.m_code = ToText(response.error().m_kind);
  } else {
    result.m_firstByte = m_loop.Now() - start;
    result.m_status = response->Status();
  }
  while (response && !response->IsComplete()) {
    auto chunk = co_await response->Read(kReadTimeout);
    if (!chunk) {
      result.m_status = 0;
      result.m_code = "cut";
      break;
    }
    result.m_bytes += chunk->size();
    if (result.m_status >= kFirstErrorStatus) {
      body += *chunk;
    }
  }
  if (result.m_status >= kFirstErrorStatus) {
    result.m_code = RefusalCode(body);
  }
  result.m_responseTime = m_loop.Now() - start;
  m_report.Add(aStream.m_workspace, aStream.m_class, result);
  --m_open;
}

} // namespace sardinefold::programs
