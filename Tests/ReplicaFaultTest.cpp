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

constexpr base::Duration kBound = 5s;
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

/// One incarnation of the engine's agent. An earlier one goes on acting until
/// it learns that it has been replaced.
struct Agent
{
  base::FencingNumber m_number;
  engine::ReplicaManager m_manager;
  base::Instant m_pausedUntil;
  std::map<base::RequestId, ReplicaKey> m_waiting;
  std::set<base::RequestId> m_running;
};

/// An order on its way to the engine or at it.
struct Flight
{
  Agent* m_agent;
  engine::OrderId m_order;
  ReplicaKey m_replica;
  bool m_isLoad;
  base::Instant m_begin;
  base::Instant m_end;
  base::Instant m_bound;
  bool m_isAnswerLost;
  bool m_hasBegun = false;
  bool m_isDenied = false;
  bool m_hasEnded = false;
  OrderOutcome m_answer = OrderOutcome::Done;
};

/// One engine, its successive agents, and seeded faults: lost answers, failed
/// loads, agents replaced in the middle of anything, pauses of any agent.
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
      MoveFlights();
      for (auto const& agent : m_agents) {
        Act(*agent);
      }
    }
  }

  /// No further faults nor requests, until everything under way has ended.
  void Settle()
  {
    m_isCalm = true;
    Last().m_pausedUntil = m_now;
    for (int step = 0; step < kSettlingSteps; ++step) {
      m_now += kStep;
      MoveFlights();
      for (auto const& agent : m_agents) {
        Act(*agent);
      }
    }
  }

  Agent& Last() { return *m_agents.back(); }
  tests::FakeEngine const& Engine() const { return m_engine; }
  int Loads() const { return m_loads; }
  int Started() const { return m_started; }
  int DoubleAnswers() const { return m_doubleAnswers; }
  int StartsWithoutReplica() const { return m_startsWithoutReplica; }

private:
  bool Chance(int aOneIn) { return Below(aOneIn) == 0; }
  int Below(int aLimit) { return std::uniform_int_distribution<int>(0, aLimit - 1)(m_random); }
  base::Duration UpTo(std::chrono::milliseconds aMost)
  {
    return std::chrono::milliseconds(Below(static_cast<int>(aMost.count()) + 1));
  }

  void StartAgent()
  {
    m_number = m_number.Next();
    engine::ReplicaManagerSettings const settings{ kMemory, 20s };
    engine::WriterLease lease(m_support, { kLease, kBound });
    lease.Acquire(m_number, m_now, m_now);
    m_agents.push_back(std::make_unique<Agent>(
      Agent{ m_number, engine::ReplicaManager(settings, lease), {}, {}, {} }));
    engine::ReplicaCatalog catalog;
    engine::Permissions permissions;
    for (int number = 0; number < kModels; ++number) {
      catalog.emplace(Key(number), Memory(Key(number)));
      permissions[Key(number).m_model] = {};
    }
    Carry(Last(), Last().m_manager.SetCatalog(catalog, m_now));
    Carry(Last(), Last().m_manager.SetPermissions(permissions, m_now));
  }

  void Act(Agent& aAgent)
  {
    if (!m_isCalm && Chance(200)) {
      aAgent.m_pausedUntil = m_now + UpTo(20s);
    }
    if (m_now < aAgent.m_pausedUntil) {
      return;
    }
    bool const wokeUp = m_now < aAgent.m_pausedUntil + kStep;
    if (!m_isCalm && Chance(3)) {
      Arrive(aAgent);
    }
    Finish(aAgent);
    Carry(aAgent, aAgent.m_manager.Tick(m_now));
    if (!wokeUp || m_isCalm) {
      aAgent.m_manager.Lease().Renew(m_number, m_now);
    }
  }

  void Arrive(Agent& aAgent)
  {
    auto const request = base::RequestId::FromValidated("r" + std::to_string(++m_requests));
    ReplicaKey const key = Key(Below(kModels));
    aAgent.m_waiting.emplace(request, key);
    auto const requestClass = static_cast<operators::RequestClass>(Below(3));
    engine::Urgency const urgency{ requestClass, m_now + 30s };
    Carry(aAgent, aAgent.m_manager.Request(request, key, urgency, m_now));
  }

  void Finish(Agent& aAgent)
  {
    bool const ends = m_isCalm || Chance(2);
    if (aAgent.m_running.empty() || !ends) {
      return;
    }
    auto const request = aAgent.m_running.extract(aAgent.m_running.begin());
    Carry(aAgent, aAgent.m_manager.End(request.value(), m_now));
  }

  void Carry(Agent& aAgent, engine::ReplicaActions const& aActions)
  {
    for (auto const& action : aActions) {
      std::visit([this, &aAgent](auto const& aOne) { Do(aAgent, aOne); }, action);
    }
  }

  void Do(Agent& aAgent, engine::RequestSlot const& aAsk)
  {
    Carry(aAgent, aAgent.m_manager.OnSlotGranted(aAsk.m_order, m_now + 1s, m_now));
  }
  void Do(Agent& aAgent, engine::OrderLoad const& aOrder)
  {
    ++m_loads;
    Send(aAgent, aOrder.m_order, aOrder.m_replica, true);
  }
  void Do(Agent& aAgent, engine::OrderUnload const& aOrder)
  {
    Send(aAgent, aOrder.m_order, aOrder.m_replica, false);
  }
  void Do(Agent& aAgent, engine::RaiseFence const& aRaise)
  {
    bool const isTaken = m_engine.RaiseFence(aRaise.m_fencing);
    auto const answer = isTaken ? OrderOutcome::Done : OrderOutcome::FencedOff;
    Carry(aAgent, aAgent.m_manager.OnFenceOutcome(answer, m_now));
  }
  void Do(Agent& aAgent, engine::ReadEngineState const&)
  {
    Carry(aAgent, aAgent.m_manager.OnEngineState(m_engine.State(), m_now, m_now));
  }
  void Do(Agent& aAgent, engine::StartRequest const& aStart)
  {
    ++m_started;
    auto const waiting = aAgent.m_waiting.find(aStart.m_request);
    bool const isHeld = waiting != aAgent.m_waiting.end() && m_engine.Holds(waiting->second);
    // A replaced agent learns late of what its successor unloads.
    m_startsWithoutReplica += isHeld || &aAgent != &Last() ? 0 : 1;
    Answer(aAgent, aStart.m_request);
    aAgent.m_running.insert(aStart.m_request);
  }
  void Do(Agent& aAgent, engine::RefuseRequest const& aRefuse)
  {
    Answer(aAgent, aRefuse.m_request);
  }
  void Do(Agent&, engine::ReleaseSlot const&) {}
  void Do(Agent&, engine::ConfirmRevoked const&) {}

  void Answer(Agent& aAgent, base::RequestId const& aRequest)
  {
    m_doubleAnswers += aAgent.m_waiting.erase(aRequest) == 1 ? 0 : 1;
  }

  /// An order may be slow to arrive, and has ended within its bound.
  void Send(Agent& aAgent, engine::OrderId aOrder, ReplicaKey const& aKey, bool aIsLoad)
  {
    base::Instant const begin = m_now + UpTo(1500ms);
    base::Instant const end = begin + UpTo(3s);
    bool const isLost = !m_isCalm && Chance(6);
    m_flights.push_back({ &aAgent, aOrder, aKey, aIsLoad, begin, end, m_now + kBound, isLost });
  }

  void MoveFlights()
  {
    // NOTE: an answer may add flights, so the end is read each time.
    for (std::size_t index = 0; index < m_flights.size(); ++index) {
      Flight flight = m_flights[index];
      Move(flight);
      m_flights[index] = flight;
      if (flight.m_hasEnded && MayAnswer(flight)) {
        m_flights[index].m_agent = nullptr;
        OrderOutcome const answer = flight.m_isAnswerLost ? OrderOutcome::Lost : flight.m_answer;
        Carry(*flight.m_agent,
              flight.m_agent->m_manager.OnOrderOutcome(flight.m_order, answer, m_now));
      }
    }
    std::erase_if(m_flights, [](Flight const& aFlight) { return !aFlight.m_agent; });
  }

  bool MayAnswer(Flight const& aFlight) const
  {
    bool const isAwake = m_now >= aFlight.m_agent->m_pausedUntil;
    return isAwake && (!aFlight.m_isAnswerLost || m_now >= aFlight.m_bound);
  }

  void Move(Flight& aFlight)
  {
    if (!aFlight.m_hasBegun && m_now >= aFlight.m_begin) {
      aFlight.m_hasBegun = true;
      aFlight.m_isDenied = !Begin(aFlight);
    }
    if (aFlight.m_hasBegun && !aFlight.m_hasEnded && m_now >= aFlight.m_end) {
      aFlight.m_hasEnded = true;
      aFlight.m_answer = End(aFlight);
    }
  }

  bool Begin(Flight const& aFlight)
  {
    base::FencingNumber const number = aFlight.m_agent->m_number;
    if (aFlight.m_isLoad) {
      return m_engine.BeginLoad(aFlight.m_replica, Memory(aFlight.m_replica), number);
    }
    return m_engine.Unload(aFlight.m_replica, number);
  }

  OrderOutcome End(Flight const& aFlight)
  {
    if (aFlight.m_isDenied) {
      return OrderOutcome::FencedOff;
    }
    bool const succeeds = m_isCalm || !aFlight.m_isLoad || !Chance(8);
    if (aFlight.m_isLoad) {
      m_engine.EndLoad(aFlight.m_replica, succeeds);
    }
    return succeeds ? OrderOutcome::Done : OrderOutcome::Refused;
  }

  std::mt19937 m_random;
  engine::FencingSupport m_support;
  tests::FakeEngine m_engine;
  base::Instant m_now{ 1h };
  base::FencingNumber m_number;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::vector<Flight> m_flights;
  bool m_isCalm = false;
  int m_requests = 0;
  int m_loads = 0;
  int m_started = 0;
  int m_doubleAnswers = 0;
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
    BOOST_TEST(run.DoubleAnswers() == 0);
    BOOST_TEST(run.StartsWithoutReplica() == 0);
    BOOST_TEST(run.Last().m_waiting.empty());
    BOOST_TEST(run.Loads() > 20);
    BOOST_TEST(run.Started() > 100);
    base::Bytes held;
    for (auto const& replica : run.Engine().State().m_held) {
      held += replica.m_memory.Total();
    }
    BOOST_TEST(run.Last().m_manager.IsReconciled());
    BOOST_TEST(run.Last().m_manager.Ledger().Used() == held);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(MemoryHoldsWhateverFailsOnAnEngineThatChecksFencing)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CheckRun(seed, engine::FencingSupport::Checked);
  }
}

BOOST_AUTO_TEST_CASE(MemoryHoldsWhateverFailsOnAnEngineThatIgnoresFencing)
{
  for (unsigned seed = 1; seed <= 40; ++seed) {
    CheckRun(seed, engine::FencingSupport::Ignored);
  }
}
