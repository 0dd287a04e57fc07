#include "Bench/Workload/Trace.h"

#include <algorithm>
#include <random>

namespace sardinefold::bench {

namespace {

using namespace std::chrono_literals;

/// One burst of requests for one model.
struct Burst
{
  base::Instant m_start;
  engine::ReplicaKey m_replica;
  int m_requests;
  base::Duration m_meanGap;
};

class Writer
{
public:
  Writer(std::uint64_t aSeed, DeploymentSize aSize, base::Duration aLength)
    : m_random(aSeed)
  {
    m_workload.m_size = aSize;
    m_workload.m_length = aLength;
    for (int number = 0; number < aSize.m_models; ++number) {
      base::Bytes const weights(Between(12, 24) * 1'000'000'000);
      m_workload.m_catalog.emplace(Key(number),
                                   engine::ReplicaMemory{ weights, base::Bytes(4'000'000'000) });
    }
  }

  static engine::ReplicaKey Key(int aNumber)
  {
    return { base::ModelId::FromValidated("m" + std::to_string(aNumber)), std::nullopt };
  }

  std::int64_t Between(std::int64_t aLeast, std::int64_t aMost)
  {
    return std::uniform_int_distribution<std::int64_t>(aLeast, aMost)(m_random);
  }

  base::Duration Gap(base::Duration aMean)
  {
    std::exponential_distribution<double> gap(1 / base::ToSeconds(aMean));
    return base::FromSeconds(gap(m_random));
  }

  engine::ReplicaKey AnyModel()
  {
    return Key(static_cast<int>(Between(0, m_workload.m_size.m_models - 1)));
  }

  void Add(Burst const& aBurst)
  {
    base::Instant time = aBurst.m_start;
    for (int number = 0; number < aBurst.m_requests; ++number) {
      Add(time, aBurst.m_replica, operators::RequestClass::Interactive);
      time += Gap(aBurst.m_meanGap);
    }
  }

  void Add(base::Instant aTime, engine::ReplicaKey const& aReplica, operators::RequestClass aClass)
  {
    if (aTime >= kStart + m_workload.m_length) {
      return;
    }
    bool const isBatch = aClass == operators::RequestClass::Batch;
    base::Duration const prefill = isBatch ? 400ms : Between(40, 120) * 1ms;
    base::Duration const generation = isBatch ? 4s : Between(800, 2000) * 1ms;
    auto const entry = static_cast<std::size_t>(Between(0, m_workload.m_size.m_entries - 1));
    m_workload.m_requests.push_back({ aTime, aReplica, aClass, prefill, generation, entry });
  }

  /// Every model is called in bursts, far apart; the times of different models
  /// are independent.
  void AddBursts(base::Duration aMeanPause, int aRequests, base::Duration aMeanGap)
  {
    for (int model = 0; model < m_workload.m_size.m_models; ++model) {
      base::Instant time = kStart + Gap(aMeanPause);
      while (time < kStart + m_workload.m_length) {
        int const requests = static_cast<int>(Between(aRequests / 2, aRequests * 3 / 2));
        Add({ time, Key(model), requests, aMeanGap });
        time += aMeanGap * requests + Gap(aMeanPause);
      }
    }
  }

  void AddBatch(base::Duration aMeanGap)
  {
    base::Instant time = kStart + Gap(aMeanGap);
    while (time < kStart + m_workload.m_length) {
      Add(time, AnyModel(), operators::RequestClass::Batch);
      time += Gap(aMeanGap);
    }
  }

  Workload Finish()
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
  Writer writer(aSeed, { 10, 4, 50, 3, 500us }, 3h);
  writer.AddBursts(2h, 16, 5s);
  for (int number = 0; number < 6; ++number) {
    base::Instant const breakdown = Writer::kStart + writer.Between(5, 170) * 1min;
    for (int model = 0; model < 10; ++model) {
      base::Instant const start = breakdown + writer.Between(0, 1000) * 1ms;
      writer.Add({ start, writer.AnyModel(), 30, 400ms });
    }
  }
  writer.AddBatch(10s);
  return writer.Finish();
}

Workload EveningBeforePremiere(std::uint64_t aSeed)
{
  Writer writer(aSeed, { 20, 3, 100, 3, 1500us }, 2h);
  writer.AddBursts(1h, 24, 3s);
  for (int number = 0; number < 6; ++number) {
    base::Instant const rush = Writer::kStart + writer.Between(5, 110) * 1min;
    for (int model = 0; model < 15; ++model) {
      base::Instant const start = rush + writer.Between(0, 3000) * 1ms;
      writer.Add({ start, writer.AnyModel(), 20, 1s });
    }
  }
  writer.AddBatch(10s);
  return writer.Finish();
}

} // namespace sardinefold::bench
