#define BOOST_TEST_MODULE Placement
#include "Agent/Placement/PlacementDecider.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace sardinefold;
using agent::HolderState;

namespace {

constexpr int kUpstreams = 8;
constexpr int kDomains = 4;

base::ModelId Model(int aNumber)
{
  return base::ModelId::FromValidated("m" + std::to_string(aNumber));
}

base::UpstreamId Upstream(int aNumber)
{
  return base::UpstreamId::FromValidated("u" + std::to_string(aNumber));
}

std::vector<agent::PlacementModel> Models(int aCount, unsigned aMaximum = 4)
{
  std::vector<agent::PlacementModel> models;
  models.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    models.push_back(
      { Model(number), base::DeploymentId::FromValidated("d"), base::Bytes(30), 0, aMaximum });
  }
  return models;
}

std::vector<agent::PlacementUpstream> Upstreams()
{
  std::vector<agent::PlacementUpstream> upstreams;
  for (int number = 0; number < kUpstreams; ++number) {
    auto const domain =
      base::FailureDomainId::FromValidated("f" + std::to_string(number % kDomains));
    upstreams.push_back(
      { Upstream(number), base::DeploymentId::FromValidated("d"), domain, base::Bytes(100), 8 });
  }
  return upstreams;
}

using Placements = std::map<base::ModelId, agent::VersionedPlacement>;

/// Writes a change as the object API does: only if the expected version matches.
bool Write(Placements& aPlacements, agent::PlacementChange const& aChange)
{
  auto& current = aPlacements[aChange.m_placement.m_model];
  if (current.m_version != aChange.m_expected) {
    return false;
  }
  current.m_placement = aChange.m_placement;
  current.m_version = current.m_version ? current.m_version->Next() : base::ObjectVersion(1);
  return true;
}

struct Fleet
{
  std::vector<agent::PlacementChange> Round()
  {
    auto changes = m_decider.Decide(m_models, m_upstreams, m_placements, m_demand);
    for (auto const& change : changes) {
      BOOST_TEST(Write(m_placements, change));
    }
    return changes;
  }

  /// Simulates the agents' confirmations that revoked replicas are unloaded.
  void ConfirmRevocations()
  {
    for (auto& [model, versioned] : m_placements) {
      auto const holders = versioned.m_placement.m_holders;
      for (auto const& holder : holders) {
        if (versioned.m_placement.Remove(holder.m_upstream)) {
          versioned.m_version = versioned.m_version->Next();
        }
      }
    }
  }

  agent::Placement const& PlacementOf(int aModel)
  {
    return m_placements[Model(aModel)].m_placement;
  }

  std::vector<agent::PlacementModel> m_models = Models(1);
  std::vector<agent::PlacementUpstream> m_upstreams = Upstreams();
  Placements m_placements;
  std::map<base::ModelId, agent::ModelDemand> m_demand;
  agent::PlacementDecider m_decider{ {} };
};

} // namespace

BOOST_AUTO_TEST_CASE(ColdModelMayLoadInTwoFailureDomains)
{
  Fleet fleet;
  BOOST_TEST(fleet.Round().size() == 1);
  BOOST_REQUIRE_EQUAL(fleet.PlacementOf(0).m_holders.size(), 2);
  BOOST_TEST(fleet.PlacementOf(0).m_decided == 2);
  std::set<base::FailureDomainId> domains;
  for (auto const& holder : fleet.PlacementOf(0).m_holders) {
    BOOST_TEST(!holder.m_isKeptWarm);
    domains.insert(
      fleet.m_upstreams[static_cast<std::size_t>(holder.m_upstream.Text().back() - '0')]
        .m_failureDomain);
  }
  BOOST_TEST(domains.size() == 2);
  BOOST_TEST(fleet.Round().empty());
}

BOOST_AUTO_TEST_CASE(CountFollowsDemandWithHysteresis)
{
  Fleet fleet;
  fleet.Round();
  fleet.m_demand[Model(0)].m_concurrency = 15;
  fleet.Round();
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 3);
  // Between the thresholds the placement does not change.
  fleet.m_demand[Model(0)].m_concurrency = 8;
  BOOST_TEST(fleet.Round().empty());
  fleet.m_demand[Model(0)].m_concurrency = 1;
  fleet.Round();
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 3);
  BOOST_TEST(std::ranges::count(fleet.PlacementOf(0).m_holders, HolderState::Revoking,
                                &agent::Holder::m_state) == 1);
  BOOST_TEST(fleet.PlacementOf(0).m_decided == 3);
  fleet.ConfirmRevocations();
  fleet.Round();
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 2);
  BOOST_TEST(fleet.PlacementOf(0).m_decided == 2);
}

BOOST_AUTO_TEST_CASE(CountNeverExceedsTheDocumentsMaximum)
{
  Fleet fleet;
  fleet.m_demand[Model(0)].m_concurrency = 1000;
  fleet.Round();
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 4);
  fleet.m_models = Models(1, 1);
  for (int round = 0; round < 8; ++round) {
    fleet.Round();
    fleet.ConfirmRevocations();
  }
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 1);
}

BOOST_AUTO_TEST_CASE(BusyModelKeepsOneReplicaWarmUntilDemandFalls)
{
  Fleet fleet;
  auto const warm = [&fleet] {
    return std::ranges::count(fleet.PlacementOf(0).m_holders, true, &agent::Holder::m_isKeptWarm);
  };
  fleet.m_demand[Model(0)].m_burstsPerHour = 11;
  fleet.Round();
  BOOST_TEST(warm() == 0);
  fleet.m_demand[Model(0)].m_burstsPerHour = 12;
  fleet.Round();
  BOOST_TEST(warm() == 1);
  fleet.m_demand[Model(0)].m_burstsPerHour = 7;
  fleet.Round();
  BOOST_TEST(warm() == 1);
  fleet.m_demand[Model(0)].m_burstsPerHour = 5;
  fleet.Round();
  BOOST_TEST(warm() == 0);
}

BOOST_AUTO_TEST_CASE(WarmReplicasTakeNoMoreThanTheirShareOfMemory)
{
  Fleet fleet;
  fleet.m_models = Models(40);
  for (auto const& model : fleet.m_models) {
    fleet.m_demand[model.m_id].m_burstsPerHour = 100;
  }
  for (int round = 0; round < 20; ++round) {
    fleet.Round();
  }
  std::map<base::UpstreamId, int> warm;
  for (auto const& [model, versioned] : fleet.m_placements) {
    for (auto const& holder : versioned.m_placement.m_holders) {
      warm[holder.m_upstream] += holder.m_isKeptWarm ? 1 : 0;
    }
  }
  BOOST_TEST(warm.size() == static_cast<std::size_t>(kUpstreams));
  for (auto const& [upstream, count] : warm) {
    BOOST_TEST(count == 1);
  }
}

BOOST_AUTO_TEST_CASE(ChangesOfOneRoundAreLimited)
{
  Fleet fleet;
  fleet.m_models = Models(40);
  BOOST_TEST(fleet.Round().size() == 8);
}

BOOST_AUTO_TEST_CASE(DrainingHolderIsReplacedAndAGoneOneRemoved)
{
  Fleet fleet;
  fleet.Round();
  auto const leaving = fleet.PlacementOf(0).m_holders.front().m_upstream;
  auto& upstream = fleet.m_upstreams[static_cast<std::size_t>(leaving.Text().back() - '0')];
  upstream.m_isAvailable = false;
  fleet.Round();
  BOOST_TEST((fleet.PlacementOf(0).Find(leaving)->m_state == HolderState::Revoking));
  // The draining holder is replaced only when nothing can be loaded there any more.
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 2);
  upstream.m_isGone = true;
  fleet.Round();
  BOOST_TEST(!fleet.PlacementOf(0).Find(leaving));
  BOOST_TEST(fleet.PlacementOf(0).m_holders.size() == 2);
}

BOOST_AUTO_TEST_CASE(PermissionMovesOnlyAfterTheUnloadWasConfirmed)
{
  agent::Placement placement{ Model(0), 1, { { Upstream(1) } } };
  BOOST_TEST(!placement.Remove(Upstream(1)));
  placement.m_holders.front().m_state = HolderState::Revoking;
  BOOST_TEST(!placement.Remove(Upstream(2)));
  BOOST_TEST(placement.Remove(Upstream(1)));
}

BOOST_AUTO_TEST_CASE(RacingDecidersOnStaleDataNeverExceedTheDecidedCount)
{
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    auto const randomBelow = [&random](int aLimit) {
      return std::uniform_int_distribution<int>(0, aLimit - 1)(random);
    };
    Fleet fleet;
    fleet.m_models = Models(6);
    std::vector<Placements> lastRead(3);
    int written = 0;
    int conflicts = 0;
    for (int round = 0; round < 400; ++round) {
      std::size_t const decider = static_cast<std::size_t>(randomBelow(3));
      if (randomBelow(3) != 0) {
        lastRead[decider] = fleet.m_placements;
      }
      fleet.m_demand[Model(randomBelow(6))].m_concurrency = randomBelow(40);
      if (randomBelow(4) == 0) {
        fleet.ConfirmRevocations();
      }
      auto upstreams = fleet.m_upstreams;
      upstreams[static_cast<std::size_t>(randomBelow(kUpstreams))].m_isAvailable =
        randomBelow(2) == 0;
      for (auto const& change :
           fleet.m_decider.Decide(fleet.m_models, upstreams, lastRead[decider], fleet.m_demand)) {
        bool const isWritten = Write(fleet.m_placements, change);
        (isWritten ? written : conflicts) += 1;
      }
      for (auto const& [model, versioned] : fleet.m_placements) {
        auto const& placement = versioned.m_placement;
        BOOST_REQUIRE(placement.m_holders.size() <= placement.m_decided);
        BOOST_REQUIRE(placement.m_decided <= 4);
        std::set<base::UpstreamId> distinct;
        for (auto const& holder : placement.m_holders) {
          distinct.insert(holder.m_upstream);
        }
        BOOST_REQUIRE_EQUAL(distinct.size(), placement.m_holders.size());
      }
    }
    BOOST_TEST(written > 50);
    BOOST_TEST(conflicts > 20);
  }
}
