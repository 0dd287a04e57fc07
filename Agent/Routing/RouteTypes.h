#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/ReplicaKey.h"
#include "Engine/ReplicaStateMachine.h"
#include "Operator/Document.h"

#include <array>
#include <optional>
#include <vector>

namespace sardinefold::agent {

inline constexpr std::size_t kRequestClasses = 3;

/// Hash of the first part of a prompt, for which engines keep caches.
using PrefixHash = base::Ordinal<struct PrefixHashTag>;
/// Sequence number of a cache event of one engine; a gap indicates lost events.
using CacheEventNumber = base::Ordinal<struct CacheEventTag>;
/// Identifies a request that a router has sent to an upstream.
using RouteTicket = base::Ordinal<struct RouteTicketTag>;

/// Properties of an upstream that do not change while it is listed.
struct UpstreamFacts
{
  base::UpstreamId m_id;
  base::FailureDomainId m_failureDomain;
  /// Round-trip time from this router.
  base::Duration m_roundTrip{};
  /// Requests that the upstream runs at once.
  unsigned m_concurrency = 1;
};

/// The load of an upstream as reported by itself.
struct LoadReport
{
  unsigned m_running = 0;
  std::array<unsigned, kRequestClasses> m_waiting{};
  /// Memory available for new replicas without waiting for running requests;
  /// empty if the upstream does not report it.
  std::optional<base::Bytes> m_loadable;
};

/// State of one replica as reported by its agent, and when it can be used.
struct ReplicaForecast
{
  engine::ReplicaState m_state = engine::ReplicaState::Absent;
  /// Where its weights are stored while it is not loaded.
  engine::WeightTier m_tier = engine::WeightTier::Remote;
  /// Expected end of a load in progress.
  base::Instant m_readyAt{};
};

/// Observed times that the estimate is based on.
struct RouteCosts
{
  base::Duration m_serviceTime = std::chrono::milliseconds(800);
  base::Duration m_prefillPerToken = std::chrono::microseconds(100);
  base::Duration m_loadFromMemory = std::chrono::milliseconds(300);
  base::Duration m_loadFromDisk = std::chrono::milliseconds(800);
  base::Duration m_loadFromRemote = std::chrono::seconds(3);
  base::Duration m_loadAdapter = std::chrono::milliseconds(20);
  /// Wait for memory on an engine whose replicas are all in use.
  base::Duration m_waitForMemory = std::chrono::seconds(5);
  /// Accelerator memory of one replica.
  base::Bytes m_memory;
};

struct RouteQuery
{
  engine::ReplicaKey m_replica;
  operators::RequestClass m_class = operators::RequestClass::Standard;
  base::Tokens m_promptTokens;
  std::optional<PrefixHash> m_prefix;
  std::optional<base::SessionId> m_session;
  /// Upstreams that this request must not be sent to (again).
  std::vector<base::UpstreamId> m_excluded;
};

struct RouteDecision
{
  base::UpstreamId m_upstream;
  /// Identifies the request in OnDone().
  RouteTicket m_ticket;
  /// Expected time from now to the first token.
  base::Duration m_firstToken{};
};

} // namespace sardinefold::agent
