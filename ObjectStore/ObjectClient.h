#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Metrics.h"
#include "ObjectStore/CallBudget.h"
#include "ObjectStore/CircuitBreaker.h"
#include "ObjectStore/ObjectStoreClient.h"

#include <concepts>
#include <optional>

namespace sardinefold::objectstore {

/// Encodes the calls of an object API as HTTP requests.
template<typename Codec>
concept ObjectApiCodec = requires(ObjectKey const& aKey, ObjectKind aKind, ObjectName const& aName,
                                  base::ObjectVersion aVersion, base::Duration aLimit,
                                  ObjectWrite const& aWrite, base::HttpResponse const& aResponse)
{
  {
    Codec::EncodeGet(aKey)
    } -> std::same_as<base::HttpRequest>;
  {
    Codec::EncodeList(aKind, aName)
    } -> std::same_as<base::HttpRequest>;
  /// The request for the next page of a list; empty if aResponse is the last one.
  {
    Codec::EncodeNextPage(aKind, aName, aResponse)
    } -> std::same_as<std::optional<base::HttpRequest>>;
  {
    Codec::EncodeWatch(aKind, aName, aVersion, aLimit)
    } -> std::same_as<base::HttpRequest>;
  {
    Codec::EncodeWrite(aWrite)
    } -> std::same_as<base::HttpRequest>;
  {
    Codec::EncodeDelete(aKey, aVersion)
    } -> std::same_as<base::HttpRequest>;
  {
    Codec::DecodeObject(aKind, aResponse)
    } -> std::same_as<tl::expected<Object, ReadError>>;
  {
    Codec::DecodeList(aKind, aResponse)
    } -> std::same_as<tl::expected<ObjectList, ReadError>>;
  {
    Codec::DecodeChanges(aKind, aResponse)
    } -> std::same_as<tl::expected<ObjectChanges, ReadError>>;
  {
    Codec::DecodeWrite(aResponse)
    } -> std::same_as<tl::expected<base::ObjectVersion, WriteError>>;
};

/// A codec of an API that also lists the fleet's hosts.
template<typename Codec>
concept ListsHosts = requires
{
  Codec::EncodeHosts();
};

/// A client of an object API over HTTP. Every call is subject to the circuit
/// breaker and the process's call budget, and is counted by purpose and result.
template<ObjectApiCodec Codec>
class HttpObjectClient
{
public:
  /// The arguments must outlive the client.
  HttpObjectClient(base::EventLoop& aLoop, base::HttpClient& aHttp, base::Endpoint aPlatform,
                   CallBudget& aBudget, CircuitBreaker& aBreaker, base::Metrics& aMetrics);

  /// Changes the address for subsequent calls.
  void SetEndpoint(base::Endpoint aPlatform) { m_platform = std::move(aPlatform); }

  ReadTask<Object> Get(ObjectKey aKey, base::Duration aLimit, CallPurpose aPurpose);
  ReadTask<ObjectList> List(ObjectKind aKind, ObjectName aPrefix, base::Duration aLimit,
                            CallPurpose aPurpose);
  ReadTask<ObjectChanges> Watch(ObjectKind aKind, ObjectName aPrefix, base::ObjectVersion aAfter,
                                base::Duration aLimit, CallPurpose aPurpose);
  WriteTask Write(ObjectWrite aWrite, base::Duration aLimit, CallPurpose aPurpose);
  WriteTask Delete(ObjectKey aKey, base::ObjectVersion aVersion, base::Duration aLimit,
                   CallPurpose aPurpose);
  ReadTask<HostList> Hosts(base::Duration aLimit, CallPurpose aPurpose) requires ListsHosts<Codec>;

private:
  /// Why a call got no response from the platform.
  struct CallError
  {
    ReadError m_error;
    bool m_mayHaveBeenSent;
  };
  using CallResult = tl::expected<base::HttpResponse, CallError>;

  boost::asio::awaitable<CallResult> Call(base::HttpRequest aRequest, CallKind aKind,
                                          base::Duration aLimit, base::Duration aExtraWait,
                                          CallPurpose aPurpose);
  /// Waits for the budget. Returns an error if it admits no call before aEnd.
  boost::asio::awaitable<tl::expected<void, ReadError>> Admit(CallKind aKind, base::Instant aEnd,
                                                              CallPurpose aPurpose);
  WriteTask CallWrite(base::HttpRequest aRequest, base::Duration aLimit, CallPurpose aPurpose);
  static CallResult RefusedByCircuit();
  void UpdateGauges(base::Instant aNow);
  void RecordBudgetDelay(std::string aResult, CallPurpose aPurpose);
  void RecordResult(CallResult const& aResponse, base::Instant aStart, CallPurpose aPurpose);

  base::EventLoop& m_loop;
  base::HttpClient& m_http;
  base::Endpoint m_platform;
  CallBudget& m_budget;
  CircuitBreaker& m_breaker;
  base::Metrics& m_metrics;
};

/// The codec of the object API of docs/INTERFACES.md, which also lists hosts.
struct JsonObjectCodec
{
  static base::HttpRequest EncodeGet(ObjectKey const& aKey);
  static base::HttpRequest EncodeList(ObjectKind aKind, ObjectName const& aPrefix);
  static std::optional<base::HttpRequest> EncodeNextPage(ObjectKind aKind,
                                                         ObjectName const& aPrefix,
                                                         base::HttpResponse const& aResponse);
  static base::HttpRequest EncodeWatch(ObjectKind aKind, ObjectName const& aPrefix,
                                       base::ObjectVersion aAfter, base::Duration aLimit);
  static base::HttpRequest EncodeWrite(ObjectWrite const& aWrite);
  static base::HttpRequest EncodeDelete(ObjectKey const& aKey, base::ObjectVersion aVersion);
  static base::HttpRequest EncodeHosts();
  static tl::expected<Object, ReadError> DecodeObject(ObjectKind aKind,
                                                      base::HttpResponse const& aResponse);
  static tl::expected<ObjectList, ReadError> DecodeList(ObjectKind aKind,
                                                        base::HttpResponse const& aResponse);
  static tl::expected<ObjectChanges, ReadError> DecodeChanges(ObjectKind aKind,
                                                              base::HttpResponse const& aResponse);
  static tl::expected<base::ObjectVersion, WriteError> DecodeWrite(
    base::HttpResponse const& aResponse);
  static tl::expected<HostList, ReadError> DecodeHosts(base::HttpResponse const& aResponse);
};

using ObjectClient = HttpObjectClient<JsonObjectCodec>;
extern template class HttpObjectClient<JsonObjectCodec>;

} // namespace sardinefold::objectstore
