#pragma once

#include "Engine/DeploymentUsage.h"
#include "Engine/EngineTypes.h"
#include "Engine/LeavingUpstreams.h"
#include "Engine/LeftUpstreams.h"
#include "Engine/LevelChooser.h"
#include "Engine/OthersDemand.h"
#include "Engine/RequestLimiter.h"
#include "Engine/UpstreamBackoff.h"
#include "Engine/UpstreamLoadModel.h"
#include "Engine/WarmUpLimiter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace sardinefold::engine {

struct DirectoryLimits
{
  /// Longest time for which an upstream may get new requests after it announced
  /// that it leaves.
  base::Duration m_maximumDrainDelay = std::chrono::seconds(2);
  /// Age from which a loader's status report is no longer used.
  base::Duration m_maximumStatusAge = std::chrono::milliseconds(2500);
  /// Initial pause after failures; doubles with each further failure.
  base::Duration m_pause = std::chrono::milliseconds(300);
  base::Duration m_maximumPause = std::chrono::seconds(5);
  /// Consecutive failures after which an upstream is paused.
  unsigned m_failures = 2;
  /// Maximum share of a deployment's upstreams that may be paused at the same
  /// time.
  double m_maximumPausedShare = 0.5;
  /// Cost of an upstream in another failure domain, in units of one request
  /// that awaits prefill. Traffic between failure domains is expensive, but a
  /// missed goal costs more.
  double m_remoteDomainCost = 1.5;
  /// Cost of sending a request to an upstream at which another awaits its answer,
  /// if one of the two is suspected of crashing upstreams.
  double m_suspectedCost = 8;
  /// An entry that a restored list still has after this time belongs to an upstream
  /// that is alive: the list drops those that are silent for three heartbeats.
  base::Duration m_silenceTime = std::chrono::milliseconds(5500);
  /// Cost of a running request in the same unit; each running request slows
  /// down every step slightly.
  double m_running = 0.15;
  /// Cost of an upstream that warms up, as it is slow.
  double m_warmUpCost = 1.5;
  /// Cost of an upstream that names a limit: its few permits are kept for requests that
  /// no other upstream can serve.
  double m_limitedCost = 4;
};

/// What a request needs of an upstream.
struct UpstreamQuery
{
  base::DeploymentId m_deployment;
  std::optional<base::ModelId> m_model;
  std::optional<base::AdapterId> m_adapter;
  /// Upstreams that the request has already been sent to.
  std::set<InstanceId> m_excluded;
  /// Whether the request is suspected of crashing upstreams, and should run where
  /// no other request awaits its answer.
  bool m_isSuspected = false;
  /// The failure domains that may serve the request; all if absent.
  std::optional<std::set<base::FailureDomainId>> m_failureDomains{};
  /// The only version of the upstreams' software that may serve the request, if it goes
  /// on with a stream.
  std::optional<base::SoftwareVersion> m_version{};
  /// Tokens to read, if the request states them.
  std::optional<base::Tokens> m_prompt = std::nullopt;
  /// The request's place in a line for permits, if it waits in one.
  std::optional<RequestLimitPlace> m_limitPlace = std::nullopt;
};

/// An upstream's load, estimated from this process's own requests and from
/// reports.
struct UpstreamLoadEstimate
{
  /// Requests that the upstream has not begun to answer, from this process and
  /// others.
  unsigned m_unanswered = 0;
  unsigned m_running = 0;
  /// Age of the latest status report of the engine's loader, if there is one.
  std::optional<base::Duration> m_loaderStatusAge;
  /// Age of the latest report of the upstream's load, if there is one.
  std::optional<base::Duration> m_reportAge;
  /// The request's own work and what it finds before it.
  RequestWork m_work;
  /// See UpstreamLoadModel::Slowness().
  double m_slowness = 1;
  /// Requests that other gateways are expected to have sent since the reports.
  double m_others = 0;
  /// Expected time to the answer, if any answer of the deployment is known.
  std::optional<base::Duration> m_answerTime;
  /// Whether the upstream is no longer listed but still used, since its entry
  /// may only have lapsed.
  bool m_isUnlisted = false;
};

/// The assumed cause of a removal from the list.
enum class RemovalCause
{
  /// The upstream was not listed before the removal.
  Unknown,
  Left,
  /// The store did not accept its heartbeats; the upstream stays in use for a
  /// limited time.
  Lapsed
};
std::string_view ToText(RemovalCause aReading);

enum class EntrySource
{
  /// The entry was written while the list was followed.
  Change,
  /// The first list that this process reads.
  FirstList,
  /// The first list after the store came back from a copy.
  RestoredList
};

/// How an entry of the list was taken.
enum class ListingOutcome
{
  Believed,
  /// The start reported before the restoration that it drains; it does so still.
  Drained,
  /// The start was removed before the restoration; the upstream is not used until
  /// it has shown that it is alive.
  Removed,
  /// A later start of the upstream is known; the entry changes nothing.
  Superseded
};
std::string_view ToText(ListingOutcome aOutcome);

/// The upstream chosen for a request.
struct UpstreamChoice
{
  InstanceId m_instance;
  /// Start of the listed instance; see UpstreamEntry::m_startedAt.
  std::int64_t m_startedAt = 0;
  base::Endpoint m_endpoint;
  base::SoftwareVersion m_version;
  UpstreamStart Start() const { return { m_instance, m_endpoint, m_startedAt }; }
  /// Whether the model is loaded but the adapter is not.
  bool m_lacksAdapter = false;
  /// Whether the upstream leaves, or its failure domain is evacuated, and it was chosen
  /// for want of another one.
  bool m_isLeaving = false;
  /// Whether the request is a trial after a time without requests.
  bool m_isTrial = false;
  /// See BackoffTable::Revision().
  std::uint64_t m_backoffRevision = 0;
  /// The load that the choice was based on.
  UpstreamLoadEstimate m_loadEstimate;
  /// The request's own work.
  RequestWork m_work{ 1 };
};

/// Why there is no upstream for a request.
enum class UpstreamAbsence
{
  /// No usable upstream of the deployment is known.
  NoUpstream,
  /// All upstreams of the deployment that could be used have announced that they
  /// leave.
  Leaving,
  /// The same, where some are in failure domains that are evacuated.
  Evacuated,
  /// All upstreams that could serve the request want no requests for some time.
  BackingOff,
  /// Upstreams that could serve the request are warming up and get no further request
  /// from this process for some time.
  WarmingUp,
  /// Upstreams that could serve the request name a limit and get no further request from
  /// this process for some time.
  AtLimit,
  /// Usable upstreams are known, but none of them holds the model.
  ModelNotLoaded
};

std::string_view ToText(UpstreamAbsence aAbsence);

/// The upstream with a limit that may get a request first.
struct LimitOpening
{
  UpstreamStart m_start;
  base::Instant m_at{};
};

/// An announcement of leaving that no longer matters.
struct LeavingEnd
{
  UpstreamStart m_start;
  LeavingNotice m_notice;
  /// Whether the instance has started again; otherwise it is out of use.
  bool m_isRestart = false;
};

/// A time without requests that has ended.
struct BackoffEnd
{
  enum class Reason
  {
    TrialAnswered,
    /// The upstream is out of use or has started again.
    Gone
  };
  UpstreamStart m_start;
  Backoff m_backoff;
  Reason m_reason = Reason::Gone;
};

/// Numbers the status reports of one run of a loader.
struct LoaderStatusNumber
{
  base::IncarnationId m_incarnation;
  std::uint64_t m_number = 0;

  /// Whether both are of one run and this one is the earlier.
  bool IsBefore(LoaderStatusNumber const& aOther) const
  {
    return m_incarnation == aOther.m_incarnation && m_number < aOther.m_number;
  }
  friend bool operator==(LoaderStatusNumber const&, LoaderStatusNumber const&) = default;
};

/// A loader's status report about its engine.
struct LoaderStatus
{
  base::Endpoint m_engine;
  std::vector<HeldModel> m_models;
  /// A model that is being unloaded; it gets no new requests.
  std::optional<base::ModelId> m_unloading;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  LoaderStatusNumber m_number;
  /// Start of the engine in Unix milliseconds, which the list may not tell yet.
  std::optional<std::int64_t> m_engineStart{};
};

/// Tracks the engines and services, the models that they hold and their load,
/// and selects one for each request.
class UpstreamDirectory
{
public:
  UpstreamDirectory(DirectoryLimits aLimits, base::FailureDomainId aLocalFailureDomain,
                    std::uint64_t aSeed);

  /// Takes a new or changed entry of the list. No entry revives a start that
  /// reported before a restoration that it drains, and a restored list none that
  /// was removed before.
  ListingOutcome OnListed(UpstreamEntry aEntry, base::Instant aNow,
                          EntrySource aSource = EntrySource::Change);
  /// To be called before the first list after the store came back from a copy.
  void OnStoreRestored() { m_left.OnStoreRestored(); }
  /// The starts that drained before the list came from a copy that names them as
  /// ready. Other processes may have started since and not know it.
  std::vector<UpstreamStart> DrainedDespiteList() const;
  /// Another process knows that the start drained. Returns whether that is news.
  bool OnDrainedBefore(UpstreamStart const& aStart, base::Instant aNow);
  /// Handles the removal of an entry from the list. With aLapseEnd, the entry
  /// may have lapsed because the store did not accept heartbeats, and the
  /// upstream stays in use until that time unless it was draining; without it,
  /// the upstream has left.
  RemovalCause OnRemoved(InstanceId const& aInstance, std::optional<base::Instant> aLapseEnd,
                         base::Instant aNow);
  /// Returns whether models became available. A report that is older than the known
  /// one changes nothing.
  bool OnLoaderStatus(LoaderStatus aStatus, base::Instant aNow);
  /// The loader's status report with that number is still current. Returns
  /// false if this process does not have that report.
  bool OnStatusUnchanged(base::Endpoint const& aEngine, LoaderStatusNumber const& aNumber,
                         unsigned aRunning, unsigned aWaiting, base::Instant aNow);
  /// A response reported how many requests run and wait at the upstream.
  /// aSlowdown is how long work takes on its host, if it said so; 1 is as usual.
  void OnLoadReported(InstanceId const& aInstance, unsigned aRunning, unsigned aWaiting,
                      std::optional<double> aSlowdown, base::Instant aNow);
  /// The number of gateways that send to the upstreams, including this one.
  void SetGateways(unsigned aGateways) { m_others.SetGateways(aGateways); }

  /// Takes an announcement that a start of an upstream leaves. Returns whether it
  /// is news; see LeavingUpstreams.
  bool OnLeaving(UpstreamStart const& aStart, NoticeSource aSource, base::Instant aNow);
  /// The known start of the engine at the endpoint, if it began at aStartedAt.
  std::optional<UpstreamStart> FindStart(base::Endpoint const& aEndpoint,
                                         std::int64_t aStartedAt) const;
  LeavingUpstreams const& Leaving() const { return m_leaving; }
  /// The announcements that ended since the last call.
  std::vector<LeavingEnd> TakeLeavingEnds();
  /// The upstream refused a request and wants none for some time. Returns whether
  /// requests were allowed until now.
  bool OnBackoff(UpstreamChoice const& aChoice, base::Duration aRetryAfter, base::Instant aNow);
  /// If all upstreams that could serve such a request want no requests, the time
  /// at which the first of them may get one.
  std::optional<base::Instant> BackoffEndFor(UpstreamQuery const& aQuery, base::Instant aNow) const;
  /// When a request that is held back as upstreams are warming up may be sent at the
  /// earliest; nothing if no upstream that could serve it holds it back.
  std::optional<base::Instant> WarmUpOpensAt(UpstreamQuery const& aQuery, base::Instant aNow) const;
  WarmUpLimiter& WarmUps() { return m_warmUps; }
  /// Where and when a request may be sent first of those upstreams that hold it back by
  /// their limit; nothing if there is none, or if this process has no part of any limit.
  std::optional<LimitOpening> FindLimitOpening(UpstreamQuery const& aQuery,
                                               base::Instant aNow) const;
  /// The earlier one of WarmUpOpensAt() and FindLimitOpening().
  std::optional<base::Instant> HeldBackUntil(UpstreamQuery const& aQuery, base::Instant aNow) const;
  /// Called once for each request, for what is known of the demand for upstreams that
  /// name a limit.
  void OnAsked(UpstreamQuery const& aQuery, base::Instant aNow);
  RequestLimiter& RequestLimits() { return m_requestLimits; }
  Backoff const* FindBackoff(UpstreamStart const& aStart) const { return m_backoffs.Find(aStart); }
  void OnTrialStarted(UpstreamChoice const& aChoice, base::Instant aNow);
  /// The upstream answered a trial request; aIsFull if it refused it again without
  /// a time.
  void OnTrialAnswered(UpstreamChoice const& aChoice, bool aIsFull);
  void OnTrialEnded(UpstreamChoice const& aChoice);
  std::vector<BackoffEnd> TakeBackoffEnds();
  /// The upstreams of these failure domains get no new requests from the given times on,
  /// and until then only those that no others can serve.
  void SetEvacuated(std::map<base::FailureDomainId, base::Instant> aDomains)
  {
    m_evacuated = std::move(aDomains);
  }
  /// The endpoints of starts that ended since the last call: their upstreams are out of
  /// use or have started again.
  std::vector<base::Endpoint> TakeEndedEndpoints();
  void SetMaximumDrainDelay(base::Duration aDelay) { m_limits.m_maximumDrainDelay = aDelay; }

  std::variant<UpstreamChoice, UpstreamAbsence> Find(UpstreamQuery const& aQuery,
                                                     base::Instant aNow);

  void OnSent(InstanceId const& aInstance, RequestWork aWork = RequestWork(1));

  /// Whether an upstream of the deployment holds the model.
  bool IsHeld(base::DeploymentId const& aDeployment, base::ModelId const& aModel,
              base::Instant aNow) const;

  /// Called when a request is sent to its upstream, for what is known of the demand.
  void OnDemand(UpstreamQuery const& aQuery, base::Instant aNow);
  /// An answer began after this time. Returns the time over what was expected.
  double OnAnswerTime(UpstreamChoice const& aChoice, base::Duration aTime);
  /// Called when a request that is suspected of crashing its upstream is sent, and
  /// when its answer begins or its attempt ends without one.
  void OnSuspectedSent(InstanceId const& aInstance);
  void OnSuspectedAnswered(InstanceId const& aInstance);
  /// The upstream has begun to answer one of the requests.
  void OnResponseStarted(InstanceId const& aInstance, RequestWork aWork = RequestWork(1));
  void OnDone(InstanceId const& aInstance, bool aHasBegun, RequestWork aWork = RequestWork(1));
  void OnServed(InstanceId const& aInstance);
  /// Returns for how long the upstream is paused, if it is from now on.
  std::optional<base::Duration> OnFailed(InstanceId const& aInstance, base::Instant aNow);
  /// The upstream did not acknowledge what was sent, or sends a response
  /// without end; it is paused at once.
  std::optional<base::Duration> OnStuck(InstanceId const& aInstance, base::Instant aNow);
  /// Another engine responded at the address, so the entry is out of date.
  void OnWrongInstance(InstanceId const& aInstance, base::Instant aNow);
  /// The engine does not hold a model that it was assumed to hold.
  void OnModelMissing(InstanceId const& aInstance, base::ModelId const& aModel, base::Instant aNow);

  /// Removes upstreams that are out of use and have no requests in flight. aListedAt
  /// is when the store last responded about the list.
  void Expire(base::Instant aListedAt, base::Instant aNow);
  /// The entries of all known upstreams, including unlisted ones that are still
  /// in use; used to contact their loaders.
  std::vector<UpstreamEntry> Entries() const;
  /// Changes whenever Entries() may have changed.
  std::uint64_t Revision() const { return m_revision; }
  std::size_t Size() const { return m_upstreams.size(); }
  /// Whether that start of the upstream is listed already, draining as in the entry.
  bool Knows(UpstreamEntry const& aEntry) const;
  /// Whether the upstream is listed and not draining.
  bool IsListed(InstanceId const& aInstance) const;
  std::size_t CountListed() const;
  /// Whether a request that has been prepared may still be sent to the chosen
  /// upstream. If not, another one should be chosen.
  bool MaySend(UpstreamChoice const& aChoice, base::Instant aNow) const;
  bool HasUpstreamOf(base::DeploymentId const& aDeployment) const;
  /// The requests of the busiest upstream of each deployment over the mean, as far as known.
  /// Deployments without requests are left out.
  std::map<base::DeploymentId, double> BusiestOverMean() const;

private:
  struct Upstream
  {
    UpstreamEntry m_entry;
    /// Until when an upstream that is no longer listed may be used.
    std::optional<base::Instant> m_usableUntil;
    /// Whether the entry may only have lapsed, so that the upstream is gone once the
    /// store responds without it.
    bool m_hasLapsed = false;
    /// Whether the list names the start as ready although it drained before.
    bool m_isDrainedDespiteList = false;
    /// An entry of a restored list is not believed before the store lists it at this
    /// time or later.
    std::optional<base::Instant> m_doubtedUntil;
    std::optional<LoaderStatus> m_loaderStatus;
    base::Instant m_loaderStatusAt{};
    UpstreamLoadModel m_load;
    /// Unanswered requests of this process that are suspected of crashing it.
    unsigned m_suspected = 0;
    unsigned m_failures = 0;
    base::Instant m_pausedUntil{};
    std::map<base::ModelId, base::Instant> m_missing;
  };

  void RemoveFromIndex(Upstream const& aUpstream);
  /// Whether the upstream is of the deployment and could serve the request now or
  /// after some time without requests.
  bool CouldServe(Upstream const& aUpstream, UpstreamQuery const& aQuery, base::Instant aNow) const;
  static bool IsListed(Upstream const& aUpstream);
  static UpstreamStart StartOf(UpstreamEntry const& aEntry);
  ListingOutcome Judge(UpstreamEntry const& aEntry, EntrySource aSource, base::Instant aNow);
  void ExpireDoubts(base::Instant aListedAt, base::Instant aNow);
  bool IsLeaving(Upstream const& aUpstream) const;
  bool IsCurrentTrial(UpstreamChoice const& aChoice) const;
  void OnStartEnded(UpstreamEntry const& aEntry, bool aIsRestart);
  /// Whether the list and the upstream's failures allow requests to it.
  static bool IsAvailable(Upstream const& aUpstream, base::Instant aNow);
  bool IsUsable(Upstream const& aUpstream, base::Instant aNow) const;
  bool IsEvacuated(Upstream const& aUpstream, base::Instant aNow) const;
  /// Whether the upstream serves only requests that no others can serve.
  bool IsLastResort(Upstream const& aUpstream) const;
  /// Whether the upstream is of the deployment, and of the software version and in a
  /// failure domain that the query allows.
  static bool Matches(Upstream const& aUpstream, UpstreamQuery const& aQuery);
  HeldModel const* FindModel(Upstream const& aUpstream, base::ModelId const& aModel,
                             base::Instant aNow) const;
  /// An upstream that can serve a request.
  struct Candidate
  {
    Upstream const* m_upstream = nullptr;
    bool m_lacksAdapter = false;
    bool m_isLeaving = false;
  };
  UpstreamLoadEstimate EstimateLoad(Upstream const& aUpstream, RequestWork aWork,
                                    base::Instant aNow) const;
  UpstreamCandidate CostOf(Candidate const& aCandidate, RequestWork aWork, bool aIsSuspected,
                           base::Instant aNow) const;
  double ExpectedOthers(std::vector<Candidate> const& aCandidates, UpstreamQuery const& aQuery,
                        base::Instant aNow) const;
  UpstreamChoice Choose(std::vector<Candidate> const& aCandidates, UpstreamQuery const& aQuery,
                        base::Instant aNow);
  /// Whether upstreams of the deployment state how slow their hosts are. Elsewhere they
  /// are alike, and the one that is known to have the least to do gets the request.
  bool IsUneven(base::DeploymentId const& aDeployment) const
  {
    return m_unevenDeployments.contains(aDeployment);
  }
  std::optional<base::Duration> Pause(Upstream& aUpstream, base::Instant aNow);
  bool MayPause(Upstream const& aUpstream, base::Instant aNow) const;

  DirectoryLimits m_limits;
  base::FailureDomainId m_localFailureDomain;
  std::mt19937_64 m_random;
  std::map<base::FailureDomainId, base::Instant> m_evacuated;
  std::set<base::DeploymentId> m_unevenDeployments;
  std::map<InstanceId, Upstream> m_upstreams;
  /// The upstreams by their address.
  std::multimap<base::Endpoint, Upstream*> m_byEndpoint;
  std::uint64_t m_revision = 0;
  LeavingUpstreams m_leaving;
  LeftUpstreams m_left;
  std::vector<LeavingEnd> m_leavingEnds;
  std::vector<base::Endpoint> m_endedEndpoints;
  std::map<base::DeploymentId, DeploymentUsage> m_usage;
  OthersDemand m_others;
  LevelChooser m_chooser;
  BackoffTable m_backoffs;
  WarmUpLimiter m_warmUps;
  RequestLimiter m_requestLimits;
  std::vector<BackoffEnd> m_backoffEnds;
};

} // namespace sardinefold::engine
