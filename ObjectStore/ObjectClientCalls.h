#pragma once

#include "ObjectStore/ObjectClient.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::objectstore {

namespace detail {

/// Sixteen objects of the largest size, and a tenth of the memory of the
/// smallest process.
inline constexpr base::Bytes kMaxAnswerBytes{ 16 * 1024 * 1024 };
/// A watch that has been silent for this much longer than it asked for is lost.
/// A slow platform takes a quarter of a second for an answer.
inline constexpr std::chrono::milliseconds kWatchGrace{ 500 };

inline WriteError ToWriteError(ReadError const& aError, bool aMayHaveBeenSent)
{
  using Kind = WriteError::Kind;
  if (aMayHaveBeenSent) {
    return { Kind::Unknown, aError.m_detail };
  }
  switch (aError.m_kind) {
    case ReadError::Kind::OverBudget:
      return { Kind::OverBudget, aError.m_detail };
    case ReadError::Kind::CircuitOpen:
      return { Kind::CircuitOpen, aError.m_detail };
    default:
      return { Kind::NotApplied, aError.m_detail };
  }
}

inline std::string_view ResultLabel(unsigned aStatus)
{
  if (aStatus < 300) {
    return "ok";
  }
  switch (aStatus) {
    case 404:
      return "not_found";
    case 410:
      return "compacted";
    case 412:
      return "conflict";
    case 429:
      return "throttled";
    default:
      return aStatus >= 500 ? "unavailable" : "rejected";
  }
}

} // namespace detail

template<ObjectApiCodec Codec>
CodedObjectClient<Codec>::CodedObjectClient(base::EventLoop& aLoop, base::HttpClient& aHttp,
                                            base::Endpoint aPlatform, CallBudget& aBudget,
                                            CircuitBreaker& aBreaker, base::Metrics& aMetrics)
  : m_loop(aLoop)
  , m_http(aHttp)
  , m_platform(std::move(aPlatform))
  , m_budget(aBudget)
  , m_breaker(aBreaker)
  , m_metrics(aMetrics)
{
}

template<ObjectApiCodec Codec>
boost::asio::awaitable<tl::expected<void, ReadError>> CodedObjectClient<Codec>::Admit(
  CallKind aKind, base::Instant aEnd, CallPurpose aPurpose)
{
  while (true) {
    auto const now = m_loop.Now();
    auto const next = m_budget.Admit(aKind, aPurpose, now);
    if (next <= now) {
      co_return tl::expected<void, ReadError>{};
    }
    if (next > aEnd) {
      CountBudget("refused", aPurpose);
      ReadError error{ ReadError::Kind::OverBudget, "no call left before the time limit" };
      co_return tl::make_unexpected(std::move(error));
    }
    CountBudget("waited", aPurpose);
    m_budget.NoteWaiting(aKind, aPurpose);
    co_await m_loop.Sleep(next - now);
    m_budget.NoteWaitingEnded(aKind, aPurpose);
  }
}

template<ObjectApiCodec Codec>
typename CodedObjectClient<Codec>::Answer CodedObjectClient<Codec>::RefusedByCircuit()
{
  ReadError refused{ ReadError::Kind::CircuitOpen, "the platform failed lately" };
  return tl::make_unexpected(NoAnswer{ std::move(refused), false });
}

template<ObjectApiCodec Codec>
void CodedObjectClient<Codec>::CountBudget(std::string aResult, CallPurpose aPurpose)
{
  base::MetricLabels const labels{ { "purpose", std::string(ToText(aPurpose)) },
                                   { "result", std::move(aResult) } };
  m_metrics
    .Counter("sardinefold_platform_budget_total", "Calls that the call budget held up.", labels)
    .Increment();
}

template<ObjectApiCodec Codec>
boost::asio::awaitable<typename CodedObjectClient<Codec>::Answer> CodedObjectClient<Codec>::Call(
  base::HttpRequest aRequest, CallKind aKind, base::Duration aLimit, base::Duration aExtraWait,
  CallPurpose aPurpose)
{
  auto const end = m_loop.Now() + aLimit;
  // What the circuit refuses must not spend the budget, or nothing would be
  // left of it when the platform returns.
  if (m_breaker.IsRefusing(m_loop.Now())) {
    co_return RefusedByCircuit();
  }
  auto const admitted = co_await Admit(aKind, end, aPurpose);
  if (!admitted) {
    NoAnswer error{ admitted.error(), false };
    co_return tl::make_unexpected(std::move(error));
  }
  auto const start = m_loop.Now();
  if (!m_breaker.Allow(start)) {
    co_return RefusedByCircuit();
  }
  auto const limit = std::max<base::Duration>(end - start, std::chrono::milliseconds(1));
  auto response = co_await m_http.Fetch(m_platform, std::move(aRequest), limit + aExtraWait,
                                        detail::kMaxAnswerBytes);
  Answer answer;
  if (response) {
    answer = std::move(*response);
  } else {
    ReadError lost{ ReadError::Kind::Unavailable, response.error().m_detail };
    answer = tl::make_unexpected(NoAnswer{ std::move(lost), response.error().m_mayHaveBeenSent });
    // The other idle connections may be as dead as this one.
    m_http.CloseIdle(m_platform);
  }
  NoteResult(answer, start, aPurpose);
  co_return answer;
}

template<ObjectApiCodec Codec>
void CodedObjectClient<Codec>::NoteResult(Answer const& aAnswer, base::Instant aStart,
                                          CallPurpose aPurpose)
{
  auto const now = m_loop.Now();
  bool const isOutage = !aAnswer || aAnswer->m_status >= 500;
  if (isOutage) {
    m_breaker.NoteFailure(now);
    m_budget.NoteOutage(now);
  } else {
    m_breaker.NoteSuccess(now);
  }
  if (aAnswer && aAnswer->m_status == 429) {
    m_budget.NoteThrottled(now);
  }
  ShowState(now);
  base::MetricLabels labels{ { "purpose", std::string(ToText(aPurpose)) } };
  base::Observe(m_metrics.Seconds("sardinefold_platform_call_seconds",
                                  "Time of calls to the platform.", labels),
                now - aStart);
  labels["result"] =
    aAnswer ? std::string(detail::ResultLabel(aAnswer->m_status)) : std::string("no_answer");
  m_metrics.Counter("sardinefold_platform_calls_total", "Calls to the platform.", labels)
    .Increment();
}

template<ObjectApiCodec Codec>
void CodedObjectClient<Codec>::ShowState(base::Instant aNow)
{
  auto const rates = m_budget.Rates();
  std::string const rateName = "sardinefold_platform_budget_calls_per_second";
  std::string const rateHelp = "The process's share of the fleet's rates of calls.";
  m_metrics.Gauge(rateName, rateHelp, { { "kind", "write" } }).Set(rates.m_writes.Value());
  m_metrics.Gauge(rateName, rateHelp, { { "kind", "read" } }).Set(rates.m_reads.Value());
  m_metrics.Gauge("sardinefold_platform_budget_factor", "Part of the share in use, up to 1.")
    .Set(m_budget.Factor(aNow));
  m_metrics
    .Gauge("sardinefold_platform_circuit_open", "1 unless calls to the platform may be made.")
    .Set(m_breaker.State() == CircuitState::Closed ? 0 : 1);
}

template<ObjectApiCodec Codec>
ReadTask<Object> CodedObjectClient<Codec>::Get(ObjectKey aKey, base::Duration aLimit,
                                               CallPurpose aPurpose)
{
  auto request = Codec::EncodeGet(aKey);
  auto const answer = co_await Call(std::move(request), CallKind::Read, aLimit, {}, aPurpose);
  if (!answer) {
    co_return tl::make_unexpected(answer.error().m_error);
  }
  co_return Codec::DecodeObject(aKey.m_kind, *answer);
}

template<ObjectApiCodec Codec>
ReadTask<ObjectList> CodedObjectClient<Codec>::List(ObjectKind aKind, ObjectName aPrefix,
                                                    base::Duration aLimit, CallPurpose aPurpose)
{
  std::optional<ObjectList> whole;
  std::optional<base::HttpRequest> request = Codec::EncodeList(aKind, aPrefix);
  while (request) {
    auto call = std::move(*request);
    auto const answer = co_await Call(std::move(call), CallKind::Read, aLimit, {}, aPurpose);
    if (!answer) {
      co_return tl::make_unexpected(answer.error().m_error);
    }
    auto page = Codec::DecodeList(aKind, *answer);
    if (!page) {
      co_return page;
    }
    request = Codec::EncodeNextPage(aKind, aPrefix, *answer);
    if (!whole) {
      // The first page's version: what changed since is watched from there.
      whole = std::move(*page);
      continue;
    }
    std::ranges::move(page->m_objects, std::back_inserter(whole->m_objects));
  }
  co_return std::move(*whole);
}

template<ObjectApiCodec Codec>
ReadTask<ObjectChanges> CodedObjectClient<Codec>::Watch(ObjectKind aKind, ObjectName aPrefix,
                                                        base::ObjectVersion aAfter,
                                                        base::Duration aLimit, CallPurpose aPurpose)
{
  auto request = Codec::EncodeWatch(aKind, aPrefix, aAfter, aLimit);
  base::Duration const grace = detail::kWatchGrace;
  auto const answer = co_await Call(std::move(request), CallKind::Read, aLimit, grace, aPurpose);
  if (!answer) {
    co_return tl::make_unexpected(answer.error().m_error);
  }
  co_return Codec::DecodeChanges(aKind, *answer);
}

template<ObjectApiCodec Codec>
WriteTask CodedObjectClient<Codec>::CallToWrite(base::HttpRequest aRequest, base::Duration aLimit,
                                                CallPurpose aPurpose)
{
  auto const answer = co_await Call(std::move(aRequest), CallKind::Write, aLimit, {}, aPurpose);
  if (!answer) {
    auto error = detail::ToWriteError(answer.error().m_error, answer.error().m_mayHaveBeenSent);
    co_return tl::make_unexpected(std::move(error));
  }
  co_return Codec::DecodeWrite(*answer);
}

template<ObjectApiCodec Codec>
WriteTask CodedObjectClient<Codec>::Write(ObjectWrite aWrite, base::Duration aLimit,
                                          CallPurpose aPurpose)
{
  auto request = Codec::EncodeWrite(aWrite);
  if (static_cast<std::int64_t>(request.m_body.size()) > kMaxValueBytes.Value()) {
    WriteError error{ WriteError::Kind::TooLarge, "the value is over 1 MB" };
    co_return tl::make_unexpected(std::move(error));
  }
  co_return co_await CallToWrite(std::move(request), aLimit, aPurpose);
}

template<ObjectApiCodec Codec>
WriteTask CodedObjectClient<Codec>::Delete(ObjectKey aKey, base::ObjectVersion aVersion,
                                           base::Duration aLimit, CallPurpose aPurpose)
{
  auto request = Codec::EncodeDelete(aKey, aVersion);
  co_return co_await CallToWrite(std::move(request), aLimit, aPurpose);
}

template<ObjectApiCodec Codec>
ReadTask<HostList> CodedObjectClient<Codec>::Hosts(base::Duration aLimit,
                                                   CallPurpose aPurpose) requires ListsHosts<Codec>
{
  auto request = Codec::EncodeHosts();
  auto const answer = co_await Call(std::move(request), CallKind::Read, aLimit, {}, aPurpose);
  if (!answer) {
    co_return tl::make_unexpected(answer.error().m_error);
  }
  co_return Codec::DecodeHosts(*answer);
}

} // namespace sardinefold::objectstore
