#pragma once

#include "Agent/Placement/Placement.h"
#include "Agent/Routing/PrefixCacheEstimate.h"
#include "Agent/Routing/UpstreamLoad.h"

#include <tl/expected.hpp>

#include <random>
#include <unordered_map>

namespace sardinefold::agent {

enum class RouteError
{
  /// No placement names the model.
  UnknownModel,
  /// All upstreams that may hold the model are unavailable or excluded.
  NoUpstream
};

/// Chooses for each request the upstream with the shortest expected time to the
/// first token, from a bounded number of candidates, so that the cost of a
/// decision does not grow with the number of upstreams.
class Router
{
public:
  /// Candidates compared by one decision, in addition to those with a cached
  /// prefix.
  static constexpr std::size_t kCandidates = 8;

  explicit Router(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  void SetUpstream(UpstreamFacts aFacts);
  /// Draining and unhealthy upstreams get no requests.
  void SetAvailable(base::UpstreamId const& aUpstream, bool aIsAvailable);
  void SetPlacement(Placement const& aPlacement);
  void SetReplica(base::UpstreamId const& aUpstream, engine::ReplicaKey const& aReplica,
                  ReplicaForecast aStatus);
  void SetCosts(base::ModelId const& aModel, RouteCosts aCosts);
  void OnLoadReport(base::UpstreamId const& aUpstream, LoadReport const& aReport,
                    base::Instant aMadeAt);
  PrefixCacheEstimate& Prefixes() { return m_prefixes; }

  /// Chooses without counting the request; the decision has no ticket.
  tl::expected<RouteDecision, RouteError> Find(RouteQuery const& aQuery, base::Instant aNow);
  /// Counts a request as in flight at the upstream until OnDone().
  RouteTicket OnSent(RouteQuery const& aQuery, base::UpstreamId const& aUpstream,
                     base::Instant aNow);
  /// Calls Find(), then OnSent().
  tl::expected<RouteDecision, RouteError> Choose(RouteQuery const& aQuery, base::Instant aNow);
  void OnDone(RouteTicket aTicket);

private:
  using UpstreamIndex = std::size_t;

  struct Upstream
  {
    UpstreamFacts m_facts;
    bool m_isAvailable = true;
    UpstreamLoad m_load;
  };
  struct Member
  {
    UpstreamIndex m_upstream;
    ReplicaForecast m_status;
    std::map<base::AdapterId, ReplicaForecast> m_adapters;
  };
  /// The upstreams that may hold a model, in an order that is the same for all
  /// routers, so that all of them send the first requests for a cold model to
  /// the same upstream.
  struct Model
  {
    std::vector<Member> m_members;
    std::unordered_map<UpstreamIndex, std::size_t> m_position;
    RouteCosts m_costs;
  };

  bool IsUsable(Member const& aMember, RouteQuery const& aQuery) const;
  std::vector<std::size_t> Candidates(Model const& aModel, RouteQuery const& aQuery);
  void AddPrefixHolders(Model const& aModel, RouteQuery const& aQuery,
                        std::vector<std::size_t>& aPositions) const;
  void AddSample(Model const& aModel, RouteQuery const& aQuery,
                 std::vector<std::size_t>& aPositions);
  bool IsLoading(Member const& aMember, engine::ReplicaKey const& aReplica) const;
  base::Duration Estimate(Model const& aModel, std::size_t aPosition,
                          std::size_t aColdCandidatesBefore, RouteQuery const& aQuery,
                          base::Instant aNow) const;

  std::mt19937_64 m_random;
  std::vector<Upstream> m_upstreams;
  std::unordered_map<base::UpstreamId, UpstreamIndex> m_indexes;
  std::unordered_map<base::ModelId, Model> m_models;
  PrefixCacheEstimate m_prefixes;
  std::unordered_map<std::uint64_t, UpstreamIndex> m_tickets;
  RouteTicket m_lastTicket;
};

} // namespace sardinefold::agent
