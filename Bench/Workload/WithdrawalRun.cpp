#include "Bench/Workload/WithdrawalRun.h"

#include "Entry/Keys/FreshnessTracker.h"
#include "Entry/Keys/KeyRing.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::bench {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kStep = 10ms;
/// Interval at which relays poll the platform and other entries poll a relay.
constexpr base::Duration kPollInterval = 400ms;
constexpr base::Duration kWarmUp = 5s;
constexpr base::Duration kLength = 20s;
constexpr std::size_t kRelays = 8;
constexpr double kLossProbability = 0.02;
constexpr base::Duration kMaximumResponseTime = 60ms;
constexpr char kSecret[] = "secret";

entry::IssuedKey WithdrawnKey()
{
  return { base::KeyId::FromValidated("key"), base::WorkspaceId::FromValidated("depot"),
           base::Sha256(kSecret) };
}

struct EntryState
{
  explicit EntryState(std::string const& aName)
    : m_freshness(base::HostId::FromValidated(aName), {})
    , m_keys("index")
  {
  }

  void Adopt(base::DocumentVersion aVersion)
  {
    if (aVersion <= m_keys.Version()) {
      return;
    }
    std::vector<entry::IssuedKey> keys;
    if (aVersion == base::DocumentVersion(1)) {
      keys.push_back(WithdrawnKey());
    }
    static_cast<void>(m_keys.Replace(std::move(keys), aVersion));
    m_freshness.SetInForce(aVersion);
  }

  bool AcceptsKey(base::Instant aNow) const
  {
    return IsTrusted(m_freshness.Verdict(aNow)) && m_keys.Check(kSecret).has_value();
  }

  entry::FreshnessTracker m_freshness;
  entry::KeyRing m_keys;
  base::Duration m_nextPoll{};
  /// Response in transit, with the times of the request and of its arrival.
  bool m_hasResponse = false;
  base::Duration m_responseAt{};
  base::Duration m_requestedAt{};
  base::DocumentVersion m_response;
  std::vector<entry::FreshnessStatement> m_statements;
};

class Run
{
public:
  Run(std::size_t aEntries, std::uint64_t aSeed)
    : m_random(aSeed)
  {
    std::set<base::HostId> hosts;
    for (std::size_t index = 0; index < aEntries; ++index) {
      std::string const name = "entry-" + std::to_string(index);
      hosts.insert(base::HostId::FromValidated(name));
      m_entries.emplace_back(name);
      m_entries.back().m_nextPoll = base::FromSeconds(Random() * base::ToSeconds(kPollInterval));
    }
    for (EntryState& state : m_entries) {
      state.m_freshness.SetListed(hosts);
    }
  }

  WithdrawalResult Execute()
  {
    for (m_now = {}; m_now < kLength; m_now += kStep) {
      for (std::size_t index = 0; index < m_entries.size(); ++index) {
        Advance(index);
      }
      Measure();
    }
    return m_result;
  }

private:
  double Random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  bool IsWithdrawalAccepted() const { return m_now >= kWarmUp; }
  bool IsRelay(std::size_t aIndex) const { return aIndex < kRelays; }
  bool IsIsolated(std::size_t aIndex) const
  {
    return aIndex + 1 == m_entries.size() && IsWithdrawalAccepted();
  }

  void Advance(std::size_t aIndex)
  {
    EntryState& state = m_entries[aIndex];
    if (state.m_hasResponse && state.m_responseAt <= m_now) {
      state.m_hasResponse = false;
      ApplyResponse(aIndex);
    }
    if (m_now < state.m_nextPoll) {
      return;
    }
    state.m_nextPoll = m_now + kPollInterval;
    if (IsIsolated(aIndex) || Random() < kLossProbability) {
      return;
    }
    state.m_hasResponse = true;
    state.m_requestedAt = m_now;
    state.m_responseAt =
      m_now + base::FromSeconds(Random() * base::ToSeconds(kMaximumResponseTime));
    if (IsRelay(aIndex)) {
      state.m_response = base::DocumentVersion(IsWithdrawalAccepted() ? 2 : 1);
      return;
    }
    EntryState const& relay =
      m_entries[static_cast<std::size_t>(Random() * static_cast<double>(kRelays))];
    state.m_response = relay.m_keys.Version();
    state.m_statements = relay.m_freshness.Statements(base::Instant(m_now));
    state.m_statements.resize(1);
  }

  void ApplyResponse(std::size_t aIndex)
  {
    EntryState& state = m_entries[aIndex];
    base::Instant const requestedAt(state.m_requestedAt);
    state.Adopt(state.m_response);
    if (IsRelay(aIndex)) {
      state.m_freshness.OnPlatformRead(state.m_response, requestedAt);
      return;
    }
    for (entry::FreshnessStatement const& statement : state.m_statements) {
      state.m_freshness.OnStatement(statement, requestedAt);
    }
  }

  void Measure()
  {
    if (!IsWithdrawalAccepted()) {
      return;
    }
    double const elapsed = base::ToSeconds(m_now - kWarmUp);
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
      if (m_entries[index].AcceptsKey(base::Instant(m_now))) {
        double& worst = IsIsolated(index) ? m_result.m_isolated : m_result.m_connected;
        worst = std::max(worst, elapsed);
      }
    }
  }

  std::mt19937_64 m_random;
  std::vector<EntryState> m_entries;
  base::Duration m_now{};
  WithdrawalResult m_result;
};

} // namespace

WithdrawalResult RunWithdrawal(std::size_t aEntries, std::uint64_t aSeed)
{
  return Run(aEntries, aSeed).Execute();
}

} // namespace sardinefold::bench
