#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinefold::agent {

struct SuspectPartLimits
{
  /// Number of independent crashes from which a part is suspected and refused.
  std::size_t m_suspicion = 2;
  std::size_t m_refusal = 3;
  /// Crashes at least this far apart are independent of each other, also if the
  /// attempts overlapped.
  base::Duration m_separation = std::chrono::milliseconds(500);
  /// A part is refused for the first duration and a random share of the second.
  base::Duration m_refusalTime = std::chrono::minutes(2);
  base::Duration m_refusalJitter = std::chrono::minutes(2);
  /// A part is forgotten this long after its latest crash.
  base::Duration m_retention = std::chrono::minutes(10);
  /// For how long news is reported to the other gateways, as messages may be
  /// lost.
  base::Duration m_reportTime = std::chrono::milliseconds(500);
  /// Maximum numbers of accused parts, of crashes kept of each, of parts whose
  /// latest beginning is known, and of entries in one report.
  std::size_t m_maximumParts = 4'000;
  std::size_t m_maximumCrashes = 8;
  std::size_t m_maximumBeginnings = 8'000;
  std::size_t m_maximumReported = 64;
  /// Maximum number of upstreams of which a refuted crash is remembered.
  std::size_t m_maximumRefuted = 1'000;
};

/// Report to other gateways that an upstream crashed before it began to answer
/// a request with this part. Ages, since instants of two processes are not
/// comparable.
struct PartCrashReport
{
  base::PromptPartId m_part;
  base::UpstreamId m_upstream;
  base::Duration m_age{};
  /// Time since the request was sent to the upstream.
  base::Duration m_sentAge{};
};

/// Report to other gateways that an upstream began to answer a request with
/// this part.
struct PartAcquittal
{
  base::PromptPartId m_part;
  base::Duration m_age{};
};

enum class PartState
{
  Sound,
  /// Runs, one request at a time.
  Suspected,
  Refused,
  /// The refusal has ended; otherwise as Suspected.
  HalfOpen
};
std::string_view ToText(PartState aState);

struct PartStateChange
{
  base::PromptPartId m_part;
  PartState m_state;
  /// The upstreams whose crashes count against the part.
  std::vector<base::UpstreamId> m_upstreams;
};

struct PartRefusal
{
  base::PromptPartId m_part;
  base::Duration m_timeLeft{};
};

/// Detects parts of prompts that crash the upstreams that begin to answer them.
/// A crash accuses all parts of a request that it left without the beginning of
/// an answer; the beginning of an answer acquits the parts of its request.
/// Crashes are independent if each attempt was sent after the crash before it:
/// upstreams that fail together, or connections that are reset together, count
/// once.
class SuspectPartRegistry
{
public:
  using Parts = std::vector<base::PromptPartId>;

  SuspectPartRegistry(SuspectPartLimits aLimits, std::uint64_t aSeed);

  /// Called when a request is sent, and when its answer begins or its attempt
  /// ends without one.
  void OnSent(Parts const& aParts);
  void OnAnswered(Parts const& aParts);
  /// Called when an upstream closes the connection of a request that was sent
  /// at aSentAt, before it began to answer.
  void OnCrash(Parts const& aParts, base::UpstreamId const& aUpstream, base::Instant aSentAt,
               base::Instant aNow);
  /// Called when an upstream begins to answer a request that was sent at
  /// aSentAt.
  void OnBegun(Parts const& aParts, base::UpstreamId const& aUpstream, base::Instant aSentAt,
               base::Instant aNow);
  /// Handle the reports of other gateways.
  void OnCrashReports(std::vector<PartCrashReport> const& aReports, base::Instant aNow);
  void OnAcquittals(std::vector<PartAcquittal> const& aAcquittals, base::Instant aNow);
  /// To be called several times a second.
  void Tick(base::Instant aNow);

  /// Returns the part that is refused for the longest time, if any is.
  std::optional<PartRefusal> FindRefused(Parts const& aParts, base::Instant aNow) const;
  /// Whether any of the parts is suspected.
  bool IsSuspected(Parts const& aParts, base::Instant aNow) const;
  /// Whether a request with these parts may be sent now: no other request with
  /// a suspected part may be unanswered beside it.
  bool MaySend(Parts const& aParts, base::Instant aNow) const;

  /// Returns the recent crashes at this gateway and, if aWithRefused, all
  /// crashes of refused parts.
  std::vector<PartCrashReport> CrashesToReport(bool aWithRefused, base::Instant aNow) const;
  std::vector<PartAcquittal> AcquittalsToReport(base::Instant aNow) const;
  /// Returns and clears the changes of state since the last call.
  std::vector<PartStateChange> TakeChanges() { return std::exchange(m_changes, {}); }
  std::size_t CountRefused() const;
  std::size_t Size() const { return m_parts.size(); }
  std::size_t CountBeginnings() const { return m_beginnings.size(); }

private:
  struct Crash
  {
    base::Instant m_sentAt{};
    base::Instant m_at{};
    /// Until when it is reported; in the past for crashes at other gateways.
    base::Instant m_reportUntil{};
  };
  struct Part
  {
    std::map<base::UpstreamId, Crash> m_crashes;
    /// Whether its crashes explain those of the other parts.
    bool m_isConvicted = false;
    PartState m_state = PartState::Sound;
  };
  struct Beginning
  {
    base::Instant m_at{};
    std::list<base::PromptPartId>::iterator m_position;
  };
  using PartTable = std::map<base::PromptPartId, Part>;

  void Record(base::PromptPartId const& aPart, base::UpstreamId const& aUpstream,
              Crash const& aCrash);
  /// Whether the upstream had not crashed at that time.
  bool IsRefuted(base::UpstreamId const& aUpstream, base::Instant aAt) const;
  void Refute(base::UpstreamId const& aUpstream, base::Instant aAt);
  bool IsExplained(base::PromptPartId const& aPart, base::UpstreamId const& aUpstream) const;
  void Acquit(base::PromptPartId const& aPart, base::Instant aAt);
  void RememberBeginning(base::PromptPartId const& aPart, base::Instant aAt);
  void ScheduleAcquittal(base::PromptPartId const& aPart, base::Instant aNow);
  /// Convicts the parts with enough crashes and updates the state of all parts.
  void Evaluate(base::Instant aNow);
  std::vector<PartTable::iterator> PartsToConvict();
  void Convict(std::vector<PartTable::iterator> const& aParts);
  void EvictPart();
  /// Returns the upstreams of a greatest set of independent crashes.
  std::vector<base::UpstreamId> IndependentCrashes(Part const& aPart) const;
  /// Removes the oldest crash, if possible one that is not independent.
  void DropCrash(Part& aPart) const;
  static base::Instant LatestCrash(Part const& aPart);
  PartState StateOf(Part const& aPart, base::Instant aNow) const;
  bool IsPartSuspected(base::PromptPartId const& aPart, base::Instant aNow) const;

  SuspectPartLimits m_limits;
  base::Duration m_refusalTime;
  PartTable m_parts;
  /// The latest time at which an upstream seemed to crash and had not.
  std::map<base::UpstreamId, base::Instant> m_refutedCrashes;
  std::map<base::PromptPartId, unsigned> m_unanswered;
  /// The least recently begun part is at the front of m_beginningOrder.
  std::map<base::PromptPartId, Beginning> m_beginnings;
  std::list<base::PromptPartId> m_beginningOrder;
  /// Until when the latest beginning of a part is reported.
  std::map<base::PromptPartId, base::Instant> m_acquittals;
  std::vector<PartStateChange> m_changes;
};

} // namespace sardinefold::agent
