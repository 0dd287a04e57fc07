#include "Bench/Workload/Trace.h"

#include <algorithm>
#include <random>

namespace sardinefold::bench {

namespace {

using namespace std::chrono_literals;

/// A burst of requests for one model.
struct Burst
{
  base::Instant m_start;
  engine::ReplicaKey m_replica;
  int m_requests;
  base::Duration m_meanGap;
};

class TraceBuilder
{
public:
  TraceBuilder(std::uint64_t aSeed, DeploymentSize aSize, base::Duration aLength)
    : m_random(aSeed)
  {
    m_workload.m_size = aSize;
    m_workload.m_length = aLength;
    for (int number = 0; number < aSize.m_models; ++number) {
      base::Bytes const weights(RandomInteger(12, 24) * 1'000'000'000);
      m_workload.m_catalog.emplace(Key(number),
                                   engine::ReplicaMemory{ weights, base::Bytes(4'000'000'000) });
    }
  }

  static engine::ReplicaKey Key(int aNumber)
  {
    return { base::ModelId::FromValidated("m" + std::to_string(aNumber)), std::nullopt };
  }

  std::int64_t RandomInteger(std::int64_t aMinimum, std::int64_t aMaximum)
  {
    return std::uniform_int_distribution<std::int64_t>(aMinimum, aMaximum)(m_random);
  }

  base::Duration RandomGap(base::Duration aMean)
  {
    std::exponential_distribution<double> gap(1 / base::ToSeconds(aMean));
    return base::FromSeconds(gap(m_random));
  }

  engine::ReplicaKey RandomModel()
  {
    return Key(static_cast<int>(RandomInteger(0, m_workload.m_size.m_models - 1)));
  }

  void Add(Burst const& aBurst)
  {
    base::Instant time = aBurst.m_start;
    for (int number = 0; number < aBurst.m_requests; ++number) {
      Add(time, aBurst.m_replica, operators::RequestClass::Interactive);
      time += RandomGap(aBurst.m_meanGap);
    }
  }

  void Add(base::Instant aTime, engine::ReplicaKey const& aReplica, operators::RequestClass aClass)
  {
    if (aTime >= kStart + m_workload.m_length) {
      return;
    }
    bool const isBatch = aClass == operators::RequestClass::Batch;
    base::Duration const prefill = isBatch ? 400ms : RandomInteger(40, 120) * 1ms;
    base::Duration const generation = isBatch ? 4s : RandomInteger(800, 2000) * 1ms;
    auto const entry = static_cast<std::size_t>(RandomInteger(0, m_workload.m_size.m_entries - 1));
    m_workload.m_requests.push_back({ aTime, aReplica, aClass, prefill, generation, entry });
  }

  /// Adds bursts of requests for every model, with long pauses between them. The
  /// times of different models are independent.
  void AddBursts(base::Duration aMeanPause, int aRequests, base::Duration aMeanGap)
  {
    for (int model = 0; model < m_workload.m_size.m_models; ++model) {
      base::Instant time = kStart + RandomGap(aMeanPause);
      while (time < kStart + m_workload.m_length) {
        int const requests = static_cast<int>(RandomInteger(aRequests / 2, aRequests * 3 / 2));
        Add({ time, Key(model), requests, aMeanGap });
        time += aMeanGap * requests + RandomGap(aMeanPause);
      }
    }
  }

  void AddBatch(base::Duration aMeanGap)
  {
    base::Instant time = kStart + RandomGap(aMeanGap);
    while (time < kStart + m_workload.m_length) {
      Add(time, RandomModel(), operators::RequestClass::Batch);
      time += RandomGap(aMeanGap);
    }
  }

  Workload Build()
  {
    std::ranges::stable_sort(m_workload.m_requests, {}, &TraceRequest::m_arrival);
    return std::move(m_workload);
  }

  static constexpr base::Instant kStart{ 1h };

private:
  std::mt19937_64 m_random;
  Workload m_workload;
};

} // namespace

Workload Workload::WithoutBatch() const
{
  Workload without = *this;
  std::erase_if(without.m_requests, [](TraceRequest const& aRequest) {
    return aRequest.m_class == operators::RequestClass::Batch;
  });
  return without;
}

Workload NightBusBreakdown(std::uint64_t aSeed)
{
  TraceBuilder builder(aSeed, { 10, 4, 50, 3, 500us }, 3h);
  builder.AddBursts(2h, 16, 5s);
  for (int number = 0; number < 6; ++number) {
    base::Instant const breakdown = TraceBuilder::kStart + builder.RandomInteger(5, 170) * 1min;
    for (int model = 0; model < 10; ++model) {
      base::Instant const start = breakdown + builder.RandomInteger(0, 1000) * 1ms;
      builder.Add({ start, builder.RandomModel(), 30, 400ms });
    }
  }
  builder.AddBatch(10s);
  return builder.Build();
}

Workload EveningBeforePremiere(std::uint64_t aSeed)
{
  TraceBuilder builder(aSeed, { 20, 3, 100, 3, 1500us }, 2h);
  builder.AddBursts(1h, 24, 3s);
  for (int number = 0; number < 6; ++number) {
    base::Instant const rush = TraceBuilder::kStart + builder.RandomInteger(5, 110) * 1min;
    for (int model = 0; model < 15; ++model) {
      base::Instant const start = rush + builder.RandomInteger(0, 3000) * 1ms;
      builder.Add({ start, builder.RandomModel(), 20, 1s });
    }
  }
  builder.AddBatch(10s);
  return builder.Build();
}

} // namespace sardinefold::bench
