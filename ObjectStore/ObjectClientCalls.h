#pragma once

#include "ObjectStore/ObjectClient.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::objectstore {

namespace detail {

/// Holds sixteen objects of the maximum size, in a tenth of the memory of the
/// smallest process.
inline constexpr base::Bytes kMaximumResponseBytes{ 16 * 1024 * 1024 };
/// Holds the entries of ten thousand upstreams.
inline constexpr base::Bytes kMaximumListBytes{ 32 * 1024 * 1024 };
inline constexpr int kMaximumListPages = 1'000;
/// A watch without a response this long after its requested duration has failed.
/// A slow platform takes a quarter of a second to respond.
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
HttpObjectClient<Codec>::HttpObjectClient(base::EventLoop& aLoop, base::HttpClient& aHttp,
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
boost::asio::awaitable<tl::expected<void, ReadError>> HttpObjectClient<Codec>::Admit(
  CallKind aKind, base::Instant aEnd, CallPurpose aPurpose)
{
  while (true) {
    auto const now = m_loop.Now();
    auto const next = m_budget.Admit(aKind, aPurpose, now);
    if (next <= now) {
      co_return tl::expected<void, ReadError>{};
    }
    if (next > aEnd) {
      RecordBudgetDelay("refused", aPurpose);
      ReadError error{ ReadError::Kind::OverBudget, "no call left before the time limit" };
      co_return tl::make_unexpected(std::move(error));
    }
    RecordBudgetDelay("waited", aPurpose);
    m_budget.AddWaiter(aKind, aPurpose);
    co_await m_loop.Sleep(next - now);
    m_budget.RemoveWaiter(aKind, aPurpose);
  }
}

template<ObjectApiCodec Codec>
typename HttpObjectClient<Codec>::CallResult HttpObjectClient<Codec>::RefusedByCircuit()
{
  ReadError refused{ ReadError::Kind::CircuitOpen, "the platform failed lately" };
  return tl::make_unexpected(CallError{ std::move(refused), false });
}

template<ObjectApiCodec Codec>
void HttpObjectClient<Codec>::RecordBudgetDelay(std::string aResult, CallPurpose aPurpose)
{
  base::MetricLabels const labels{ { "purpose", std::string(ToText(aPurpose)) },
                                   { "result", std::move(aResult) } };
  m_metrics
    .Counter("sardinefold_platform_budget_total", "Calls that the call budget held up.", labels)
    .Increment();
}

template<ObjectApiCodec Codec>
boost::asio::awaitable<typename HttpObjectClient<Codec>::CallResult> HttpObjectClient<Codec>::Call(
  base::HttpRequest aRequest, CallKind aKind, base::Duration aLimit, base::Duration aExtraWait,
  CallPurpose aPurpose)
{
  auto const end = m_loop.Now() + aLimit;
  // Calls that the circuit breaker refuses must not be charged to the budget, or
  // it would be empty when the platform recovers.
  if (m_breaker.IsRefusing(m_loop.Now())) {
    co_return RefusedByCircuit();
  }
  auto const admitted = co_await Admit(aKind, end, aPurpose);
  if (!admitted) {
    CallError error{ admitted.error(), false };
    co_return tl::make_unexpected(std::move(error));
  }
  auto const start = m_loop.Now();
  if (!m_breaker.Allow(start)) {
    co_return RefusedByCircuit();
  }
  auto const limit = std::max<base::Duration>(end - start, std::chrono::milliseconds(1));
  auto fetched = co_await m_http.Fetch(m_platform, std::move(aRequest), limit + aExtraWait,
                                       detail::kMaximumResponseBytes);
  CallResult response;
  if (fetched) {
    response = std::move(*fetched);
  } else {
    ReadError unavailable{ ReadError::Kind::Unavailable, fetched.error().m_detail };
    response =
      tl::make_unexpected(CallError{ std::move(unavailable), fetched.error().m_mayHaveBeenSent });
    // The other idle connections may have failed as well.
    m_http.CloseIdle(m_platform);
  }
  RecordResult(response, start, aPurpose);
  co_return response;
}

template<ObjectApiCodec Codec>
void HttpObjectClient<Codec>::RecordResult(CallResult const& aResponse, base::Instant aStart,
                                           CallPurpose aPurpose)
{
  auto const now = m_loop.Now();
  bool const isOutage = !aResponse || aResponse->m_status >= 500;
  if (isOutage) {
    m_breaker.OnFailure(now);
    m_budget.OnOutage(now);
  } else {
    m_breaker.OnSuccess(now);
  }
  if (aResponse && aResponse->m_status == 429) {
    m_budget.OnThrottled(now);
  }
  UpdateGauges(now);
  base::MetricLabels labels{ { "purpose", std::string(ToText(aPurpose)) } };
  base::Observe(m_metrics.Seconds("sardinefold_platform_call_seconds",
                                  "Time of calls to the platform.", labels),
                now - aStart);
  labels["result"] =
    aResponse ? std::string(detail::ResultLabel(aResponse->m_status)) : std::string("no_answer");
  m_metrics.Counter("sardinefold_platform_calls_total", "Calls to the platform.", labels)
    .Increment();
}

template<ObjectApiCodec Codec>
void HttpObjectClient<Codec>::UpdateGauges(base::Instant aNow)
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
ReadTask<Object> HttpObjectClient<Codec>::Get(ObjectKey aKey, base::Duration aLimit,
                                              CallPurpose aPurpose)
{
  auto request = Codec::EncodeGet(aKey);
  auto const response = co_await Call(std::move(request), CallKind::Read, aLimit, {}, aPurpose);
  if (!response) {
    co_return tl::make_unexpected(response.error().m_error);
  }
  co_return Codec::DecodeObject(aKey.m_kind, *response);
}

template<ObjectApiCodec Codec>
ReadTask<ObjectList> HttpObjectClient<Codec>::List(ObjectKind aKind, ObjectName aPrefix,
                                                   base::Duration aLimit, CallPurpose aPurpose)
{
  std::optional<ObjectList> complete;
  std::optional<base::HttpRequest> request = Codec::EncodeList(aKind, aPrefix);
  base::Bytes size;
  for (int pages = 1; request; ++pages) {
    auto call = std::move(*request);
    auto const response = co_await Call(std::move(call), CallKind::Read, aLimit, {}, aPurpose);
    if (!response) {
      co_return tl::make_unexpected(response.error().m_error);
    }
    size = size + base::Bytes(static_cast<std::int64_t>(response->m_body.size()));
    if (size > detail::kMaximumListBytes || pages > detail::kMaximumListPages) {
      ReadError endless{ ReadError::Kind::Malformed, "the list is too long" };
      co_return tl::make_unexpected(std::move(endless));
    }
    auto page = Codec::DecodeList(aKind, *response);
    if (!page) {
      co_return page;
    }
    if (complete && page->m_version.Era() != complete->m_version.Era()) {
      // The store came back from a copy between the pages.
      complete.reset();
      request = Codec::EncodeList(aKind, aPrefix);
      continue;
    }
    request = Codec::EncodeNextPage(aKind, aPrefix, *response);
    if (!complete) {
      // The list keeps the version of its first page, from which the watch then
      // reports what has changed.
      complete = std::move(*page);
      continue;
    }
    std::ranges::move(page->m_objects, std::back_inserter(complete->m_objects));
  }
  co_return std::move(*complete);
}

template<ObjectApiCodec Codec>
ReadTask<ObjectChanges> HttpObjectClient<Codec>::Watch(ObjectKind aKind, ObjectName aPrefix,
                                                       base::ObjectVersion aAfter,
                                                       base::Duration aLimit, CallPurpose aPurpose)
{
  auto request = Codec::EncodeWatch(aKind, aPrefix, aAfter, aLimit);
  base::Duration const grace = detail::kWatchGrace;
  auto const response = co_await Call(std::move(request), CallKind::Read, aLimit, grace, aPurpose);
  if (!response) {
    co_return tl::make_unexpected(response.error().m_error);
  }
  co_return Codec::DecodeChanges(aKind, *response);
}

template<ObjectApiCodec Codec>
WriteTask HttpObjectClient<Codec>::CallWrite(base::HttpRequest aRequest, base::Duration aLimit,
                                             CallPurpose aPurpose)
{
  auto const response = co_await Call(std::move(aRequest), CallKind::Write, aLimit, {}, aPurpose);
  if (!response) {
    auto error = detail::ToWriteError(response.error().m_error, response.error().m_mayHaveBeenSent);
    co_return tl::make_unexpected(std::move(error));
  }
  co_return Codec::DecodeWrite(*response);
}

template<ObjectApiCodec Codec>
WriteTask HttpObjectClient<Codec>::Write(ObjectWrite aWrite, base::Duration aLimit,
                                         CallPurpose aPurpose)
{
  auto request = Codec::EncodeWrite(aWrite);
  if (static_cast<std::int64_t>(request.m_body.size()) > kMaximumValueBytes.Value()) {
    WriteError error{ WriteError::Kind::TooLarge, "the value is over 1 MB" };
    co_return tl::make_unexpected(std::move(error));
  }
  co_return co_await CallWrite(std::move(request), aLimit, aPurpose);
}

template<ObjectApiCodec Codec>
WriteTask HttpObjectClient<Codec>::Delete(ObjectKey aKey, base::ObjectVersion aVersion,
                                          base::Duration aLimit, CallPurpose aPurpose)
{
  auto request = Codec::EncodeDelete(aKey, aVersion);
  co_return co_await CallWrite(std::move(request), aLimit, aPurpose);
}

template<ObjectApiCodec Codec>
ReadTask<HostList> HttpObjectClient<Codec>::Hosts(base::Duration aLimit,
                                                  CallPurpose aPurpose) requires ListsHosts<Codec>
{
  auto request = Codec::EncodeHosts();
  auto const response = co_await Call(std::move(request), CallKind::Read, aLimit, {}, aPurpose);
  if (!response) {
    co_return tl::make_unexpected(response.error().m_error);
  }
  co_return Codec::DecodeHosts(*response);
}

} // namespace sardinefold::objectstore
