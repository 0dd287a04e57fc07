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

/// How calls to an object API are put on the wire.
template<typename Codec>
concept ObjectApiCodec = requires(ObjectKey const& aKey, ObjectKind aKind, ObjectName const& aName,
                                  base::ObjectVersion aVersion, base::Duration aLimit,
                                  ObjectWrite const& aWrite, base::HttpResponse const& aAnswer)
{
  {
    Codec::EncodeGet(aKey)
    } -> std::same_as<base::HttpRequest>;
  {
    Codec::EncodeList(aKind, aName)
    } -> std::same_as<base::HttpRequest>;
  /// The rest of a list that came in part; empty if the answer is its end.
  {
    Codec::EncodeNextPage(aKind, aName, aAnswer)
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
    Codec::DecodeObject(aKind, aAnswer)
    } -> std::same_as<tl::expected<Object, ReadError>>;
  {
    Codec::DecodeList(aKind, aAnswer)
    } -> std::same_as<tl::expected<ObjectList, ReadError>>;
  {
    Codec::DecodeChanges(aKind, aAnswer)
    } -> std::same_as<tl::expected<ObjectChanges, ReadError>>;
  {
    Codec::DecodeWrite(aAnswer)
    } -> std::same_as<tl::expected<base::ObjectVersion, WriteError>>;
};

/// Whether the API also lists the fleet's hosts.
template<typename Codec>
concept ListsHosts = requires
{
  Codec::EncodeHosts();
};

/// The client of an object API over HTTP. Every call passes the circuit
/// breaker and the process's call budget first, and is counted by purpose and
/// result.
template<ObjectApiCodec Codec>
class CodedObjectClient
{
public:
  /// The arguments must outlive the client.
  CodedObjectClient(base::EventLoop& aLoop, base::HttpClient& aHttp, base::Endpoint aPlatform,
                    CallBudget& aBudget, CircuitBreaker& aBreaker, base::Metrics& aMetrics);

  /// Calls go to another address from now on.
  void MoveTo(base::Endpoint aPlatform) { m_platform = std::move(aPlatform); }

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

/// The object API of docs/INTERFACES.md, which also lists hosts.
struct PlainObjectCodec
{
  static base::HttpRequest EncodeGet(ObjectKey const& aKey);
  static base::HttpRequest EncodeList(ObjectKind aKind, ObjectName const& aPrefix);
  static std::optional<base::HttpRequest> EncodeNextPage(ObjectKind aKind,
                                                         ObjectName const& aPrefix,
                                                         base::HttpResponse const& aAnswer);
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

using ObjectClient = CodedObjectClient<PlainObjectCodec>;
extern template class CodedObjectClient<PlainObjectCodec>;

} // namespace sardinefold::objectstore
