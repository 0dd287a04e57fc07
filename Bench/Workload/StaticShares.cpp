#include "Bench/Workload/StaticShares.h"

#include "Bench/Workload/AllowanceChecker.h"
#include "Bench/Workload/OracleBucket.h"

#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace sardinefold::bench {

namespace {

/// A refund that becomes due at m_at.
struct DueRefund
{
  base::Duration m_at{};
  std::size_t m_entry = 0;
  base::Tokens m_tokens;

  friend bool operator>(DueRefund const& aLeft, DueRefund const& aRight)
  {
    return aLeft.m_at > aRight.m_at;
  }
};

using RefundQueue = std::priority_queue<DueRefund, std::vector<DueRefund>, std::greater<>>;

/// Simulation of one workspace. Workspaces do not affect each other here.
class StaticRun
{
public:
  StaticRun(AllowanceScenario const& aScenario, WorkspaceLoad const& aLoad, std::uint64_t aSeed)
    : m_scenario(aScenario)
    , m_load(aLoad)
    , m_random(aSeed)
    , m_oracle(aLoad.m_allowance)
  {
    m_buckets.assign(aScenario.m_entries,
                     OracleBucket(aLoad.m_allowance.Part(aScenario.m_entries)));
  }

  void Run(AllowanceResult& aResult)
  {
    base::Duration nextCrash = m_scenario.m_crashInterval.value_or(m_scenario.m_length);
    while (m_now < m_scenario.m_length) {
      m_now += base::FromSeconds(-std::log(1 - Random()) / Rate());
      if (m_now >= nextCrash) {
        KillRandomEntry();
        nextCrash += *m_scenario.m_crashInterval;
      }
      OnArrival();
    }
    double const part = static_cast<double>(m_served) / static_cast<double>(m_oracleTokens);
    aResult.m_worstWorkspace = std::min(aResult.m_worstWorkspace, part);
    if (!m_load.m_isOverRate) {
      aResult.m_oracleAdmitted += m_oracleAdmitted;
      aResult.m_wrongRefusals += m_wronglyRefused;
    }
  }

private:
  double Random() { return std::uniform_real_distribution<>(0, 1)(m_random); }

  double Rate() const
  {
    bool const isWave = (m_now / kWaveLength) % 4 == 0;
    double const factor = isWave ? kWaveFactor : kLullFactor;
    return m_load.m_requestsPerSecond * (m_load.m_isBursty ? factor : 1);
  }

  void KillRandomEntry()
  {
    auto const victim =
      static_cast<std::size_t>(Random() * static_cast<double>(m_scenario.m_entries));
    m_buckets[victim] = OracleBucket(m_load.m_allowance.Part(m_scenario.m_entries));
    m_buckets[victim].Clear(base::Instant(m_now));
  }

  void ApplyRefunds(RefundQueue& aRefunds, std::function<OracleBucket&(std::size_t)> const& aBucket)
  {
    while (!aRefunds.empty() && aRefunds.top().m_at <= m_now) {
      DueRefund const refund = aRefunds.top();
      aRefunds.pop();
      aBucket(refund.m_entry).Refund(refund.m_tokens, base::Instant(refund.m_at));
    }
  }

  void OnArrival()
  {
    ApplyRefunds(m_oracleRefunds, [this](std::size_t) -> OracleBucket& { return m_oracle; });
    ApplyRefunds(m_refunds,
                 [this](std::size_t aEntry) -> OracleBucket& { return m_buckets[aEntry]; });
    double const draw = m_scenario.m_isSkewed ? std::pow(Random(), 4) : Random();
    auto const entry = static_cast<std::size_t>(draw * static_cast<double>(m_scenario.m_entries));
    double const span = static_cast<double>(m_load.m_maximumTokens - m_load.m_minimumTokens);
    double const size = static_cast<double>(m_load.m_minimumTokens) + Random() * span;
    base::Tokens const reserved(static_cast<std::int64_t>(size));
    base::Tokens const used(static_cast<std::int64_t>(size * (0.3 + 0.7 * Random())));
    base::Duration const runTime = base::FromSeconds(0.2 + Random() * (Random() < 0.2 ? 20 : 4));
    base::Duration const maximumWait = Random() < 0.3 ? 10s : 3s;
    ++m_requests;
    bool const isAdmittedByOracle = m_oracle.Reserve(reserved, base::Instant(m_now));
    if (isAdmittedByOracle) {
      ++m_oracleAdmitted;
      m_oracleTokens += used.Value();
      m_oracleRefunds.push({ m_now + runTime, 0, reserved - used });
    }
    OracleBucket& bucket = m_buckets[entry];
    std::optional<base::Duration> const wait = bucket.WaitFor(reserved, base::Instant(m_now));
    if (!wait || *wait > maximumWait) {
      m_wronglyRefused += isAdmittedByOracle ? 1 : 0;
      return;
    }
    bucket.TakeInAdvance(reserved, base::Instant(m_now));
    m_served += used.Value();
    m_refunds.push({ m_now + *wait + runTime, entry, reserved - used });
  }

  static constexpr base::Duration kWaveLength = 8s;
  static constexpr double kWaveFactor = 2.5;
  static constexpr double kLullFactor = 0.5;

  AllowanceScenario const& m_scenario;
  WorkspaceLoad const& m_load;
  std::mt19937_64 m_random;
  OracleBucket m_oracle;
  std::vector<OracleBucket> m_buckets;
  RefundQueue m_oracleRefunds;
  RefundQueue m_refunds;
  base::Duration m_now{};
  std::int64_t m_requests = 0;
  std::int64_t m_oracleAdmitted = 0;
  std::int64_t m_oracleTokens = 0;
  std::int64_t m_wronglyRefused = 0;
  std::int64_t m_served = 0;
};

} // namespace

AllowanceResult RunStaticShares(AllowanceScenario const& aScenario)
{
  AllowanceResult result;
  std::uint64_t seed = aScenario.m_seed;
  for (WorkspaceLoad const& load : aScenario.m_workspaces) {
    StaticRun(aScenario, load, ++seed).Run(result);
  }
  return result;
}

} // namespace sardinefold::bench
