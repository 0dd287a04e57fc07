#define BOOST_TEST_MODULE ReplicaFault
#include "Engine/ReplicaManager.h"
#include "Tests/Fakes/FakeEngine.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace sardinefold;
using namespace std::chrono_literals;
using engine::OrderOutcome;
using engine::ReplicaKey;

namespace {

constexpr base::Duration kOrderTimeout = 5s;
constexpr base::Duration kLease = 10s;
constexpr base::Duration kStep = 250ms;
constexpr base::Bytes kMemory(100);
constexpr int kSteps = 4000;
constexpr int kSettlingSteps = 400;
constexpr int kModels = 6;

ReplicaKey Key(int aNumber)
{
  return { base::ModelId::FromValidated("m" + std::to_string(aNumber)), std::nullopt };
}

engine::ReplicaMemory Memory(ReplicaKey const& aKey)
{
  int const number = aKey.m_model.Text().back() - '0';
  return { base::Bytes(15 + 7 * number), base::Bytes(5) };
}

/// One incarnation of the engine's agent. A replaced incarnation continues to run
/// until it detects that it was replaced.
struct Agent
{
  base::FencingNumber m_number;
  engine::ReplicaManager m_manager;
  base::Instant m_pausedUntil;
  std::map<base::RequestId, ReplicaKey> m_waiting;
  std::set<base::RequestId> m_running;
};

/// An order that is in transit to the engine or being executed there.
struct PendingOrder
{
  Agent* m_agent;
  engine::OrderId m_order;
  ReplicaKey m_replica;
  bool m_isLoad;
  base::Instant m_begin;
  base::Instant m_end;
  base::Instant m_bound;
  bool m_isResponseLost;
  bool m_hasBegun = false;
  bool m_isFencedOff = false;
  bool m_hasEnded = false;
  OrderOutcome m_outcome = OrderOutcome::Done;
};

/// Simulates one engine and its successive agents with seeded faults: lost
/// responses, failed loads, and agents replaced or paused at any time.
class FaultRun
{
public:
  FaultRun(unsigned aSeed, engine::FencingSupport aSupport)
    : m_random(aSeed)
    , m_support(aSupport)
    , m_engine(kMemory, aSupport == engine::FencingSupport::Checked)
  {
    StartAgent();
  }

  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      m_now += kStep;
      if (Chance(400)) {
        StartAgent();
      }
      AdvancePendingOrders();
      for (auto const& agent : m_agents) {
        RunAgent(*agent);
      }
    }
  }

  /// Runs without further faults or requests until all pending work has ended.
  void Settle()
  {
    m_isSettling = true;
    CurrentAgent().m_pausedUntil = m_now;
    for (int step = 0; step < kSettlingSteps; ++step) {
      m_now += kStep;
      AdvancePendingOrders();
      for (auto const& agent : m_agents) {
        RunAgent(*agent);
      }
    }
  }

  Agent& CurrentAgent() { return *m_agents.back(); }
  tests::FakeEngine const& Engine() const { return m_engine; }
  int Loads() const { return m_loads; }
  int Started() const { return m_started; }
  int DuplicateResponses() const { return m_duplicateResponses; }
  int StartsWithoutReplica() const { return m_startsWithoutReplica; }

private:
  bool Chance(int aOneIn) { return RandomBelow(aOneIn) == 0; }
  int RandomBelow(int aLimit)
  {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(m_random);
  }
  base::Duration RandomUpTo(std::chrono::milliseconds aMaximum)
  {
    return std::chrono::milliseconds(RandomBelow(static_cast<int>(aMaximum.count()) + 1));
  }

  void StartAgent()
  {
    m_number = m_number.Next();
    engine::ReplicaManagerSettings const settings{ kMemory, 20s };
    engine::WriterLease lease(m_support, { kLease, kOrderTimeout });
    lease.Acquire(m_number, m_now, m_now);
    m_agents.push_back(std::make_unique<Agent>(
      Agent{ m_number, engine::ReplicaManager(settings, lease), {}, {}, {} }));
    engine::ReplicaCatalog catalog;
    engine::Permissions permissions;
    for (int number = 0; number < kModels; ++number) {
      catalog.emplace(Key(number), Memory(Key(number)));
      permissions[Key(number).m_model] = {};
    }
    ExecuteActions(CurrentAgent(), CurrentAgent().m_manager.SetCatalog(catalog, m_now));
    ExecuteActions(CurrentAgent(), CurrentAgent().m_manager.SetPermissions(permissions, m_now));
  }

  void RunAgent(Agent& aAgent)
  {
    if (!m_isSettling && Chance(200)) {
      aAgent.m_pausedUntil = m_now + RandomUpTo(20s);
    }
    if (m_now < aAgent.m_pausedUntil) {
      return;
    }
    bool const isResuming = m_now < aAgent.m_pausedUntil + kStep;
    if (!m_isSettling && Chance(3)) {
      SendRequest(aAgent);
    }
    EndRequest(aAgent);
    ExecuteActions(aAgent, aAgent.m_manager.Tick(m_now));
    if (!isResuming || m_isSettling) {
      aAgent.m_manager.Lease().Renew(m_number, m_now);
    }
  }

  void SendRequest(Agent& aAgent)
  {
    auto const request = base::RequestId::FromValidated("r" + std::to_string(++m_requests));
    ReplicaKey const key = Key(RandomBelow(kModels));
    aAgent.m_waiting.emplace(request, key);
    auto const requestClass = static_cast<operators::RequestClass>(RandomBelow(3));
    engine::Urgency const urgency{ requestClass, m_now + 30s };
    ExecuteActions(aAgent, aAgent.m_manager.Request(request, key, urgency, m_now));
  }

  void EndRequest(Agent& aAgent)
  {
    bool const ends = m_isSettling || Chance(2);
    if (aAgent.m_running.empty() || !ends) {
      return;
    }
    auto const request = aAgent.m_running.extract(aAgent.m_running.begin());
    ExecuteActions(aAgent, aAgent.m_manager.End(request.value(), m_now));
  }

  void ExecuteActions(Agent& aAgent, engine::ReplicaActions const& aActions)
  {
    for (auto const& action : aActions) {
      std::visit([this, &aAgent](auto const& aOne) { Execute(aAgent, aOne); }, action);
    }
  }

  void Execute(Agent& aAgent, engine::RequestSlot const& aSlot)
  {
    ExecuteActions(aAgent, aAgent.m_manager.OnSlotGranted(aSlot.m_order, m_now + 1s, m_now));
  }
  void Execute(Agent& aAgent, engine::OrderLoad const& aOrder)
  {
    ++m_loads;
    Send(aAgent, aOrder.m_order, aOrder.m_replica, true);
  }
  void Execute(Agent& aAgent, engine::OrderUnload const& aOrder)
  {
    Send(aAgent, aOrder.m_order, aOrder.m_replica, false);
  }
  void Execute(Agent& aAgent, engine::RaiseFence const& aRaise)
  {
    bool const isAccepted = m_engine.RaiseFence(aRaise.m_fencing);
    auto const outcome = isAccepted ? OrderOutcome::Done : OrderOutcome::FencedOff;
    ExecuteActions(aAgent, aAgent.m_manager.OnFenceOutcome(outcome, m_now));
  }
  void Execute(Agent& aAgent, engine::ReadEngineState const&)
  {
    ExecuteActions(aAgent, aAgent.m_manager.OnEngineState(m_engine.State(), m_now, m_now));
  }
  void Execute(Agent& aAgent, engine::StartRequest const& aStart)
  {
    ++m_started;
    auto const waiting = aAgent.m_waiting.find(aStart.m_request);
    bool const isLoaded = waiting != aAgent.m_waiting.end() && m_engine.Holds(waiting->second);
    // A replaced agent does not know in time what its successor unloads, so only
    // the current agent is checked.
    m_startsWithoutReplica += isLoaded || &aAgent != &CurrentAgent() ? 0 : 1;
    RecordResponse(aAgent, aStart.m_request);
    aAgent.m_running.insert(aStart.m_request);
  }
  void Execute(Agent& aAgent, engine::RefuseRequest const& aRefuse)
  {
    RecordResponse(aAgent, aRefuse.m_request);
  }
  void Execute(Agent&, engine::ReleaseSlot const&) {}
  void Execute(Agent&, engine::ConfirmRevoked const&) {}

  void RecordResponse(Agent& aAgent, base::RequestId const& aRequest)
  {
    m_duplicateResponses += aAgent.m_waiting.erase(aRequest) == 1 ? 0 : 1;
  }

  /// Sends an order that arrives after a random delay and ends within the timeout.
  void Send(Agent& aAgent, engine::OrderId aOrder, ReplicaKey const& aKey, bool aIsLoad)
  {
    base::Instant const begin = m_now + RandomUpTo(1500ms);
    base::Instant const end = begin + RandomUpTo(3s);
    bool const isLost = !m_isSettling && Chance(6);
    m_pendingOrders.push_back(
      { &aAgent, aOrder, aKey, aIsLoad, begin, end, m_now + kOrderTimeout, isLost });
  }

  void AdvancePendingOrders()
  {
    // NOTE: handling an outcome may add orders, so size() is read in each round.
    for (std::size_t index = 0; index < m_pendingOrders.size(); ++index) {
      PendingOrder pending = m_pendingOrders[index];
      Advance(pending);
      m_pendingOrders[index] = pending;
      if (pending.m_hasEnded && MayRespond(pending)) {
        m_pendingOrders[index].m_agent = nullptr;
        OrderOutcome const outcome =
          pending.m_isResponseLost ? OrderOutcome::Lost : pending.m_outcome;
        ExecuteActions(*pending.m_agent,
                       pending.m_agent->m_manager.OnOrderOutcome(pending.m_order, outcome, m_now));
      }
    }
    std::erase_if(m_pendingOrders, [](PendingOrder const& aPending) { return !aPending.m_agent; });
  }

  bool MayRespond(PendingOrder const& aPending) const
  {
    bool const isAwake = m_now >= aPending.m_agent->m_pausedUntil;
    return isAwake && (!aPending.m_isResponseLost || m_now >= aPending.m_bound);
  }

  void Advance(PendingOrder& aPending)
  {
    if (!aPending.m_hasBegun && m_now >= aPending.m_begin) {
      aPending.m_hasBegun = true;
      aPending.m_isFencedOff = !Begin(aPending);
    }
    if (aPending.m_hasBegun && !aPending.m_hasEnded && m_now >= aPending.m_end) {
      aPending.m_hasEnded = true;
      aPending.m_outcome = End(aPending);
    }
  }

  bool Begin(PendingOrder const& aPending)
  {
    base::FencingNumber const number = aPending.m_agent->m_number;
    if (aPending.m_isLoad) {
      return m_engine.BeginLoad(aPending.m_replica, Memory(aPending.m_replica), number);
    }
    return m_engine.Unload(aPending.m_replica, number);
  }

  OrderOutcome End(PendingOrder const& aPending)
  {
    if (aPending.m_isFencedOff) {
      return OrderOutcome::FencedOff;
    }
    bool const succeeds = m_isSettling || !aPending.m_isLoad || !Chance(8);
    if (aPending.m_isLoad) {
      m_engine.EndLoad(aPending.m_replica, succeeds);
    }
    return succeeds ? OrderOutcome::Done : OrderOutcome::Refused;
  }

  std::mt19937 m_random;
  engine::FencingSupport m_support;
  tests::FakeEngine m_engine;
  base::Instant m_now{ 1h };
  base::FencingNumber m_number;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::vector<PendingOrder> m_pendingOrders;
  bool m_isSettling = false;
  int m_requests = 0;
  int m_loads = 0;
  int m_started = 0;
  int m_duplicateResponses = 0;
  int m_startsWithoutReplica = 0;
};

void CheckRun(unsigned aSeed, engine::FencingSupport aSupport)
{
  FaultRun run(aSeed, aSupport);
  run.Run();
  run.Settle();
  BOOST_TEST_CONTEXT("seed " << aSeed)
  {
    BOOST_TEST(run.Engine().Peak() <= kMemory);
    BOOST_TEST(run.Engine().DoubleLoads() == 0);
    BOOST_TEST(run.DuplicateResponses() == 0);
    BOOST_TEST(run.StartsWithoutReplica() == 0);
    BOOST_TEST(run.CurrentAgent().m_waiting.empty());
    BOOST_TEST(run.Loads() > 20);
    BOOST_TEST(run.Started() > 100);
    base::Bytes held;
    for (auto const& replica : run.Engine().State().m_held) {
      held += replica.m_memory.Total();
    }
    BOOST_TEST(run.CurrentAgent().m_manager.IsReconciled());
    BOOST_TEST(run.CurrentAgent().m_manager.Ledger().Used() == held);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(MemoryLimitHoldsUnderFaultsWhenTheEngineChecksFencing)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CheckRun(seed, engine::FencingSupport::Checked);
  }
}

BOOST_AUTO_TEST_CASE(MemoryLimitHoldsUnderFaultsWhenTheEngineIgnoresFencing)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CheckRun(seed, engine::FencingSupport::Ignored);
  }
}
