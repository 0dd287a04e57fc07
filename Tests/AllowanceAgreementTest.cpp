#define BOOST_TEST_MODULE AllowanceAgreement
#include "Entry/Allowance/GrantLedger.h"
#include "Entry/Allowance/SharedAllowance.h"
#include "Programs/Gateway/PlannerSelector.h"
#include "Programs/Gateway/PoolSelector.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace sardinefold;
using namespace sardinefold::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
auto const kWorkspace = base::WorkspaceId::FromValidated("marshals");
constexpr double kRate = 100'000;
constexpr double kBurst = 150'000;
constexpr base::Duration kWindow = seconds(8);

AllowanceLimit MakeLimit(double aFactor)
{
  return { base::TokensPerSecond(kRate * aFactor),
           base::Tokens(static_cast<std::int64_t>(kBurst * aFactor)) };
}

/// What a window may hold: the rate and the burst, a tenth more, and 11,000 tokens.
double WindowBound(double aFactor)
{
  return (kRate * base::ToSeconds(kWindow) + kBurst) * aFactor * 1.1 + 11'000;
}

base::HostId HostOf(std::size_t aIndex)
{
  return base::HostId::FromValidated("gateway-" + std::to_string(aIndex));
}

struct Report
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  AllowanceReport m_allowance;
};

using Summary = AllowanceSummary;

/// A gateway's copy, with the reports that FleetReporter makes of it.
class GatewayCopy
{
public:
  GatewayCopy(base::HostId aHost, unsigned aRun, AllowanceLimit const& aLimit, unsigned aFleet,
              base::Instant aNow)
    : m_host(std::move(aHost))
    , m_incarnation(base::IncarnationId::FromValidated("run-" + std::to_string(aRun)))
    , m_allowance({}, aRun)
  {
    SetLimit(aLimit, aNow);
    m_allowance.OnProcessCount(aFleet);
  }

  void SetLimit(AllowanceLimit const& aLimit, base::Instant aNow)
  {
    m_allowance.SetLimits({ { kWorkspace, aLimit } }, aNow);
  }
  bool Take(base::Tokens aTokens, base::Instant aNow)
  {
    return !m_allowance.Take(kWorkspace, aTokens, aNow).has_value();
  }
  void Tick(base::Instant aNow) { m_allowance.Tick(aNow); }
  double Level(base::Instant aNow) const
  {
    return static_cast<double>(m_allowance.GrantStatusOf(kWorkspace, aNow).m_level.Value());
  }
  Report MakeReport(bool aIsNewPlanner, base::Instant aNow)
  {
    return { m_host, m_incarnation, m_allowance.MakeReport(aIsNewPlanner, aNow) };
  }
  base::IncarnationId const& Incarnation() const { return m_incarnation; }
  /// Of a gateway that stays in another planner's pool.
  Report MakeEmptyReport() const { return { m_host, m_incarnation, {} }; }
  bool IsFresh(base::Instant aNow) const { return m_allowance.IsFresh(aNow); }
  void OnSummary(Summary const& aSummary, base::Instant aNow)
  {
    m_allowance.OnSummary(aSummary, m_incarnation, aNow);
  }

private:
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  SharedAllowance m_allowance;
};

/// A planner's ledger, with the summaries that FleetPlanning makes of it.
class PlannerCopy
{
public:
  explicit PlannerCopy(std::string aEpoch)
    : m_ledger(std::move(aEpoch))
  {
  }

  void OnPresence(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                  base::Instant aNow)
  {
    m_ledger.OnPresence(aHost, aIncarnation, aNow);
  }
  void OnReport(Report const& aReport, base::Instant aNow)
  {
    m_ledger.OnReport(aReport.m_host, aReport.m_incarnation, aReport.m_allowance, aNow);
    m_reporting[aReport.m_host] = aNow;
  }
  std::vector<std::pair<base::HostId, Summary>> Tick(base::Instant aNow)
  {
    std::erase_if(m_reporting,
                  [&](auto const& aItem) { return aNow - aItem.second > milliseconds(700); });
    m_ledger.Advance(aNow);
    std::vector<std::pair<base::HostId, Summary>> summaries;
    for (auto const& [host, at] : m_reporting) {
      summaries.emplace_back(host, m_ledger.SummaryFor(host));
    }
    return summaries;
  }

private:
  GrantLedger m_ledger;
  std::map<base::HostId, base::Instant> m_reporting;
};

/// How the links to the planners behave.
struct Links
{
  base::Duration m_minimumDelay = milliseconds(1);
  base::Duration m_maximumDelay = milliseconds(15);
  double m_loss = 0;
  double m_repeats = 0;
};

struct Load
{
  /// Tokens asked for, as a multiple of the rate.
  double m_demand = 1;
  /// Part of the gateways that get nearly all of it.
  double m_hotPart = 0.25;
};

struct Figures
{
  /// Tokens granted beyond the bound in the worst window, negative if none is.
  double m_beyond = -std::numeric_limits<double>::infinity();
  unsigned m_asked = 0;
  /// Refused although one bucket for the whole fleet would have had room.
  unsigned m_refusedWithRoom = 0;
  double m_askedTokens = 0;
  double m_refusedTokens = 0;
  /// Tokens granted, and those that one bucket for the whole fleet would have granted.
  double m_granted = 0;
  double m_ideal = 0;
  /// Highest minus lowest level at the end, and since when it has been small.
  double m_spread = 0;
  std::optional<base::Duration> m_agreedSince;
};

/// Gateways before three planners, in virtual time. Each message takes its own time.
class Fleet
{
public:
  Fleet(std::size_t aGateways, Load aLoad, std::uint64_t aSeed)
    : m_random(aSeed)
    , m_load(aLoad)
    , m_clocks(aGateways)
    , m_isCutOff(aGateways)
    , m_isDown(aGateways)
    , m_selectors(aGateways)
    , m_pools(aGateways)
  {
    for (std::size_t index = 0; index < aGateways; ++index) {
      m_gateways.push_back(Start(index));
    }
    for (std::size_t index = 0; index < kPlanners; ++index) {
      RestartPlanner(index);
    }
  }

  static constexpr std::size_t kPlanners = 3;
  Links m_links;
  std::array<bool, kPlanners> m_isPlannerDown{};

  std::size_t Size() const { return m_gateways.size(); }
  void SetCutOff(std::size_t aGateway, bool aIsCutOff) { m_isCutOff[aGateway] = aIsCutOff; }
  void SetDown(std::size_t aGateway, bool aIsDown)
  {
    m_isDown[aGateway] = aIsDown;
    if (!aIsDown) {
      m_gateways[aGateway] = Start(aGateway);
      m_selectors[aGateway] = {};
      m_pools[aGateway] = {};
    }
  }
  void RestartPlanner(std::size_t aPlanner)
  {
    m_planners[aPlanner] =
      std::make_unique<PlannerCopy>("epoch-" + std::to_string(++m_plannerRuns));
  }
  void StepClock(std::size_t aGateway, base::Duration aStep) { m_clocks[aGateway] += aStep; }
  void SetLimit(double aFactor)
  {
    // A lower limit binds once it is in force everywhere.
    m_bindsFrom = aFactor < m_factor ? m_now + seconds(2) : m_bindsFrom;
    m_factor = aFactor;
    for (std::size_t index = 0; index < Size(); ++index) {
      m_gateways[index]->SetLimit(MakeLimit(aFactor), Local(index));
    }
  }

  /// Plays until aEnd and calls aEvents before each step of 10 ms.
  Figures Play(base::Duration aEnd, std::function<void(base::Duration, Fleet&)> const& aEvents)
  {
    for (base::Duration at{}; at < aEnd; at += kStep) {
      m_now = kStart + at;
      aEvents(at, *this);
      Deliver();
      Exchange(static_cast<std::size_t>(at / kStep));
      Ask(at >= kWarmUp);
      if (at % milliseconds(100) == base::Duration{}) {
        Compare(at);
      }
    }
    return m_figures;
  }

  static constexpr base::Duration kWarmUp = seconds(3);

private:
  static constexpr base::Duration kStep = milliseconds(10);
  static constexpr unsigned kTickSteps = 10;

  struct Message
  {
    base::Instant m_at;
    std::function<void()> m_deliver;
  };

  base::Instant Local(std::size_t aGateway) const { return m_now + m_clocks[aGateway]; }

  std::unique_ptr<GatewayCopy> Start(std::size_t aIndex)
  {
    return std::make_unique<GatewayCopy>(HostOf(aIndex), ++m_runs, MakeLimit(m_factor),
                                         static_cast<unsigned>(m_clocks.size()), Local(aIndex));
  }

  static base::Endpoint EndpointOf(std::size_t aPlanner)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(aPlanner + 1) };
  }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  void Send(std::function<void()> const& aDeliver)
  {
    auto const copies = Uniform() < m_links.m_loss ? 0 : Uniform() < m_links.m_repeats ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      auto const span = base::ToSeconds(m_links.m_maximumDelay - m_links.m_minimumDelay);
      auto const delay = m_links.m_minimumDelay + base::FromSeconds(span * Uniform());
      m_messages.push_back({ m_now + delay, aDeliver });
    }
  }

  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](Message const& aMessage) {
      bool const isDue = aMessage.m_at <= m_now;
      if (isDue) {
        due.push_back(aMessage);
      }
      return isDue;
    });
    std::ranges::stable_sort(due, {}, &Message::m_at);
    for (auto const& message : due) {
      message.m_deliver();
    }
  }

  void Exchange(std::size_t aStep)
  {
    for (std::size_t index = 0; index < Size(); ++index) {
      if (aStep % kTickSteps == index % kTickSteps) {
        TickGateway(index, aStep);
      }
    }
    for (std::size_t index = 0; index < kPlanners; ++index) {
      if (aStep % kTickSteps == 3 * index % kTickSteps && !m_isPlannerDown[index]) {
        TickPlanner(index);
      }
    }
  }

  void TickGateway(std::size_t aIndex, std::size_t aStep)
  {
    if (m_isDown[aIndex]) {
      return;
    }
    auto& selector = m_selectors[aIndex];
    for (std::size_t planner = 0; planner < kPlanners; ++planner) {
      bool const isHeard = !m_isPlannerDown[planner] && !m_isCutOff[aIndex];
      if (isHeard && aStep % (8 * kTickSteps) < kTickSteps) {
        selector.OnLoader(base::HostId::FromValidated("loader-" + std::to_string(planner)),
                          EndpointOf(planner), true, Local(aIndex));
        m_planners[planner]->OnPresence(HostOf(aIndex), m_gateways[aIndex]->Incarnation(), m_now);
      }
    }
    m_gateways[aIndex]->Tick(Local(aIndex));
    auto const planner = selector.Planner(Local(aIndex));
    auto& gateway = *m_gateways[aIndex];
    auto const pool =
      m_pools[aIndex].Choose(planner, gateway.IsFresh(Local(aIndex)), Local(aIndex));
    if (planner && planner != pool.m_planner) {
      SendReport(aIndex, *planner, gateway.MakeEmptyReport());
    }
    if (pool.m_planner) {
      SendReport(aIndex, *pool.m_planner, gateway.MakeReport(pool.m_isNew, Local(aIndex)));
    }
  }

  void SendReport(std::size_t aIndex, base::Endpoint const& aPlanner, Report const& aReport)
  {
    Send([this, aIndex, report = aReport, to = aPlanner.m_port - 1U] {
      if (!m_isPlannerDown[to] && !m_isCutOff[aIndex]) {
        m_planners[to]->OnReport(report, m_now);
      }
    });
  }

  void TickPlanner(std::size_t aPlanner)
  {
    for (auto& [host, summary] : m_planners[aPlanner]->Tick(m_now)) {
      auto const index = static_cast<std::size_t>(std::stoul(host.Text().substr(8)));
      Send([this, index, aPlanner, heard = summary] {
        if (!m_isCutOff[index] && !m_isDown[index]) {
          m_selectors[index].OnSummary(EndpointOf(aPlanner), Local(index));
          m_pools[index].OnSummary(EndpointOf(aPlanner), Local(index));
          if (m_pools[index].IsPool(EndpointOf(aPlanner))) {
            m_gateways[index]->OnSummary(heard, Local(index));
          }
        }
      });
    }
  }

  void Ask(bool aIsCounted)
  {
    auto const limit = MakeLimit(m_factor);
    m_room = std::min(static_cast<double>(limit.m_burst.Value()),
                      m_room + limit.m_rate.Value() * base::ToSeconds(kStep));
    m_idealRoom = std::min(static_cast<double>(limit.m_burst.Value()),
                           m_idealRoom + limit.m_rate.Value() * base::ToSeconds(kStep));
    m_due += m_load.m_demand * limit.m_rate.Value() * base::ToSeconds(kStep);
    while (m_due > 0) {
      auto const tokens = static_cast<double>(200 + m_random() % 4'600);
      m_due -= tokens;
      auto const hot = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(m_load.m_hotPart * static_cast<double>(Size()))));
      auto const index = m_random() % (Uniform() < 0.9 ? hot : Size());
      if (m_isDown[index]) {
        continue;
      }
      bool const isGranted =
        m_gateways[index]->Take(base::Tokens(static_cast<std::int64_t>(tokens)), Local(index));
      bool const hasRoom = m_room >= tokens;
      bool const isIdeallyGranted = m_idealRoom >= tokens;
      m_idealRoom -= isIdeallyGranted ? tokens : 0;
      m_room -= isGranted ? tokens : 0;
      if (isGranted) {
        Count(tokens);
      }
      if (aIsCounted) {
        ++m_figures.m_asked;
        m_figures.m_granted += isGranted ? tokens : 0;
        m_figures.m_ideal += isIdeallyGranted ? tokens : 0;
        m_figures.m_askedTokens += tokens;
        m_figures.m_refusedWithRoom += !isGranted && hasRoom ? 1 : 0;
        m_figures.m_refusedTokens += !isGranted && hasRoom ? tokens : 0;
      }
    }
  }

  void Count(double aTokens)
  {
    m_window.emplace_back(m_now, aTokens);
    m_sum += aTokens;
    while (m_window.front().first + kWindow <= m_now) {
      m_sum -= m_window.front().second;
      m_window.pop_front();
    }
    bool const isBinding = m_window.front().first >= m_bindsFrom;
    auto const bound = WindowBound(isBinding ? m_factor : 1);
    m_figures.m_beyond = std::max(m_figures.m_beyond, m_sum - bound);
  }

  void Compare(base::Duration aAt)
  {
    auto lowest = std::numeric_limits<double>::infinity();
    auto highest = -lowest;
    for (std::size_t index = 0; index < Size(); ++index) {
      if (!m_isDown[index]) {
        auto const level = m_gateways[index]->Level(Local(index));
        lowest = std::min(lowest, level);
        highest = std::max(highest, level);
      }
    }
    m_figures.m_spread = highest - lowest;
    bool const isSmall = m_figures.m_spread <= 0.3 * kRate;
    if (!isSmall) {
      m_figures.m_agreedSince.reset();
    } else if (!m_figures.m_agreedSince) {
      m_figures.m_agreedSince = aAt;
    }
  }

  std::mt19937_64 m_random;
  Load m_load;
  std::vector<base::Duration> m_clocks;
  std::vector<bool> m_isCutOff;
  std::vector<bool> m_isDown;
  std::vector<programs::PlannerSelector> m_selectors;
  std::vector<programs::PoolSelector> m_pools;
  std::vector<std::unique_ptr<GatewayCopy>> m_gateways;
  std::array<std::unique_ptr<PlannerCopy>, kPlanners> m_planners;
  std::vector<Message> m_messages;
  base::Instant m_now = kStart;
  unsigned m_runs = 0;
  unsigned m_plannerRuns = 0;
  double m_factor = 1;
  base::Instant m_bindsFrom = kStart + seconds(1'000'000);
  double m_due = 0;
  /// Level of a bucket that the fleet's grants are taken from, and of one that grants
  /// by itself.
  double m_room = kBurst;
  double m_idealRoom = kBurst;
  double m_sum = 0;
  std::deque<std::pair<base::Instant, double>> m_window;
  Figures m_figures;
};

constexpr Load kOverload{ 5, 0.25 };
constexpr Load kEvenOverload{ 6, 1 };
constexpr Load kWithin{ 0.8, 0.25 };

/// What a case requires beside the bound. The figures of the others are printed only.
struct Requirements
{
  /// Part of the tokens asked for within the rate that may be refused despite room.
  double m_refused = 1;
  /// Part of the tokens that one bucket would have granted and the fleet did not, under
  /// overload.
  double m_lost = 1;
  /// When the copies have to agree for good, if they have to.
  std::optional<base::Duration> m_agreedBy;
};

void Check(std::function<void(base::Duration, Fleet&)> const& aEvents, base::Duration aEnd,
           Requirements const& aRequired)
{
  for (std::size_t const gateways : { 4U, 22U, 103U }) {
    for (auto const& load : { kWithin, kOverload, kEvenOverload }) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(gateways, load, seed);
        auto const figures = fleet.Play(aEnd, aEvents);
        auto const refused = figures.m_refusedTokens / figures.m_askedTokens;
        auto const lost = 1 - figures.m_granted / figures.m_ideal;
        auto const agreed = figures.m_agreedSince ? base::ToSeconds(*figures.m_agreedSince) : -1.0;
        auto const what =
          std::to_string(gateways) + " gateways, demand " + std::to_string(load.m_demand) +
          ", seed " + std::to_string(seed) + ": beyond " + std::to_string(figures.m_beyond) +
          ", refused with room " + std::to_string(refused) + " of tokens, " +
          std::to_string(figures.m_refusedWithRoom) + " of " + std::to_string(figures.m_asked) +
          ", lost " + std::to_string(lost) + ", spread " + std::to_string(figures.m_spread) +
          ", agreed since " + std::to_string(agreed) + " s";
        BOOST_TEST_MESSAGE(what);
        BOOST_TEST(figures.m_beyond <= 0, what);
        if (load.m_demand < 1) {
          BOOST_TEST(refused <= aRequired.m_refused, what);
        } else {
          BOOST_TEST(lost <= aRequired.m_lost, what);
        }
        if (aRequired.m_agreedBy) {
          BOOST_TEST((figures.m_agreedSince && *figures.m_agreedSince <= *aRequired.m_agreedBy),
                     what);
        }
      }
    }
  }
}

bool IsAt(base::Duration aAt, base::Duration aTime)
{
  return aAt == aTime;
}

void SetAllPlannersDown(Fleet& aFleet, bool aIsDown)
{
  aFleet.m_isPlannerDown = { aIsDown, aIsDown, aIsDown };
}

} // namespace

/// Copies of one workspace's bucket that differ make a request's fate depend on the
/// gateway that it reaches: some refuse within the limit, others grant beyond it.

BOOST_AUTO_TEST_CASE(WithoutFaults)
{
  Check([](auto, auto&) {}, seconds(20), { 0.01, 0.05, seconds(4) });
}

BOOST_AUTO_TEST_CASE(PlannerSilentForTwoSecondsAndBack)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      aFleet.m_isPlannerDown[0] = aAt >= seconds(8) && aAt < seconds(10);
      aFleet.m_isPlannerDown[1] = aAt >= seconds(13) && aAt < seconds(14);
    },
    seconds(20), { 0.02, 0.15, seconds(16) });
}

BOOST_AUTO_TEST_CASE(PlannerRestarted)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      if (aAt > seconds(5) && aAt < seconds(13) && aAt % seconds(2) == base::Duration{}) {
        aFleet.RestartPlanner(0);
      }
    },
    seconds(20), { 0.02, 0.15, seconds(16) });
}

BOOST_AUTO_TEST_CASE(NoPlannerForTenSeconds)
{
  Check([](base::Duration aAt,
           Fleet& aFleet) { SetAllPlannersDown(aFleet, aAt >= seconds(8) && aAt < seconds(18)); },
        seconds(28), { 1, 0.5, seconds(23) });
}

BOOST_AUTO_TEST_CASE(AllPlannersKilledForGood)
{
  Check([](base::Duration aAt, Fleet& aFleet) { SetAllPlannersDown(aFleet, aAt >= seconds(8)); },
        seconds(40), {});
}

BOOST_AUTO_TEST_CASE(MessagesReadSecondsLate)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      bool const isLate = aAt >= seconds(5) && aAt < seconds(14);
      aFleet.m_links.m_maximumDelay = isLate ? milliseconds(1'600) : milliseconds(15);
      aFleet.m_links.m_minimumDelay = isLate ? milliseconds(1'400) : milliseconds(1);
    },
    seconds(24), { 1, 0.5, seconds(19) });
}

BOOST_AUTO_TEST_CASE(MessagesLostRepeatedAndOutOfOrder)
{
  Check(
    [](base::Duration, Fleet& aFleet) {
      aFleet.m_links = { milliseconds(1), milliseconds(150), 0.2, 0.1 };
    },
    seconds(20), { 0.02, 0.15, {} });
}

BOOST_AUTO_TEST_CASE(GatewaysRestartedInTurn)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      if (aAt >= seconds(5) && aAt < seconds(15)) {
        auto const turn = static_cast<std::size_t>(aAt / seconds(1)) % aFleet.Size();
        if (IsAt(aAt % seconds(1), milliseconds(100))) {
          aFleet.SetDown(turn, true);
        }
        if (IsAt(aAt % seconds(1), milliseconds(600))) {
          aFleet.SetDown(turn, false);
        }
      }
    },
    seconds(24), { 0.03, 0.15, seconds(19) });
}

BOOST_AUTO_TEST_CASE(AllGatewaysRestartedTogether)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      for (std::size_t index = 0; index < aFleet.Size(); ++index) {
        if (IsAt(aAt, seconds(8)) || IsAt(aAt, seconds(12))) {
          aFleet.SetDown(index, true);
        }
        if (IsAt(aAt, milliseconds(8'400)) || IsAt(aAt, seconds(14))) {
          aFleet.SetDown(index, false);
        }
      }
    },
    seconds(26), { 1, 0.5, seconds(18) });
}

BOOST_AUTO_TEST_CASE(AThirdCutOffWhileItServesCallers)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      for (std::size_t index = 0; index < aFleet.Size() / 3; ++index) {
        aFleet.SetCutOff(index, aAt >= seconds(6) && aAt < seconds(24));
      }
    },
    seconds(34), { 1, 0.5, seconds(28) });
}

BOOST_AUTO_TEST_CASE(LimitsLoweredAndRaised)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      if (IsAt(aAt, seconds(8))) {
        aFleet.SetLimit(0.5);
      }
      if (IsAt(aAt, seconds(22))) {
        aFleet.SetLimit(1);
      }
    },
    seconds(28), { 0.03, 0.15, seconds(24) });
}

BOOST_AUTO_TEST_CASE(AClockSteps)
{
  Check(
    [](base::Duration aAt, Fleet& aFleet) {
      if (IsAt(aAt, seconds(8))) {
        aFleet.StepClock(0, seconds(10));
        aFleet.StepClock(1, -seconds(5));
      }
    },
    seconds(20), { 0.05, 0.15, seconds(12) });
}
