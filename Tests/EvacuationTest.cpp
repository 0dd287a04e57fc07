#define BOOST_TEST_MODULE Evacuation
#include "Engine/HomeRegions.h"
#include "Engine/SwapPlanner.h"
#include "Engine/UpstreamDirectory.h"
#include "Entry/Relay/EvacuationRegister.h"
#include "Entry/Relay/WatchRole.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/StoreFollowerTiming.h"

#include <boost/test/unit_test.hpp>

// An operator evacuates a failure domain: its upstreams get no new request until that is
// taken back, whatever a gateway was about to send, and whatever old or lost message, or
// silence of the store, comes between.

using namespace sardinefold;
using namespace sardinefold::engine;
using entry::EvacuationChange;
using entry::EvacuationRegister;
using entry::EvacuationState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
auto const kDeployment = base::DeploymentId::FromValidated("assistant");
auto const kModel = base::ModelId::FromValidated("rare");
using Domains = std::set<base::FailureDomainId>;

base::FailureDomainId Domain(std::string aName)
{
  return base::FailureDomainId::FromValidated(std::move(aName));
}

base::RegionId Region(std::string aName)
{
  return base::RegionId::FromValidated(std::move(aName));
}

EvacuationState State(std::uint64_t aVersion, Domains aDomains, std::uint64_t aEra = 1)
{
  return { { base::StoreEra(aEra), aVersion }, std::move(aDomains) };
}

UpstreamEntry Entry(std::string const& aName, std::string aDomain,
                    std::vector<HeldModel> aModels = {})
{
  UpstreamEntry entry;
  entry.m_instance = InstanceId::FromValidated(aName);
  entry.m_deployment = kDeployment;
  entry.m_endpoint = { "10.0.0." + aName, 1 };
  entry.m_failureDomain = Domain(std::move(aDomain));
  entry.m_slots = 8;
  entry.m_models = std::move(aModels);
  return entry;
}

/// Names each failure domain whose evacuation came into force (+) or ended (-).
struct Register
{
  EvacuationRegister m_register;

  static std::string Text(std::vector<EvacuationChange> const& aChanges)
  {
    std::string text;
    for (auto const& change : aChanges) {
      text += (change.m_isInForce ? "+" : "-") + change.m_domain.Text();
    }
    return text;
  }
  std::string Take(EvacuationState aState)
  {
    return Text(m_register.OnState(std::move(aState), kStart, kStart));
  }
  std::string Expire(base::Instant aNow, base::ObjectVersion aListVersion = {})
  {
    return Text(m_register.Expire(aListVersion, aNow));
  }
  std::string OnList(std::uint64_t aVersion)
  {
    return Expire(kStart, { base::StoreEra(1), aVersion });
  }
  std::string InForce() const
  {
    std::string text;
    for (auto const& [domain, end] : m_register.InForce()) {
      text += domain.Text();
    }
    return text;
  }
};

/// Two upstreams: "1" in the failure domain "a", where the gateway is, and "2" in "b".
struct TwoDomains
{
  UpstreamDirectory m_directory{ {}, Domain("a"), 1 };
  UpstreamQuery m_query{ kDeployment, std::nullopt, std::nullopt, {} };

  TwoDomains()
  {
    m_directory.OnListed(Entry("1", "a"), kStart);
    m_directory.OnListed(Entry("2", "b"), kStart);
  }

  /// Evacuates exactly these failure domains, with their last use at kStart.
  void Evacuate(Domains const& aDomains, base::Instant aEnd = kStart)
  {
    std::map<base::FailureDomainId, base::Instant> ends;
    for (auto const& domain : aDomains) {
      ends.emplace(domain, aEnd);
    }
    m_directory.SetEvacuated(ends);
  }
  std::variant<UpstreamChoice, UpstreamAbsence> Find() { return m_directory.Find(m_query, kStart); }
  std::string Chosen()
  {
    auto const found = Find();
    auto const* const choice = std::get_if<UpstreamChoice>(&found);
    return choice ? choice->m_instance.Text() : std::string(ToText(std::get<1>(found)));
  }
};

PlannedEngine EngineWith(std::string aName, std::string aDomain, std::vector<std::string> aModels,
                         std::set<base::ModelId> aOnDisk)
{
  PlannedEngine engine;
  engine.m_loader = base::HostId::FromValidated(std::move(aName));
  engine.m_deployment = kDeployment;
  engine.m_failureDomain = Domain(std::move(aDomain));
  for (auto& model : aModels) {
    engine.m_models.push_back({ base::ModelId::FromValidated(std::move(model)), {} });
  }
  engine.m_copies.m_onDisk = std::move(aOnDisk);
  return engine;
}

} // namespace

BOOST_AUTO_TEST_CASE(OnlyALaterVersionOfTheStoreChangesWhatIsInForce)
{
  Register evacuations;
  BOOST_TEST(evacuations.Take(State(10, {})) == "");
  BOOST_TEST(evacuations.Take(State(20, { Domain("a") })) == "+a");
  // A message of before, and one of the same version.
  BOOST_TEST(evacuations.Take(State(15, {})) == "");
  BOOST_TEST(evacuations.Take(State(20, {})) == "");
  // A silent store changes nothing.
  BOOST_TEST(evacuations.Expire(kStart + seconds(3600)) == "");
  BOOST_TEST(evacuations.InForce() == "a");
  BOOST_TEST(evacuations.Take(State(30, { Domain("a"), Domain("b") })) == "+b");
  BOOST_TEST(evacuations.Take(State(40, { Domain("b") })) == "");
  BOOST_TEST(evacuations.OnList(40) == "-a");
  BOOST_TEST(evacuations.InForce() == "b");
}

// The domain's upstreams became cold shortly before its evacuation was taken back. The
// list that tells so is gathered for a second or two: requests that come before it would
// be too many for them.
BOOST_AUTO_TEST_CASE(AnEvacuationTakenBackAwaitsTheListOfUpstreams)
{
  Register evacuations;
  evacuations.Take(State(20, { Domain("a"), Domain("b") }));
  BOOST_TEST(evacuations.OnList(25) == "");
  BOOST_TEST(evacuations.Take(State(30, { Domain("b") })) == "");
  BOOST_TEST(evacuations.OnList(29) == "");
  BOOST_TEST(evacuations.InForce() == "ab");
  // Later versions of the evacuations change nothing in that.
  BOOST_TEST(evacuations.Take(State(35, { Domain("b") })) == "");
  BOOST_TEST(evacuations.OnList(30) == "-a");
  // The domain is evacuated once more, meanwhile.
  evacuations.Take(State(40, {}));
  evacuations.Take(State(50, { Domain("b") }));
  BOOST_TEST(evacuations.OnList(60) == "");
  // A gateway that is cut from the list waits for a limited time.
  evacuations.Take(State(70, {}));
  BOOST_TEST(evacuations.Expire(kStart + milliseconds(9'900)) == "");
  BOOST_TEST(evacuations.Expire(kStart + seconds(10)) == "-b");
}

// The bound counts from the evacuation, which came after the store last held none; a
// gateway that learns of it late has nothing left of that time.
BOOST_AUTO_TEST_CASE(TheLastUseEndsByWhenTheStoreHeldNoEvacuation)
{
  auto const now = kStart + seconds(60);
  auto const endOf = [&](std::optional<base::Instant> aHeldAt, auto aMeanwhile) {
    EvacuationRegister evacuations({ .m_lastUse = seconds(3) });
    evacuations.OnState(State(10, {}), aHeldAt, kStart);
    aMeanwhile(evacuations);
    return evacuations.OnState(State(20, { Domain("a") }), now, now).at(0).m_end;
  };
  auto const nothing = [](EvacuationRegister&) {};
  BOOST_TEST((endOf(now - milliseconds(800), nothing) == now + milliseconds(2200)));
  BOOST_TEST((endOf(now - seconds(9), nothing) == now - seconds(6)));
  // Nothing is known of when it was held.
  BOOST_TEST((endOf(std::nullopt, nothing) == now));
  // The store confirmed the state, by its version or a later one; an older message says
  // nothing of the time after it.
  for (std::uint64_t const version : { 10U, 12U }) {
    auto const confirm = [&](EvacuationRegister& aRegister) {
      aRegister.OnState(State(version, {}), now - seconds(1), now);
    };
    BOOST_TEST((endOf(kStart, confirm) == now + seconds(2)));
  }
  auto const old = [&](EvacuationRegister& aRegister) {
    aRegister.OnState(State(9, {}), now - seconds(1), now);
  };
  BOOST_TEST((endOf(kStart, old) == kStart + seconds(3)));
  // A gateway that starts reads the evacuation first.
  EvacuationRegister started({ .m_lastUse = seconds(3) });
  BOOST_TEST((started.OnState(State(20, { Domain("a") }), now, now).at(0).m_end == now));
}

// The store comes back from a copy that lacks an evacuation that it had acknowledged.
// Its first list would send requests to the failure domain again.
BOOST_AUTO_TEST_CASE(ARestoredStoreEndsNoEvacuationBeforeOperatorsCouldRepeatIt)
{
  for (bool const isRepeated : { false, true }) {
    Register evacuations;
    evacuations.Take(State(100, { Domain("a") }));
    BOOST_TEST(evacuations.Take(State(50, { Domain("c") }, 2)) == "+c");
    // What was known of the earlier era is no news.
    BOOST_TEST(evacuations.Take(State(200, {})) == "");
    BOOST_TEST(evacuations.InForce() == "ac");
    BOOST_TEST(evacuations.Expire(kStart + seconds(29)) == "");
    if (isRepeated) {
      BOOST_TEST(evacuations.Take(State(60, { Domain("a"), Domain("c") }, 2)) == "");
      BOOST_TEST(evacuations.Expire(kStart + seconds(90)) == "");
      BOOST_TEST(evacuations.Take(State(70, { Domain("c") }, 2)) == "");
      BOOST_TEST(evacuations.Expire(kStart, { base::StoreEra(2), 70 }) == "-a");
    } else {
      BOOST_TEST(evacuations.Expire(kStart + seconds(30)) == "-a");
    }
    BOOST_TEST(evacuations.InForce() == "c");
  }
}

BOOST_FIXTURE_TEST_CASE(AnEvacuatedDomainGetsNoRequestUntilThatIsTakenBack, TwoDomains)
{
  BOOST_TEST(Chosen() == "1");
  Evacuate({ Domain("a") });
  BOOST_TEST(Chosen() == "2");
  // A retry, or the rest of a stream that broke off at the other one.
  m_query.m_excluded = { InstanceId::FromValidated("2") };
  BOOST_TEST(Chosen() == "upstreams are evacuated");
  m_query.m_excluded = {};
  Evacuate({ Domain("a"), Domain("b") });
  BOOST_TEST(Chosen() == "upstreams are evacuated");
  Evacuate({ Domain("b") });
  BOOST_TEST(Chosen() == "1");
  Evacuate({});
  BOOST_TEST(Chosen() == "1");
}

// The connection to the chosen upstream was still being set up when the evacuation came.
BOOST_FIXTURE_TEST_CASE(ARequestThatHasNotBeenSentChoosesAgain, TwoDomains)
{
  auto const choice = std::get<UpstreamChoice>(Find());
  BOOST_TEST(m_directory.MaySend(choice, kStart));
  Evacuate({ Domain("a") });
  BOOST_TEST(!m_directory.MaySend(choice, kStart));
  BOOST_TEST(Chosen() == "2");
  Evacuate({});
  BOOST_TEST(m_directory.MaySend(choice, kStart));
}

BOOST_FIXTURE_TEST_CASE(UntilTheLastUseADomainServesOnlyWhatNoOtherCan, TwoDomains)
{
  m_directory.OnListed(Entry("1", "a", { { kModel, {} } }), kStart);
  auto const before = std::get<UpstreamChoice>(Find());
  Evacuate({ Domain("a") }, kStart + milliseconds(1));
  BOOST_TEST(Chosen() == "2");
  // It was chosen while others could be.
  BOOST_TEST(!m_directory.MaySend(before, kStart));
  m_query.m_model = kModel;
  auto const last = std::get<UpstreamChoice>(Find());
  BOOST_TEST(last.m_instance.Text() == "1");
  BOOST_TEST(m_directory.MaySend(last, kStart));
  BOOST_TEST(!m_directory.MaySend(last, kStart + milliseconds(1)));
  BOOST_TEST((std::get<UpstreamAbsence>(m_directory.Find(m_query, kStart + milliseconds(1))) ==
              UpstreamAbsence::ModelNotLoaded));
}

BOOST_FIXTURE_TEST_CASE(AModelHeldOnlyInAnEvacuatedDomainIsNotLoaded, TwoDomains)
{
  m_directory.OnListed(Entry("1", "a", { { kModel, {} } }), kStart);
  m_query.m_model = kModel;
  BOOST_TEST(Chosen() == "1");
  Evacuate({ Domain("a") });
  // The request waits for a load elsewhere.
  BOOST_TEST(Chosen() == "model not loaded");
  Evacuate({ Domain("a"), Domain("b") });
  BOOST_TEST(Chosen() == "upstreams are evacuated");
}

BOOST_FIXTURE_TEST_CASE(ARequestStaysInItsHomeRegions, TwoDomains)
{
  std::map<base::FailureDomainId, base::RegionId> const regions{ { Domain("a"), Region("north") },
                                                                 { Domain("b"), Region("south") },
                                                                 { Domain("c"), Region("south") } };
  auto const homes = [&](std::set<base::RegionId> const& aRoute,
                         std::set<base::RegionId> const& aWorkspace) {
    return HomeDomains(aRoute, aWorkspace, regions);
  };
  BOOST_TEST(!homes({}, {}).has_value());
  BOOST_TEST((homes({ Region("south") }, {}) == Domains{ Domain("b"), Domain("c") }));
  BOOST_TEST((homes({}, { Region("north") }) == Domains{ Domain("a") }));
  // Where both have homes, both hold.
  BOOST_TEST(
    (homes({ Region("south"), Region("north") }, { Region("north") }) == Domains{ Domain("a") }));
  BOOST_TEST((homes({ Region("south") }, { Region("north") }) == Domains{}));
  BOOST_TEST((homes({ Region("elsewhere") }, {}) == Domains{}));

  m_query.m_failureDomains = homes({ Region("south") }, {});
  BOOST_TEST(Chosen() == "2");
  // Also on a retry, and when all upstreams there are gone or evacuated.
  m_query.m_excluded = { InstanceId::FromValidated("2") };
  BOOST_TEST(Chosen() == "no upstream");
  m_query.m_excluded = {};
  Evacuate({ Domain("b") });
  BOOST_TEST(Chosen() == "upstreams are evacuated");
  m_query.m_failureDomains = Domains{};
  BOOST_TEST(Chosen() == "no upstream");
}

// An upstream outside a request's homes says nothing of when those inside will want it.
BOOST_FIXTURE_TEST_CASE(UpstreamsOutsideTheHomesDoNotCountForABackoff, TwoDomains)
{
  m_query.m_failureDomains = Domains{ Domain("b") };
  auto const choice = std::get<UpstreamChoice>(Find());
  m_directory.OnBackoff(choice, seconds(3), kStart);
  BOOST_TEST(m_directory.BackoffEndFor(m_query, kStart).has_value());
  m_query.m_failureDomains.reset();
  BOOST_TEST(!m_directory.BackoffEndFor(m_query, kStart).has_value());
  Evacuate({ Domain("a") });
  BOOST_TEST(m_directory.BackoffEndFor(m_query, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(WhatAnEvacuatedDomainHeldIsLoadedElsewhereAheadOfNeed)
{
  operators::EngineSpec spec;
  spec.m_weights = base::Megabytes(200);
  for (auto const* const name : { "a", "b" }) {
    operators::ModelSpec model;
    model.m_weights = base::Megabytes(90);
    model.m_loadFromDisk = seconds(1);
    model.m_loadFromStore = seconds(5);
    spec.m_models[base::ModelId::FromValidated(name)] = model;
  }
  auto const model = base::ModelId::FromValidated("a");
  SwapPlanner planner({});
  planner.SetSpec(kDeployment, spec);
  std::set<base::ModelId> const onDisk{ model };
  auto const report = [&](base::Instant aNow) {
    planner.OnEngine(EngineWith("one", "a", { "a" }, onDisk), aNow);
    planner.OnEngine(EngineWith("two", "a", { "b" }, onDisk), aNow);
    planner.OnEngine(EngineWith("three", "b", { "b" }, onDisk), aNow);
  };
  report(kStart);
  WaitingDemand demand;
  demand.m_model = model;
  demand.m_rate = 1;
  planner.OnDemand(base::HostId::FromValidated("gateway"), { demand }, true);
  auto now = kStart + seconds(10);
  BOOST_TEST(planner.Plan(now).empty());
  // Nobody waits for the model yet. The other engine of the domain gets nothing.
  planner.SetEvacuated({ Domain("a") });
  auto const swaps = planner.Plan(now);
  BOOST_REQUIRE(swaps.size() == 1U);
  BOOST_TEST(swaps[0].m_load == model);
  BOOST_TEST(swaps[0].m_loader == base::HostId::FromValidated("three"));
  // An assignment that its engine has not taken up ends with an evacuation of its domain.
  planner.SetEvacuated({ Domain("b") });
  BOOST_TEST(planner.Plan(now).empty());
  // Taken back: what the domain holds counts again.
  planner.SetEvacuated({ Domain("a") });
  planner.SetEvacuated({});
  now += seconds(1);
  report(now);
  BOOST_TEST(planner.Plan(now).empty());
}

BOOST_AUTO_TEST_CASE(OneGatewayOfADomainWatchesEvacuations)
{
  auto const host = [](char const* aName) { return base::HostId::FromValidated(aName); };
  std::map<base::HostId, base::Endpoint> const neighbours{ { host("a"), { "10.0.0.1", 1 } },
                                                           { host("b"), { "10.0.0.2", 1 } },
                                                           { host("c"), { "10.0.0.3", 1 } } };
  std::string watchers;
  for (auto const* const name : { "a", "b", "c" }) {
    entry::WatchRole role({}, host(name));
    BOOST_TEST(!role.IsFirstWatcher(kStart));
    role.OnNeighbours(neighbours, { { "10.0.0.2", 1 }, { "10.0.0.1", 1 } }, kStart);
    watchers += role.IsFirstWatcher(kStart) ? name : "";
    // Without word of the others each asks only when what it knows is too old.
    BOOST_TEST(!role.IsFirstWatcher(kStart + seconds(4)));
  }
  BOOST_TEST(watchers == "b");
}

BOOST_AUTO_TEST_CASE(TheMaximumDelayOfAnEvacuationIsWithinItsBound)
{
  using Timing = programs::StoreFollowerTiming;
  base::Duration const call = milliseconds(100);
  base::Duration const connect = milliseconds(600);
  for (base::Duration const bound :
       { milliseconds(4000), milliseconds(5000), milliseconds(8000) }) {
    base::SiteBounds bounds;
    bounds.m_maximumEvacuationDelay = bound;
    auto const watch = Timing::Evacuations(bounds).m_watchTime;
    auto const age = Timing::EvacuationAge(bounds);
    // While the first watcher responds, its followers make no call.
    BOOST_TEST((watch + call + Timing::kUpdateInterval + call < age));
    // The first watcher is gone at the moment of the evacuation: the others ask the store
    // once what they know is too old, at the second attempt.
    auto const retry = Timing::Evacuations(bounds).m_backoff.m_maximum;
    BOOST_TEST((age + call + retry + call + connect <= bound));
    // The last use leaves time for a connection, and for a request to arrive.
    auto const lastUse = programs::GatewayState::EvacuationPolicy(bounds).m_lastUse;
    BOOST_TEST((lastUse + connect + call <= bound));
  }
}
