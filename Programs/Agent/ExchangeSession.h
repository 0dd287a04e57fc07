#pragma once

#include "Agent/ExchangeCodec.h"
#include "Agent/ExchangeRegistry.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Metrics.h"
#include "Caller/ResponseMemoryBudget.h"
#include "ObjectStore/ObjectClient.h"
#include "Programs/Agent/AdmissionGate.h"
#include "Programs/Agent/AgentConfiguration.h"
#include "Programs/Agent/ReplicaLoader.h"
#include "Service/ClaimSession.h"

#include <optional>
#include <string>

namespace sardinefold::programs {

/// Objects that all exchanges of one agent share.
struct ExchangeContext
{
  base::EventLoop& m_loop;
  AgentConfiguration const& m_configuration;
  base::IncarnationId m_incarnation;
  base::HttpClient& m_http;
  base::Metrics& m_metrics;
  agent::ExchangeRegistry& m_registry;
  AdmissionGate& m_gate;
  /// Null if the upstream is a service.
  ReplicaLoader* m_loader;
  service::ClaimSession<objectstore::ObjectClient>& m_claims;
  /// For responses that are read to their end before they are relayed.
  caller::ResponseMemoryBudget& m_responseMemory;
  bool m_isDraining = false;
};

/// Handles one request from an entry, from its arrival to the end of the response.
class ExchangeSession
{
public:
  ExchangeSession(ExchangeContext& aContext, base::HttpExchange& aExchange);

  boost::asio::awaitable<void> Run();

private:
  struct RelayResult
  {
    agent::StatedOutcome m_outcome;
    agent::LoadSignal m_signal = agent::LoadSignal::Served;
  };

  boost::asio::awaitable<void> RunAdmitted();
  boost::asio::awaitable<void> RunUnclaimed();
  /// Runs a non-repeatable request under a claim in the platform's object store.
  boost::asio::awaitable<void> RunClaimed();
  boost::asio::awaitable<service::RunResult> RunWhenAdmitted();
  boost::asio::awaitable<service::RunResult> RunAtUpstream();
  boost::asio::awaitable<void> RespondStored(service::StoredResponse const& aResponse);
  /// Checks what must hold in the same loop iteration in which the first byte is
  /// sent to the upstream. Returns why the request may not start, if so.
  std::optional<agent::Refusal> CheckStart();
  boost::asio::awaitable<RelayResult> Relay();
  boost::asio::awaitable<RelayResult> RelayResponse(base::HttpReply aReply);
  boost::asio::awaitable<RelayResult> RelayStream(base::HttpReply aReply,
                                                  base::HttpHeaders aHeaders);
  /// Returns the next bytes of a response. Fails with TimedOut if none arrive within the
  /// given time, or if the response has not ended within its own.
  boost::asio::awaitable<tl::expected<std::string, base::HttpFailure>> ReadChunk(
    base::HttpReply& aReply, base::Duration aPause);
  boost::asio::awaitable<RelayResult> ReportFailure(base::HttpFailure aFailure);

  base::HttpRequest UpstreamRequest();
  static base::HttpSendOptions UpstreamOptions(base::Duration aHeadTimeout);
  /// Returns the upstream's header fields that belong to its response, without
  /// those of the connection, of the exchange and of the length.
  static base::HttpHeaders UpstreamFields(base::HttpReply const& aReply);
  base::HttpHeaders ResponseHeaders(base::HttpReply const& aReply) const;
  agent::ResponseHead MakeResponseHead(agent::StatedOutcome aOutcome, std::string aReason) const;
  boost::asio::awaitable<void> Refuse(agent::Refusal aRefusal);
  boost::asio::awaitable<void> Respond(unsigned aStatus, agent::StatedOutcome aOutcome,
                                       agent::Refusal aRefusal);
  bool IsStartByPassed() const;
  base::Instant LatestStart() const;
  void Record(agent::StatedOutcome aOutcome);

  ExchangeContext& m_context;
  base::HttpExchange& m_exchange;
  base::Instant m_arrival;
  agent::ExchangeHead m_head;
  /// Cancelled when the entry disconnects, as long as that may stop the request.
  base::Cancellation m_entryDisconnected;
  bool m_hasStarted = false;
  /// When the upstream's response has to have ended.
  base::Instant m_responseEnd{};
};

} // namespace sardinefold::programs
