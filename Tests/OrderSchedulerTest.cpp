#define BOOST_TEST_MODULE OrderScheduler
#include "Engine/OrderScheduler.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace sardinefold;
using namespace sardinefold::engine;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Operation = EngineOrderRequest::Operation;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
constexpr double kModelMegabytes = 70'000;
constexpr double kEngineMegabytes = 220'000;
constexpr unsigned kAdapterSlots = 3;

base::ModelId Model(int aNumber)
{
  return base::ModelId::FromValidated("m" + std::to_string(aNumber));
}

base::AdapterId Adapter(int aNumber)
{
  return base::AdapterId::FromValidated("a" + std::to_string(aNumber));
}

operators::EngineSpec Spec()
{
  operators::EngineSpec spec;
  spec.m_weights = base::Megabytes(kEngineMegabytes);
  spec.m_adapterSlots = kAdapterSlots;
  for (int number = 0; number < 8; ++number) {
    operators::ModelSpec model;
    model.m_id = Model(number);
    model.m_weights = base::Megabytes(kModelMegabytes);
    model.m_adapterWeights = base::Megabytes(66);
    model.m_loadFromStore = seconds(6);
    spec.m_models.emplace(model.m_id, model);
  }
  return spec;
}

/// Simulates the engine's protocol: an order is accepted if its expected order
/// count matches, and the engine crashes when its capacity is exceeded.
class SimulatedEngine
{
public:
  OrderResponse Execute(EngineOrderRequest const& aOrder, base::Instant aNow)
  {
    Advance(aNow);
    if (aOrder.m_expected != m_orders || (m_busyUntil && !aOrder.m_adapter)) {
      return OrderResponse::Conflict;
    }
    if (aOrder.m_adapter) {
      ExecuteAdapterOrder(aOrder);
    } else if (aOrder.m_operation == Operation::Load) {
      if (m_models.contains(aOrder.m_model)) {
        return OrderResponse::AlreadyHolds;
      }
      m_pendingLoad = aOrder.m_model;
      m_busyUntil = aNow + seconds(1);
    } else {
      m_models.erase(aOrder.m_model);
      m_busyUntil = aNow + milliseconds(300);
    }
    m_orders = m_orders.Next();
    m_hasCrashed = m_hasCrashed || Weights() > kEngineMegabytes || Adapters() > kAdapterSlots;
    return OrderResponse::Accepted;
  }

  EngineReport Report(base::Instant aNow)
  {
    Advance(aNow);
    EngineReport report;
    for (auto const& [model, adapters] : m_models) {
      report.m_models.push_back({ model, adapters });
    }
    report.m_isBusy = m_busyUntil.has_value();
    report.m_orders = m_orders;
    report.m_startedAt = m_startedAt;
    return report;
  }

  void Restart()
  {
    m_models.clear();
    m_pendingLoad.reset();
    m_busyUntil.reset();
    m_orders = base::OrderCount();
    ++m_startedAt;
  }

  bool HasCrashed() const { return m_hasCrashed; }
  bool Holds(base::ModelId const& aModel) const { return m_models.contains(aModel); }

private:
  void Advance(base::Instant aNow)
  {
    if (!m_busyUntil || aNow < *m_busyUntil) {
      return;
    }
    m_busyUntil.reset();
    if (m_pendingLoad) {
      m_models[*m_pendingLoad];
      m_pendingLoad.reset();
    }
  }

  void ExecuteAdapterOrder(EngineOrderRequest const& aOrder)
  {
    auto const model = m_models.find(aOrder.m_model);
    if (model == m_models.end()) {
      return;
    }
    if (aOrder.m_operation == Operation::Load) {
      model->second.insert(*aOrder.m_adapter);
    } else {
      model->second.erase(*aOrder.m_adapter);
    }
  }

  double Weights() const
  {
    double const models = static_cast<double>(m_models.size() + (m_pendingLoad ? 1 : 0));
    return models * kModelMegabytes + Adapters() * 66;
  }

  unsigned Adapters() const
  {
    std::size_t adapters = 0;
    for (auto const& [model, held] : m_models) {
      adapters += held.size();
    }
    return static_cast<unsigned>(adapters);
  }

  std::map<base::ModelId, std::set<base::AdapterId>> m_models;
  std::optional<base::ModelId> m_pendingLoad;
  std::optional<base::Instant> m_busyUntil;
  base::OrderCount m_orders;
  std::int64_t m_startedAt = 1;
  bool m_hasCrashed = false;
};

/// Requests random swaps and adapters while orders are lost, lose their response
/// or are executed late and the engine restarts. Returns whether the engine never
/// exceeded its capacity.
bool RunWithFaults(std::uint64_t aSeed, unsigned aStepsPerRestart)
{
  std::mt19937_64 random(aSeed);
  SimulatedEngine engine;
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  std::vector<std::pair<base::Instant, EngineOrderRequest>> delayedOrders;
  for (int step = 0; step < 4'000; ++step) {
    auto const now = kStart + step * milliseconds(25);
    std::erase_if(delayedOrders, [&](auto const& aOrder) {
      bool const isDue = aOrder.first <= now;
      if (isDue) {
        engine.Execute(aOrder.second, now);
      }
      return isDue;
    });
    if (random() % aStepsPerRestart == 0) {
      engine.Restart();
    }
    scheduler.OnReport(engine.Report(now), now);
    if (random() % 30 == 0) {
      scheduler.RequestSwap(Model(static_cast<int>(random() % 8)),
                            { Model(static_cast<int>(random() % 8)) }, now);
    }
    if (random() % 10 == 0) {
      scheduler.RequestAdapter(Model(static_cast<int>(random() % 8)),
                               Adapter(static_cast<int>(random() % 6)), now);
    }
    auto const order = scheduler.Next(now);
    if (!order) {
      continue;
    }
    switch (random() % 6) {
      case 0:
        scheduler.OnResponse(*order, OrderResponse::Unknown, now);
        break;
      case 1:
        delayedOrders.emplace_back(now + milliseconds(random() % 12'000), *order);
        scheduler.OnResponse(*order, OrderResponse::Unknown, now);
        break;
      case 2:
        engine.Execute(*order, now);
        scheduler.OnResponse(*order, OrderResponse::Unknown, now);
        break;
      default:
        scheduler.OnResponse(*order, engine.Execute(*order, now), now);
    }
  }
  return !engine.HasCrashed();
}

} // namespace

BOOST_AUTO_TEST_CASE(OrdersNeverExceedEngineCapacity)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST(RunWithFaults(seed, 1'000), "seed " << seed);
  }
}

// An engine that starts again under its id counts orders anew, so that an order of its
// earlier start may meet its count when the engine is full.
BOOST_AUTO_TEST_CASE(OrdersOfEarlierStartsNeverExceedEngineCapacity)
{
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    BOOST_TEST(RunWithFaults(seed, 400), "seed " << seed);
  }
}

// As before, order by order: the engine is full at the count that the late order expects.
BOOST_AUTO_TEST_CASE(ALateOrderOfAnEarlierStartDoesNotOverfillTheEngine)
{
  SimulatedEngine engine;
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  auto now = kStart;
  auto const next = [&](int aModel, std::vector<base::ModelId> aUnload) {
    now += seconds(2);
    scheduler.OnReport(engine.Report(now), now);
    scheduler.RequestSwap(Model(aModel), std::move(aUnload), now);
    return scheduler.Next(now);
  };
  auto const order = [&](int aModel, std::vector<base::ModelId> aUnload = {}) {
    auto const request = next(aModel, std::move(aUnload));
    if (request) {
      scheduler.OnResponse(*request, engine.Execute(*request, now), now);
    }
    return request.has_value();
  };
  BOOST_TEST(order(0));
  BOOST_TEST(order(1));
  BOOST_TEST(order(2, { Model(0) }));
  BOOST_TEST(order(3, { Model(0) }));
  auto const late = next(3, {});
  BOOST_REQUIRE(late.has_value());
  scheduler.OnResponse(*late, OrderResponse::Unknown, now);
  engine.Restart();
  BOOST_TEST(order(4));
  BOOST_TEST(order(5));
  BOOST_TEST(!order(6));
  engine.Restart();
  now += seconds(15);
  BOOST_TEST(order(4));
  BOOST_TEST(order(5));
  BOOST_TEST(order(6));
}

BOOST_AUTO_TEST_CASE(SwapsOneModelForAnother)
{
  SimulatedEngine engine;
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  auto const swapTo = [&](int aModel, std::vector<base::ModelId> aUnload, base::Instant aFrom) {
    scheduler.OnReport(engine.Report(aFrom), aFrom);
    scheduler.RequestSwap(Model(aModel), std::move(aUnload), aFrom);
    for (int step = 0; step < 200; ++step) {
      auto const now = aFrom + step * milliseconds(25);
      scheduler.OnReport(engine.Report(now), now);
      if (auto const order = scheduler.Next(now)) {
        scheduler.OnResponse(*order, engine.Execute(*order, now), now);
      }
    }
  };
  swapTo(0, {}, kStart);
  swapTo(1, {}, kStart + seconds(10));
  swapTo(2, {}, kStart + seconds(20));
  swapTo(3, { Model(1) }, kStart + seconds(30));
  BOOST_TEST(engine.Holds(Model(0)));
  BOOST_TEST(!engine.Holds(Model(1)));
  BOOST_TEST(engine.Holds(Model(2)));
  BOOST_TEST(engine.Holds(Model(3)));
  BOOST_TEST(!engine.HasCrashed());
}

BOOST_AUTO_TEST_CASE(OrderWithLostResponseIsSentAgain)
{
  SimulatedEngine engine;
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  scheduler.OnReport(engine.Report(kStart), kStart);
  scheduler.RequestSwap(Model(0), {}, kStart);
  auto const first = scheduler.Next(kStart);
  BOOST_REQUIRE(first.has_value());
  scheduler.OnResponse(*first, OrderResponse::Unknown, kStart);
  BOOST_TEST(!scheduler.Next(kStart + milliseconds(100)).has_value());
  auto const later = kStart + seconds(1);
  scheduler.OnReport(engine.Report(later), later);
  auto const second = scheduler.Next(later);
  BOOST_REQUIRE(second.has_value());
  // Both orders expect the same order count, so the engine accepts at most one.
  BOOST_TEST(second->m_expected == first->m_expected);
}

BOOST_AUTO_TEST_CASE(NoOrderIsSentWithoutAReportAndASpec)
{
  OrderScheduler scheduler({});
  scheduler.RequestSwap(Model(0), {}, kStart);
  BOOST_TEST(!scheduler.Next(kStart).has_value());
  scheduler.OnReport({}, kStart);
  BOOST_TEST(!scheduler.Next(kStart).has_value());
}

BOOST_AUTO_TEST_CASE(LeastRecentlyRequestedAdapterIsUnloaded)
{
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  EngineReport report;
  report.m_models = { { Model(0), { Adapter(0), Adapter(1), Adapter(2) } } };
  for (int number = 2; number >= 0; --number) {
    scheduler.RequestAdapter(Model(0), Adapter(number), kStart - seconds(60) + seconds(2 - number));
  }
  scheduler.OnReport(report, kStart);
  scheduler.RequestAdapter(Model(0), Adapter(5), kStart);
  auto const order = scheduler.Next(kStart);
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->m_operation == Operation::Unload));
  BOOST_TEST((order->m_adapter == Adapter(2)));
}

// Gateways pass on any name that a caller sends.
BOOST_AUTO_TEST_CASE(NamesOfAdaptersThatDoNotExistTakeLimitedMemory)
{
  OrderScheduler scheduler({});
  scheduler.SetSpec(Spec());
  auto now = kStart;
  for (int number = 0; number < 20'000; ++number) {
    scheduler.RequestAdapter(Model(0), Adapter(number), now);
  }
  BOOST_TEST(scheduler.CountKnownAdapters() <= 2'000U);
  EngineReport report;
  report.m_models = { { Model(0), { Adapter(0), Adapter(1) } } };
  for (int step = 0; step < 50; ++step) {
    now += milliseconds(100);
    scheduler.OnReport(report, now);
    scheduler.RequestAdapter(Model(0), Adapter(100'000 + step), now);
    scheduler.RequestAdapter(Model(0), Adapter(1), now);
    scheduler.Next(now);
  }
  scheduler.OnReport(report, now + seconds(5));
  scheduler.Next(now + seconds(5));
  BOOST_TEST(scheduler.CountKnownAdapters() == 2U);
  // What is used is known as before.
  report.m_models[0].m_adapters.insert(Adapter(2));
  scheduler.OnReport(report, now + seconds(6));
  scheduler.RequestAdapter(Model(0), Adapter(5), now + seconds(6));
  auto const order = scheduler.Next(now + seconds(6));
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->m_adapter == Adapter(0)));
}
