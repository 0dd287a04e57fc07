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

/// Hash of a prompt's first part, over which engines keep caches.
using PrefixHash = base::Ordinal<struct PrefixHashTag>;
/// Number of a cache event of one engine; a gap shows lost events.
using CacheEventNumber = base::Ordinal<struct CacheEventTag>;
/// Names a request that a router has sent somewhere.
using RouteTicket = base::Ordinal<struct RouteTicketTag>;

/// What is fixed about an upstream while it is listed.
struct UpstreamFacts
{
  base::UpstreamId m_id;
  base::FailureDomainId m_failureDomain;
  /// Round trip from here.
  base::Duration m_distance{};
  /// Requests that it runs at once.
  unsigned m_concurrency = 1;
};

/// An upstream's own account of its load.
struct LoadReport
{
  unsigned m_running = 0;
  std::array<unsigned, kRequestClasses> m_waiting{};
  /// Memory for new replicas that needs no running request to end first; none
  /// if the upstream doesn't tell.
  std::optional<base::Bytes> m_loadable;
};

/// State of one replica as its agent told it, and when it can be used.
struct ReplicaOutlook
{
  engine::ReplicaState m_state = engine::ReplicaState::Absent;
  /// Where its weights lie when it isn't loaded.
  engine::WeightTier m_tier = engine::WeightTier::Remote;
  /// Expected end of a load that is under way.
  base::Instant m_readyAt{};
};

/// Times that the estimate is built from, as observed.
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
  /// Upstreams that this request must not go to (again).
  std::vector<base::UpstreamId> m_excluded;
};

struct RouteDecision
{
  base::UpstreamId m_upstream;
  /// Names the request for OnDone().
  RouteTicket m_ticket;
  /// Expected time from now to the first token.
  base::Duration m_firstToken{};
};

} // namespace sardinefold::agent
