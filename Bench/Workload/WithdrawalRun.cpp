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
/// Relays read the platform, and others ask a relay, this often.
constexpr base::Duration kAskInterval = 400ms;
constexpr base::Duration kWarmUp = 5s;
constexpr base::Duration kLength = 20s;
constexpr std::size_t kRelays = 8;
constexpr double kLost = 0.02;
constexpr base::Duration kLongestAnswer = 60ms;
constexpr char kSecret[] = "secret";

entry::IssuedKey WithdrawnKey()
{
  return { base::KeyId::FromValidated("key"), base::WorkspaceId::FromValidated("depot"),
           base::Sha256(kSecret) };
}

struct EntryState
{
  explicit EntryState(std::string const& aName)
    : m_trust(base::HostId::FromValidated(aName), {})
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
    m_trust.SetInForce(aVersion);
  }

  bool Honours(base::Instant aNow) const
  {
    return IsTrusted(m_trust.Verdict(aNow)) && m_keys.Check(kSecret).has_value();
  }

  entry::FreshnessTracker m_trust;
  entry::KeyRing m_keys;
  base::Duration m_nextAsk{};
  /// An answer on its way, with the time of its question.
  bool m_hasAnswer = false;
  base::Duration m_answerAt{};
  base::Duration m_askedAt{};
  base::DocumentVersion m_answer;
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
      m_entries.back().m_nextAsk = base::FromSeconds(Random() * base::ToSeconds(kAskInterval));
    }
    for (EntryState& state : m_entries) {
      state.m_trust.SetListed(hosts);
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
  bool IsAccepted() const { return m_now >= kWarmUp; }
  bool IsRelay(std::size_t aIndex) const { return aIndex < kRelays; }
  bool IsCutOff(std::size_t aIndex) const { return aIndex + 1 == m_entries.size() && IsAccepted(); }

  void Advance(std::size_t aIndex)
  {
    EntryState& state = m_entries[aIndex];
    if (state.m_hasAnswer && state.m_answerAt <= m_now) {
      state.m_hasAnswer = false;
      TakeAnswer(aIndex);
    }
    if (m_now < state.m_nextAsk) {
      return;
    }
    state.m_nextAsk = m_now + kAskInterval;
    if (IsCutOff(aIndex) || Random() < kLost) {
      return;
    }
    state.m_hasAnswer = true;
    state.m_askedAt = m_now;
    state.m_answerAt = m_now + base::FromSeconds(Random() * base::ToSeconds(kLongestAnswer));
    if (IsRelay(aIndex)) {
      state.m_answer = base::DocumentVersion(IsAccepted() ? 2 : 1);
      return;
    }
    EntryState const& relay =
      m_entries[static_cast<std::size_t>(Random() * static_cast<double>(kRelays))];
    state.m_answer = relay.m_keys.Version();
    state.m_statements = relay.m_trust.Statements(base::Instant(m_now));
    state.m_statements.resize(1);
  }

  void TakeAnswer(std::size_t aIndex)
  {
    EntryState& state = m_entries[aIndex];
    base::Instant const asked(state.m_askedAt);
    state.Adopt(state.m_answer);
    if (IsRelay(aIndex)) {
      state.m_trust.OnPlatformRead(state.m_answer, asked);
      return;
    }
    for (entry::FreshnessStatement const& statement : state.m_statements) {
      state.m_trust.OnStatement(statement, asked);
    }
  }

  void Measure()
  {
    if (!IsAccepted()) {
      return;
    }
    double const since = base::ToSeconds(m_now - kWarmUp);
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
      if (m_entries[index].Honours(base::Instant(m_now))) {
        double& worst = IsCutOff(index) ? m_result.m_cutOff : m_result.m_connected;
        worst = std::max(worst, since);
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
