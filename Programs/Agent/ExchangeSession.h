#pragma once

#include "Agent/ExchangeCodec.h"
#include "Agent/ExchangeRegistry.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Metrics.h"
#include "ObjectStore/ObjectClient.h"
#include "Programs/Agent/AdmissionGate.h"
#include "Programs/Agent/AgentConfiguration.h"
#include "Programs/Agent/ReplicaLoader.h"
#include "Service/ClaimSession.h"

#include <optional>
#include <string>

namespace sardinefold::programs {

/// What the exchanges of one agent share.
struct AgentParts
{
  base::EventLoop& m_loop;
  AgentConfiguration const& m_configuration;
  base::IncarnationId m_incarnation;
  base::HttpClient& m_http;
  base::Metrics& m_metrics;
  agent::ExchangeRegistry& m_registry;
  AdmissionGate& m_gate;
  /// Null beside a service.
  ReplicaLoader* m_loader;
  service::ClaimSession<objectstore::ObjectClient>& m_claims;
  bool m_isDraining = false;
};

/// One request from an entry, from its arrival to the end of its answer.
class ExchangeSession
{
public:
  ExchangeSession(AgentParts& aParts, base::HttpExchange& aExchange);

  boost::asio::awaitable<void> Run();

private:
  struct Ending
  {
    agent::StatedOutcome m_outcome;
    agent::LoadSignal m_signal = agent::LoadSignal::Served;
  };

  boost::asio::awaitable<void> RunAdmitted();
  boost::asio::awaitable<void> RunUnclaimed();
  /// Runs a request that may not repeat, under a claim in the platform.
  boost::asio::awaitable<void> RunClaimed();
  boost::asio::awaitable<service::RunResult> RunInTurn();
  boost::asio::awaitable<service::RunResult> RunOnce();
  boost::asio::awaitable<void> RespondKept(service::StoredResponse const& aAnswer);
  /// Everything that has to hold in the turn of the loop in which the first
  /// byte goes to the upstream; empty if the request may start.
  std::optional<agent::Refusal> CheckStart();
  boost::asio::awaitable<Ending> Relay();
  boost::asio::awaitable<Ending> PassOn(base::HttpReply aReply);
  boost::asio::awaitable<Ending> PassOnPieces(base::HttpReply aReply, base::HttpHeaders aHeaders);
  boost::asio::awaitable<Ending> ReportFailure(base::HttpFailure aFailure);

  base::HttpRequest UpstreamRequest();
  /// The upstream's header fields that belong to its answer.
  static base::HttpHeaders UpstreamFields(base::HttpReply const& aReply);
  base::HttpHeaders AnswerHeaders(base::HttpReply const& aReply) const;
  agent::AnswerHead Answer(agent::StatedOutcome aOutcome, std::string aReason) const;
  boost::asio::awaitable<void> Refuse(agent::Refusal aRefusal);
  boost::asio::awaitable<void> Respond(unsigned aStatus, agent::StatedOutcome aOutcome,
                                       agent::Refusal aRefusal);
  bool IsStartByPassed() const;
  base::Instant LatestStart() const;
  void Record(agent::StatedOutcome aOutcome);

  AgentParts& m_parts;
  base::HttpExchange& m_exchange;
  base::Instant m_arrival;
  agent::ExchangeHead m_head;
  /// Cancelled when the entry goes away, as long as that may stop the request.
  base::Cancellation m_entryGone;
  bool m_hasStarted = false;
};

} // namespace sardinefold::programs
