#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/DecayingRate.h"
#include "Engine/PermitDraw.h"
#include "Engine/PermitPacer.h"
#include "Engine/RequestLimit.h"
#include "Engine/UpstreamNotice.h"
#include "Engine/WarmUpFleetSize.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sardinefold::engine {

/// A request's place in the line for the permits of an upstream.
struct RequestLimitPlace
{
  UpstreamStart m_start;
  std::uint64_t m_number = 0;
};

/// A limit that has begun, changed or ended as this process knows it.
struct RequestLimitChange
{
  UpstreamStart m_start;
  std::optional<base::RequestsPerSecond> m_before;
  std::optional<base::RequestsPerSecond> m_now;
  /// Who learned it: this process from a response, or another one.
  NoticeSource m_source = NoticeSource::Response;
  base::Duration m_age{};
  /// What this process may send without a planner.
  base::RequestsPerSecond m_ownRate;
  /// Whether the planner grants it permits instead.
  bool m_isGranted = false;
};

/// Holds this process's requests to upstreams that name a limit to its part of it: the
/// permits that the planner grants, or else those that follow from the number of processes.
///
/// An attempt reserves a permit and uses it when its request is written. Requests that
/// wait for permits stand in a line; a request that comes later does not overtake them.
class RequestLimiter
{
public:
  /// Time in which a process without a planner uses its permits once. Longer than the four
  /// seconds of the bound, as a process may be held up between its clock reading and the
  /// write.
  static constexpr base::Duration kWindow = std::chrono::milliseconds(4250);
  /// Time for which a process relies on the planner without word of it.
  static constexpr base::Duration kPlannerTime = std::chrono::seconds(2);
  /// Time after which a permit of the planner is void.
  static constexpr base::Duration kPermitTime = std::chrono::milliseconds(700);
  /// Time for which the end of a limit is passed on.
  static constexpr base::Duration kEndTime = std::chrono::seconds(10);
  /// Time after which a process without a planner draws again whether it has a permit, so
  /// that the end of a limit is noticed where no process had one.
  static constexpr base::Duration kDrawTime = std::chrono::seconds(20);

  /// aSeed makes this process's draws independent of those of others.
  explicit RequestLimiter(std::uint64_t aSeed)
    : m_seed(aSeed)
  {
  }

  /// An upstream has answered a request that was sent at aSentAt. A limit ends only with
  /// a response without one to a request that was sent after the limit was last named.
  void OnResponse(UpstreamStart const& aStart, std::optional<base::RequestsPerSecond> aLimit,
                  base::Instant aSentAt, base::Instant aNow);
  /// Takes new permits of the planner, and what other processes have heard of the limits.
  void OnPermits(std::vector<RequestLimitPermits> const& aPermits, base::Instant aNow);
  /// Takes a report of how many processes send requests.
  void OnProcessCount(unsigned aProcesses, base::Instant aNow);
  /// A request came that the upstream could serve, as one of aCandidates.
  void OnAsked(UpstreamStart const& aStart, std::size_t aCandidates, base::Instant aNow);
  /// The limits in force, and those that ended within kEndTime.
  std::vector<RequestLimitDemand> Demands(base::Instant aNow) const;

  bool IsEmpty() const { return m_upstreams.empty(); }
  std::size_t CountLimits() const;
  bool IsLimited(UpstreamStart const& aStart) const { return FindLimited(aStart) != nullptr; }
  /// Whether a request may be sent to the upstream, as far as its limit is concerned.
  bool IsOpen(UpstreamStart const& aStart, std::optional<RequestLimitPlace> const& aPlace,
              base::Instant aNow) const;
  /// When it may be sent, or is expected to get a permit of the planner, after all that
  /// were there before it; nothing while this process has no part of the limit.
  std::optional<base::Instant> OpensAt(UpstreamStart const& aStart,
                                       std::optional<RequestLimitPlace> const& aPlace,
                                       base::Instant aNow) const;
  RequestLimitPlace Join(UpstreamStart const& aStart);
  void Leave(RequestLimitPlace const& aPlace);

  /// An attempt begins at the upstream.
  void Reserve(UpstreamStart const& aStart);
  /// The attempt's request is about to be written. Returns false if it must not be.
  bool Use(UpstreamStart const& aStart, base::Instant aNow);
  /// The attempt ended without a use.
  void Return(UpstreamStart const& aStart);

  /// The limits that began, changed or ended since the last call.
  std::vector<RequestLimitChange> TakeChanges(base::Instant aNow);
  /// Brings the permits up to date and forgets limits that have ended. To be called
  /// regularly.
  void Tick(std::function<bool(UpstreamStart const&)> const& aIsKnown, base::Instant aNow);

private:
  struct Upstream
  {
    explicit Upstream(DecayingRate aAsked)
      : m_asked(aAsked)
    {
    }

    /// Nothing once the upstream has ceased to name a limit.
    std::optional<base::RequestsPerSecond> m_limit;
    /// When the response that said so arrived, at this process or another one.
    base::Instant m_heardAt{};
    /// When the limit ended, if it has.
    base::Instant m_endedAt{};
    NoticeSource m_source = NoticeSource::Response;
    std::optional<base::RequestsPerSecond> m_reported;

    /// When the planner last named the limit.
    std::optional<base::Instant> m_plannedAt;
    /// When its permits end that are not used yet, the first one first.
    std::deque<base::Instant> m_permits;
    /// Requests that wait for permits at all processes.
    unsigned m_waitingEverywhere = 0;

    base::Instant m_learnedAt{};
    PermitDraw m_draw;
    /// The limit and the number of processes that m_draw is for.
    std::optional<std::pair<base::RequestsPerSecond, unsigned>> m_drawnFor;

    PermitPacer m_pacer;
    /// Attempts whose requests are not written yet.
    unsigned m_reserved = 0;
    std::vector<std::uint64_t> m_line;
    DecayingRate m_asked;
  };

  Upstream* FindLimited(UpstreamStart const& aStart);
  Upstream const* FindLimited(UpstreamStart const& aStart) const;
  Upstream& Begin(UpstreamStart const& aStart, base::Instant aNow);
  static void SetWord(Upstream& aUpstream, std::optional<base::RequestsPerSecond> aLimit,
                      base::Instant aHeardAt, NoticeSource aSource);
  void UpdateRate(UpstreamStart const& aStart, Upstream& aUpstream, base::Instant aNow);
  /// This process's draw for the start, from 0 to 1.
  double Draw(UpstreamStart const& aStart, std::uint64_t aNumber) const;
  static bool HasPlanner(Upstream const& aUpstream, base::Instant aNow);
  static unsigned CountPermits(Upstream const& aUpstream, base::Instant aNow);
  static base::Instant ExpectedPermitAt(Upstream const& aUpstream, unsigned aNeeded,
                                        base::Instant aNow);
  static unsigned PermitsNeeded(Upstream const& aUpstream,
                                std::optional<RequestLimitPlace> const& aPlace);

  std::uint64_t m_seed;
  WarmUpFleetSize m_fleetSize;
  std::map<UpstreamStart, Upstream> m_upstreams;
  std::uint64_t m_lastPlace = 0;
};

} // namespace sardinefold::engine
