#pragma once

#include "Engine/EngineTypes.h"

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
  /// How long a loader's account of its engine counts.
  base::Duration m_maximumStatusAge = std::chrono::milliseconds(2500);
  /// First pause after failures; doubles with each further one.
  base::Duration m_pause = std::chrono::milliseconds(300);
  base::Duration m_maximumPause = std::chrono::seconds(5);
  /// Failures in a row that pause an upstream.
  unsigned m_failures = 2;
  /// Largest part of a deployment's upstreams that is paused at once.
  double m_maximumPausedShare = 0.5;
  /// Cost of another failure domain, as a number of requests whose prompts are
  /// still to be read: bytes across are dear, a missed goal is dearer.
  double m_remoteDomainCost = 1.5;
  /// Cost of a running request, on the same scale: it slows each step a little.
  double m_running = 0.15;
};

/// What a request needs of an upstream.
struct UpstreamQuery
{
  base::DeploymentId m_deployment;
  std::optional<base::ModelId> m_model;
  std::optional<base::AdapterId> m_adapter;
  /// Upstreams that the request has been to.
  std::set<InstanceId> m_excluded;
};

/// What is known of an upstream's load.
struct UpstreamLoadEstimate
{
  /// Requests that it has not begun to answer, from here and from others.
  unsigned m_unanswered = 0;
  unsigned m_running = 0;
  /// Age of the account by the loader beside it, if there is one.
  std::optional<base::Duration> m_loaderStatusAge;
  /// No longer listed, and kept in use as its entry may have lapsed.
  bool m_isUnlisted = false;
};

/// What a removal from the list was taken for.
enum class RemovalCause
{
  /// The upstream was not listed before.
  Unknown,
  Left,
  /// The store did not take its heartbeats; it stays in use for a while.
  Lapsed
};
std::string_view ToText(RemovalCause aReading);

/// The upstream for a request.
struct UpstreamChoice
{
  InstanceId m_instance;
  /// Of the start that the list names; see UpstreamEntry.
  std::int64_t m_startedAt = 0;
  base::Endpoint m_endpoint;
  /// The model is there and its adapter is not.
  bool m_lacksAdapter = false;
  /// What the choice was based on.
  UpstreamLoadEstimate m_loadEstimate;
};

/// Why there is no upstream for a request.
enum class UpstreamAbsence
{
  /// No usable upstream of the deployment is known.
  NoUpstream,
  /// Upstreams are there, and none holds the model.
  ModelNotLoaded
};

std::string_view ToText(UpstreamAbsence aAbsence);

/// The account of an engine by the loader beside it.
struct LoaderStatus
{
  base::Endpoint m_engine;
  std::vector<HeldModel> m_models;
  /// A model that is being dropped takes no new request.
  std::optional<base::ModelId> m_unloading;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  /// Counts the loader's accounts since its start.
  std::uint64_t m_number = 0;
};

/// Knows the engines and services, what they hold and how busy they are, and
/// chooses one for each request.
class UpstreamDirectory
{
public:
  UpstreamDirectory(DirectoryLimits aLimits, base::FailureDomainId aLocalFailureDomain,
                    std::uint64_t aSeed);

  /// An entry was listed or has changed.
  void OnListed(UpstreamEntry aEntry, base::Instant aNow);
  /// The entry is no longer listed. It may have lapsed for want of a store that
  /// takes heartbeats, and the upstream stays in use until the given time; else
  /// it has left.
  RemovalCause OnRemoved(InstanceId const& aInstance, std::optional<base::Instant> aLapseEnd,
                         base::Instant aNow);
  /// Returns whether models became available.
  bool OnLoaderStatus(LoaderStatus aStatus, base::Instant aNow);
  /// The loader's account with that number still holds. False if another one
  /// is known here.
  bool OnStatusUnchanged(base::Endpoint const& aEngine, std::uint64_t aNumber, unsigned aRunning,
                         unsigned aWaiting, base::Instant aNow);
  /// An answer told how many requests run and wait there.
  void OnLoadReported(InstanceId const& aInstance, unsigned aRunning, unsigned aWaiting);

  std::variant<UpstreamChoice, UpstreamAbsence> Find(UpstreamQuery const& aQuery,
                                                     base::Instant aNow);

  void OnSent(InstanceId const& aInstance);
  /// The upstream has begun to answer one of the requests.
  void OnResponseStarted(InstanceId const& aInstance);
  void OnDone(InstanceId const& aInstance, bool aHasBegun);
  void OnServed(InstanceId const& aInstance);
  /// Returns for how long the upstream is paused, if it is from now on.
  std::optional<base::Duration> OnFailed(InstanceId const& aInstance, base::Instant aNow);
  /// The upstream did not even acknowledge what was sent, or answers without end,
  /// so that it is paused at once.
  std::optional<base::Duration> OnStuck(InstanceId const& aInstance, base::Instant aNow);
  /// Another engine answered at the address; the entry is out of date.
  void OnWrongInstance(InstanceId const& aInstance, base::Instant aNow);
  /// The engine does not hold a model that it was believed to hold.
  void OnModelMissing(InstanceId const& aInstance, base::ModelId const& aModel, base::Instant aNow);

  /// Drops entries whose time is over.
  void Expire(base::Instant aNow);
  /// The listed upstreams, for those who talk to the loaders beside them.
  std::vector<UpstreamEntry> Entries() const;
  std::size_t Size() const { return m_upstreams.size(); }
  /// Whether the upstream is listed and not known to be leaving.
  bool IsListed(InstanceId const& aInstance) const;
  std::size_t CountListed() const;
  /// Whether requests may be sent to the upstream.
  bool IsUsable(InstanceId const& aInstance, base::Instant aNow) const;
  bool HasUpstreamOf(base::DeploymentId const& aDeployment) const;

private:
  struct Upstream
  {
    UpstreamEntry m_entry;
    /// When an upstream that is no longer listed goes out of use.
    std::optional<base::Instant> m_usableUntil;
    std::optional<LoaderStatus> m_loaderStatus;
    base::Instant m_loaderStatusAt{};
    /// Requests from here under way, and how many were when others were told.
    unsigned m_inFlight = 0;
    /// Of these, the ones that the upstream has not begun to answer.
    unsigned m_unanswered = 0;
    unsigned m_othersRunning = 0;
    unsigned m_othersWaiting = 0;
    unsigned m_failures = 0;
    base::Instant m_pausedUntil{};
    std::map<base::ModelId, base::Instant> m_missing;
  };

  static bool IsListed(Upstream const& aUpstream);
  bool IsUsable(Upstream const& aUpstream, base::Instant aNow) const;
  HeldModel const* FindModel(Upstream const& aUpstream, base::ModelId const& aModel,
                             base::Instant aNow) const;
  static UpstreamLoadEstimate EstimateLoad(Upstream const& aUpstream, base::Instant aNow);
  double CostOf(Upstream const& aUpstream, bool aLacksAdapter, base::Instant aNow);
  std::optional<base::Duration> Pause(Upstream& aUpstream, base::Instant aNow);
  static void UpdateOthersLoad(Upstream& aUpstream, unsigned aRunning, unsigned aWaiting);
  bool MayPause(Upstream const& aUpstream, base::Instant aNow) const;

  DirectoryLimits m_limits;
  base::FailureDomainId m_localFailureDomain;
  std::mt19937_64 m_random;
  std::map<InstanceId, Upstream> m_upstreams;
};

} // namespace sardinefold::engine
