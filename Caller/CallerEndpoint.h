#pragma once

#include "Agent/DispatchRequest.h"
#include "Agent/DispatchResponse.h"
#include "Base/Digest.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Log.h"
#include "Caller/Admission.h"
#include "Caller/CallerCodec.h"
#include "Caller/CallerMetrics.h"
#include "Caller/ModelLookup.h"
#include "Caller/PreparedRequestCodec.h"
#include "Caller/UsageScanner.h"

#include <utility>

namespace sardinefold::caller {

/// What the endpoint for callers needs from the rest of its process.
template<typename T>
concept CallerBackend = requires(T& aBackend, agent::DispatchRequest const& aRequest,
                                 base::HttpRequest aMessage, base::Cancellation& aCancellation,
                                 base::UpstreamId const& aUpstream,
                                 agent::ReservationId aReservation, base::Tokens aTokens)
{
  typename T::Reply;
  // Null until the first document is in force.
  {
    aBackend.CurrentDocument()
    } -> std::convertible_to<operators::Document const*>;
  {
    aBackend.Routes()
    } -> std::convertible_to<RouteTable const&>;
  { aBackend.Keys() };
  {
    aBackend.IsDraining()
    } -> std::convertible_to<bool>;
  {
    aBackend.Dispatch(aRequest, std::move(aMessage), aCancellation)
    } -> std::same_as<boost::asio::awaitable<
      tl::expected<agent::DispatchResponse<typename T::Reply>, agent::DispatchError>>>;
  { aBackend.Settle(aReservation, aTokens) };
  { aBackend.RecordResponse(aRequest, aUpstream, true) };
};

struct CallerSettings
{
  ModelRequestLimits m_modelLimits;
};

/// Serves callers' requests: admits and dispatches them and forwards each
/// response as it arrives.
template<CallerBackend Backend>
class CallerEndpoint
{
public:
  CallerEndpoint(base::EventLoop& aLoop, Backend& aBackend, CallerMetrics& aMetrics,
                 CallerSettings aSettings)
    : m_loop(aLoop)
    , m_backend(aBackend)
    , m_metrics(aMetrics)
    , m_settings(aSettings)
  {
  }

  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange)
  {
    RequestRecord record;
    record.m_id = base::RequestId::FromValidated(base::RandomHex(kRequestIdBytes));
    record.m_arrival = m_loop.Now();
    auto const* const document = m_backend.CurrentDocument();
    if (!document || m_backend.IsDraining()) {
      auto const code = document ? RefusalCode::ShuttingDown : RefusalCode::NotReady;
      auto const refusal =
        RefuseBeforeSending(code, "this process takes no requests now", std::chrono::seconds(1));
      co_await Refuse(aExchange, record, refusal);
      co_return;
    }
    auto& message = aExchange.Request();
    auto const admitted = Admit(m_backend.Routes(), m_backend.Keys(), message.Path(),
                                message.m_headers.Find("Authorization"), record.m_arrival);
    if (!admitted) {
      co_await Refuse(aExchange, record, admitted.error());
      co_return;
    }
    record.m_workspace = admitted->m_workspace;
    record.m_class = admitted->m_route.m_class;
    if (IsModelList(*document, *admitted, message)) {
      auto models = RenderModels(*document, admitted->m_route.m_deployment);
      models.m_headers.Add("X-Request-Id", record.m_id.Text());
      co_await aExchange.Respond(std::move(models));
      co_return;
    }
    auto prepared =
      Prepare(*document, *admitted, std::move(message), record.m_id, m_settings.m_modelLimits);
    if (!prepared) {
      co_await Refuse(aExchange, record, prepared.error());
      co_return;
    }
    co_await DispatchAndRespond(aExchange, record, std::move(*prepared));
  }

private:
  static constexpr std::size_t kRequestIdBytes = 12;

  using Reply = typename Backend::Reply;
  using Response = agent::DispatchResponse<Reply>;

  /// State of a request in service, for logs and metrics.
  struct RequestRecord
  {
    base::RequestId m_id;
    base::Instant m_arrival;
    base::WorkspaceId m_workspace = base::WorkspaceId::FromValidated("unknown");
    operators::RequestClass m_class = operators::RequestClass::Standard;
  };

  boost::asio::awaitable<void> Refuse(base::HttpExchange& aExchange, RequestRecord const& aRecord,
                                      Refusal const& aRefusal)
  {
    m_metrics.RecordRefused(aRecord.m_workspace, aRecord.m_class, aRefusal.Code());
    base::log::Info("request refused",
                    { { "request", aRecord.m_id.Text() },
                      { "workspace", aRecord.m_workspace.Text() },
                      { "code", std::string(ToText(aRefusal.Code())) },
                      { "reason", aRefusal.Message() },
                      { "outcome", aRefusal.IsProvenNotRun() ? "not-run" : "unknown" } });
    auto response = RenderRefusal(aRefusal, aRecord.m_id);
    co_await aExchange.Respond(std::move(response));
  }

  boost::asio::awaitable<void> DispatchAndRespond(base::HttpExchange& aExchange,
                                                  RequestRecord const& aRecord,
                                                  PreparedRequest aPrepared)
  {
    base::Cancellation cancellation;
    aExchange.OnPeerDisconnected([&cancellation] { cancellation.Cancel(); });
    auto response = co_await m_backend.Dispatch(aPrepared.m_dispatch,
                                                std::move(aPrepared.m_message), cancellation);
    if (!response) {
      auto const refusal = ToRefusal(response.error());
      co_await Refuse(aExchange, aRecord, refusal);
      aExchange.OnPeerDisconnected(nullptr);
      co_return;
    }
    m_metrics.RecordFirstByte(aRecord.m_workspace, aRecord.m_class,
                              m_loop.Now() - aRecord.m_arrival);
    UsageScanner usage;
    bool const isComplete = co_await ForwardResponse(aExchange, aRecord, *response, usage);
    aExchange.OnPeerDisconnected(nullptr);
    // If the response states no usage, the whole reservation counts as used.
    auto const used = usage.Total().value_or(response->m_reserved);
    m_backend.Settle(response->m_reservation, used);
    m_backend.RecordResponse(aPrepared.m_dispatch, response->m_upstream, isComplete);
    auto const time = m_loop.Now() - aRecord.m_arrival;
    m_metrics.RecordServed(aRecord.m_workspace, aRecord.m_class, time, used, isComplete);
    base::log::Info("request served",
                    { { "request", aRecord.m_id.Text() },
                      { "workspace", aRecord.m_workspace.Text() },
                      { "upstream", response->m_upstream.Text() },
                      { "status", std::to_string(response->m_reply.Status()) },
                      { "tokens", std::to_string(used.Value()) },
                      { "milliseconds", std::to_string(base::ToMilliseconds(time)) },
                      { "whole", isComplete ? "true" : "false" } });
  }

  static base::HttpHeaders ResponseHeaders(base::HttpHeaders aHeaders, RequestRecord const& aRecord)
  {
    base::RemoveHopByHopHeaders(aHeaders);
    RemoveInternalHeaders(aHeaders);
    aHeaders.Remove("Content-Length");
    aHeaders.Set("X-Request-Id", aRecord.m_id.Text());
    return aHeaders;
  }

  /// Forwards a response piece by piece: the next piece is read once the last
  /// has been written to the caller. Returns whether the caller received the
  /// complete response.
  boost::asio::awaitable<bool> ForwardResponse(base::HttpExchange& aExchange,
                                               RequestRecord const& aRecord, Response& aResponse,
                                               UsageScanner& aUsage)
  {
    auto& reply = aResponse.m_reply;
    auto headers = ResponseHeaders(reply.Headers(), aRecord);
    auto first = co_await reply.Read();
    if (!first) {
      base::Unknown const unknown{ "the upstream stopped before its answer began" };
      auto const refusal = Refusal::OutcomeUnknown(unknown);
      co_await Refuse(aExchange, aRecord, refusal);
      co_return false;
    }
    aUsage.Feed(*first);
    if (reply.IsComplete()) {
      base::HttpResponse response{ reply.Status(), std::move(headers), std::move(*first) };
      auto const sent = co_await aExchange.Respond(std::move(response));
      co_return sent.has_value();
    }
    bool const isEventStream = IsEventStream(headers);
    auto sent = co_await aExchange.StartStream(reply.Status(), std::move(headers));
    if (sent) {
      sent = co_await aExchange.Write(*first);
    }
    while (sent && !reply.IsComplete()) {
      auto piece = co_await reply.Read();
      if (!piece) {
        co_await EndInterruptedResponse(aExchange, aRecord, isEventStream, piece.error());
        co_return false;
      }
      aUsage.Feed(*piece);
      sent = co_await aExchange.Write(*piece);
    }
    if (!sent) {
      co_return false;
    }
    sent = co_await aExchange.Finish();
    co_return sent.has_value();
  }

  /// Signals to the caller that the response is incomplete: by an error event
  /// if the format has one, and by closing the connection without ending the
  /// body.
  boost::asio::awaitable<void> EndInterruptedResponse(base::HttpExchange& aExchange,
                                                      RequestRecord const& aRecord,
                                                      bool aIsEventStream,
                                                      base::Unknown const& aUnknown)
  {
    aExchange.CloseAfterResponse();
    if (!aIsEventStream) {
      co_return;
    }
    auto const refusal = Refusal::OutcomeUnknown(aUnknown);
    auto const event = "data: " + RenderRefusal(refusal, aRecord.m_id).m_body + "\n\n";
    co_await aExchange.Write(event);
  }

  base::EventLoop& m_loop;
  Backend& m_backend;
  CallerMetrics& m_metrics;
  CallerSettings m_settings;
};

} // namespace sardinefold::caller
