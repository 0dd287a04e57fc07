#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Metrics.h"
#include "Platform/CallBudget.h"
#include "Platform/CircuitBreaker.h"
#include "Platform/ObjectStoreClient.h"

namespace sardinefold::platform {

/// The client of the platform's object API and host list over HTTP. Every call
/// passes the circuit breaker and the process's call budget first, and is
/// counted by purpose and result.
class ObjectClient
{
public:
  /// The arguments must outlive the client.
  ObjectClient(base::EventLoop& aLoop, base::HttpClient& aHttp, base::Endpoint aPlatform,
               CallBudget& aBudget, CircuitBreaker& aBreaker, base::Metrics& aMetrics);

  ReadTask<Object> Get(ObjectKey aKey, base::Duration aLimit, CallPurpose aPurpose);
  ReadTask<ObjectList> List(ObjectKind aKind, ObjectName aPrefix, base::Duration aLimit,
                            CallPurpose aPurpose);
  ReadTask<ObjectChanges> Watch(ObjectKind aKind, ObjectName aPrefix, base::ObjectVersion aAfter,
                                base::Duration aLimit, CallPurpose aPurpose);
  WriteTask Write(ObjectWrite aWrite, base::Duration aLimit, CallPurpose aPurpose);
  WriteTask Delete(ObjectKey aKey, base::ObjectVersion aVersion, base::Duration aLimit,
                   CallPurpose aPurpose);
  ReadTask<HostList> Hosts(base::Duration aLimit, CallPurpose aPurpose);

private:
  /// Why a call has no answer from the platform.
  struct NoAnswer
  {
    ReadError m_error;
    bool m_mayHaveBeenSent;
  };
  using Answer = tl::expected<base::HttpResponse, NoAnswer>;

  boost::asio::awaitable<Answer> Call(base::HttpRequest aRequest, CallKind aKind,
                                      base::Duration aLimit, base::Duration aExtraWait,
                                      CallPurpose aPurpose);
  /// Waits for the budget; the error if there is no room before the end.
  boost::asio::awaitable<tl::expected<void, ReadError>> Admit(CallKind aKind, base::Instant aEnd,
                                                              CallPurpose aPurpose);
  WriteTask CallToWrite(base::HttpRequest aRequest, base::Duration aLimit, CallPurpose aPurpose);
  static Answer RefusedByCircuit();
  void ShowState(base::Instant aNow);
  void CountBudget(std::string aResult, CallPurpose aPurpose);
  void NoteResult(Answer const& aAnswer, base::Instant aStart, CallPurpose aPurpose);

  base::EventLoop& m_loop;
  base::HttpClient& m_http;
  base::Endpoint m_platform;
  CallBudget& m_budget;
  CircuitBreaker& m_breaker;
  base::Metrics& m_metrics;
};

static_assert(ObjectStore<ObjectClient>);

} // namespace sardinefold::platform
