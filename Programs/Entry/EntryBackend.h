#pragma once

#include "Agent/AgentClient.h"
#include "Agent/AgentDirectory.h"
#include "Agent/DispatchSession.h"
#include "Agent/RetryBudget.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Rpc/PeerAuthentication.h"
#include "Caller/RouteTable.h"
#include "Entry/Allowance/AllowanceEndpoint.h"
#include "Entry/Keys/KeysEndpoint.h"
#include "ObjectStore/ObjectClient.h"
#include "Operator/Document.h"
#include "Programs/Entry/RoutingChooser.h"
#include "Programs/Entry/StatusPoller.h"

#include <memory>

namespace sardinefold::programs {

/// The state behind the callers' interface of an entry: the document in force,
/// the agents and the allowances.
class EntryBackend
{
public:
  using Allowances = entry::AllowanceEndpoint<objectstore::ObjectClient>;
  using Reply = agent::AgentReply;

  EntryBackend(base::EventLoop& aLoop, base::HttpClient& aHttp,
               base::PeerAuthentication const& aAuthentication, Allowances& aAllowances,
               entry::KeysEndpoint& aKeys);

  /// Puts a document in force.
  void Apply(std::unique_ptr<operators::Document const> aDocument);
  /// Replaces the platform's list of hosts.
  void SetHosts(std::vector<agent::AgentHost> aHosts);
  /// Polls the agents' status for as long as the program runs.
  boost::asio::awaitable<void> PollAgents() { return m_statusPoller.Run(); }
  /// Calls Apply() for the configuration relay (entry::DocumentApplier). It
  /// always succeeds, as every valid document can be put in force.
  tl::expected<void, std::string> ApplyDocument(
    std::unique_ptr<operators::Document const> aDocument)
  {
    Apply(std::move(aDocument));
    return {};
  }
  void StartDraining() { m_isDraining = true; }

  // The members below implement caller::CallerBackend.
  operators::Document const* CurrentDocument() const { return m_document.get(); }
  caller::RouteTable const& Routes() const { return *m_routes; }
  entry::KeysEndpoint const& Keys() const { return m_keys; }
  bool IsDraining() const { return m_isDraining; }
  boost::asio::awaitable<tl::expected<agent::DispatchResponse<Reply>, agent::DispatchError>>
  Dispatch(agent::DispatchRequest const& aRequest, base::HttpRequest aMessage,
           base::Cancellation& aCancellation);
  void Settle(agent::ReservationId aReservation, base::Tokens aUsed);
  /// Records that the response of an upstream has ended.
  void RecordResponse(agent::DispatchRequest const& aRequest, base::UpstreamId const& aUpstream,
                      bool aIsComplete);

  // Reserve() and Settle() implement agent::TokenReserver.
  boost::asio::awaitable<tl::expected<agent::TokenReservation, agent::DispatchError>> Reserve(
    agent::DispatchRequest const& aRequest);

private:
  base::EventLoop& m_loop;
  Allowances& m_allowances;
  entry::KeysEndpoint& m_keys;
  agent::AgentDirectory m_directory;
  agent::AgentClient m_agents;
  agent::RetryBudget m_retryBudget;
  RoutingChooser m_chooser;
  StatusPoller m_statusPoller;
  std::unique_ptr<operators::Document const> m_document;
  std::unique_ptr<caller::RouteTable const> m_routes;
  bool m_isDraining = false;
};

} // namespace sardinefold::programs
