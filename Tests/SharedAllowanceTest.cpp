#define BOOST_TEST_MODULE SharedAllowance
#include "Entry/Allowance/SharedAllowance.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <vector>

using namespace sardinefold;
using namespace sardinefold::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
auto const kWorkspace = base::WorkspaceId::FromValidated("marshals");
constexpr AllowanceLimit kLimit{ base::TokensPerSecond(10'000), base::Tokens(10'000) };

/// Gateways that tell one another of their grants through a planner that sums
/// them up, with a delay, as FleetPlanning does.
class Fleet
{
public:
  explicit Fleet(std::size_t aGateways)
    : m_gateways(aGateways, SharedAllowance({}))
    , m_isCut(aGateways, false)
  {
  }

  void Cut(std::size_t aGateway, bool aIsCut) { m_isCut[aGateway] = aIsCut; }

  void Exchange(base::Instant aNow)
  {
    base::Tokens total;
    for (auto const& gateway : m_gateways) {
      total += GrantedBy(gateway);
    }
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
      if (!m_isCut[index]) {
        auto const others = total - GrantedBy(m_gateways[index]);
        m_gateways[index].OnOthers("epoch", static_cast<unsigned>(m_gateways.size()),
                                   { { kWorkspace, others } }, aNow);
      }
    }
  }

  bool Ask(std::size_t aGateway, base::Tokens aTokens, base::Instant aNow)
  {
    bool const isGranted = !m_gateways[aGateway].Take(kWorkspace, kLimit, aTokens, aNow);
    if (isGranted) {
      m_grants.emplace_back(aNow, aTokens.Value());
    }
    return isGranted;
  }

  /// The most tokens granted within any span of the given length.
  std::int64_t FullestWindow(base::Duration aLength) const
  {
    std::int64_t fullest = 0;
    std::int64_t sum = 0;
    std::deque<std::pair<base::Instant, std::int64_t>> window;
    for (auto const& grant : m_grants) {
      window.push_back(grant);
      sum += grant.second;
      while (window.front().first + aLength <= grant.first) {
        sum -= window.front().second;
        window.pop_front();
      }
      fullest = std::max(fullest, sum);
    }
    return fullest;
  }

private:
  static base::Tokens GrantedBy(SharedAllowance const& aGateway)
  {
    auto const found = aGateway.Granted().find(kWorkspace);
    return found == aGateway.Granted().end() ? base::Tokens() : found->second;
  }

  std::vector<SharedAllowance> m_gateways;
  std::vector<bool> m_isCut;
  std::vector<std::pair<base::Instant, std::int64_t>> m_grants;
};

/// Plays requests of ten times the rate for 40 s and returns the fullest 8 s.
std::int64_t PlayFlood(std::uint64_t aSeed, bool aWithCuts)
{
  constexpr std::size_t kGateways = 4;
  std::mt19937_64 random(aSeed);
  Fleet fleet(kGateways);
  for (int step = 0; step < 4'000; ++step) {
    auto const now = kStart + step * milliseconds(10);
    if (step % 20 == 0) {
      fleet.Exchange(now);
    }
    if (aWithCuts && step % 300 == 0) {
      fleet.Cut(random() % kGateways, random() % 2 == 0);
    }
    fleet.Ask(random() % kGateways, base::Tokens(static_cast<std::int64_t>(500 + random() % 1'000)),
              now);
  }
  return fleet.FullestWindow(seconds(8));
}

} // namespace

BOOST_AUTO_TEST_CASE(NoWindowExceedsTheAllowanceUnderAFlood)
{
  // What the site allows in 8 s: rate and burst, a tenth more, and 11,000.
  constexpr std::int64_t kBound = (10'000 * 8 + 10'000) * 11 / 10 + 11'000;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST(PlayFlood(seed, false) <= kBound, "seed " << seed);
    BOOST_TEST(PlayFlood(seed, true) <= kBound, "seed " << seed << " with cuts");
  }
}

BOOST_AUTO_TEST_CASE(GrantsWhatIsWithinTheRateFromAnyGateway)
{
  Fleet fleet(4);
  int refused = 0;
  for (int step = 0; step < 300; ++step) {
    auto const now = kStart + step * milliseconds(100);
    fleet.Exchange(now);
    // Nine tenths of the rate, all through one gateway.
    refused += fleet.Ask(2, base::Tokens(900), now) ? 0 : 1;
  }
  BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_CASE(KeepsToItsShareWithoutNewsOfOthers)
{
  SharedAllowance allowance({});
  allowance.OnOthers("epoch", 4, {}, kStart);
  std::int64_t granted = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + seconds(10) + step * milliseconds(10);
    granted += allowance.Take(kWorkspace, kLimit, base::Tokens(100), now) ? 0 : 100;
  }
  BOOST_TEST(granted <= (10'000 * 10 + 10'000) / 4);
}

BOOST_AUTO_TEST_CASE(SumsOfAnotherEpochChargeNothing)
{
  SharedAllowance allowance({});
  allowance.OnOthers("first", 2, { { kWorkspace, base::Tokens(1'000'000) } }, kStart);
  BOOST_TEST(!allowance.Take(kWorkspace, kLimit, base::Tokens(1'000), kStart).has_value());
  allowance.OnOthers("second", 2, { { kWorkspace, base::Tokens(5'000'000) } }, kStart);
  BOOST_TEST(!allowance.Take(kWorkspace, kLimit, base::Tokens(1'000), kStart).has_value());
  allowance.OnOthers("second", 2, { { kWorkspace, base::Tokens(5'050'000) } }, kStart);
  BOOST_TEST(allowance.Take(kWorkspace, kLimit, base::Tokens(1'000), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(TellsWhenARefusedRequestWouldPass)
{
  SharedAllowance allowance({});
  allowance.OnOthers("epoch", 1, {}, kStart);
  BOOST_TEST(!allowance.Take(kWorkspace, kLimit, base::Tokens(10'000), kStart).has_value());
  auto const wait = allowance.Take(kWorkspace, kLimit, base::Tokens(5'000), kStart);
  BOOST_REQUIRE(wait.has_value());
  allowance.OnOthers("epoch", 1, {}, kStart + seconds(1));
  BOOST_TEST(
    !allowance.Take(kWorkspace, kLimit, base::Tokens(5'000), kStart + *wait * 11 / 10).has_value());
}

BOOST_AUTO_TEST_CASE(ARefundIsNoLongerCountedAsGranted)
{
  SharedAllowance allowance({});
  BOOST_TEST(!allowance.Take(kWorkspace, kLimit, base::Tokens(2'000), kStart).has_value());
  allowance.Refund(kWorkspace, base::Tokens(2'000));
  BOOST_TEST(allowance.Granted().at(kWorkspace) == base::Tokens(0));
}

BOOST_AUTO_TEST_CASE(AWorkspaceWithoutLimitIsNeverRefused)
{
  SharedAllowance allowance({});
  AllowanceLimit const unlimited{};
  for (int request = 0; request < 100; ++request) {
    BOOST_TEST(!allowance.Take(kWorkspace, unlimited, base::Tokens(1'000'000), kStart).has_value());
  }
}
