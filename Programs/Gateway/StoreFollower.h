#pragma once

#include "Agent/Fleet/StoreUpdateAssembler.h"
#include "Base/Digest.h"
#include "Base/Log.h"
#include "ObjectStore/WatchSession.h"
#include "Programs/Gateway/CatalogReader.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/StoreFollowerTiming.h"
#include "Programs/Gateway/UpstreamListing.h"
#include "Programs/ServingWire.h"
#include "Programs/StoreAccess.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Keeps a gateway's catalog and list of upstreams in step with the object store,
/// either by watching it or through updates from gateways of the same failure
/// domain that do. Relays changes to its neighbours.
template<ServingWire Wire>
class StoreFollower
{
public:
  explicit StoreFollower(GatewayState& aState)
    : m_state(aState)
    , m_store(aState.m_loop, aState.m_profile.m_objectStore, aState.m_metrics)
    , m_catalogWatch(aState.m_loop, m_store.Objects(), objectstore::ObjectKind::Catalog, {},
                     objectstore::CallPurpose::Configuration, StoreFollowerTiming::Catalog(),
                     base::RandomNumber())
    , m_upstreamWatch(aState.m_loop, m_store.Objects(), objectstore::ObjectKind::Upstream, {},
                      objectstore::CallPurpose::Membership,
                      StoreFollowerTiming::Upstreams(aState.m_profile.m_bounds),
                      base::RandomNumber())
    , m_catalogReader(aState.m_loop, aState.m_catalog, [this] { ApplyCatalog(); })
    , m_role(StoreFollowerTiming::RoleLimits(aState.m_profile.m_bounds), aState.m_profile.m_host)
    , m_outages(StoreFollowerTiming::OutageTrackerLimits(aState.m_profile.m_bounds))
  {
  }

  /// aOnCatalog is called whenever another catalog is in force.
  void Start(std::function<void()> aOnCatalog)
  {
    m_onCatalog = std::move(aOnCatalog);
    m_state.m_loop.Start(m_catalogWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) { OnCatalog(aChanges); },
      [this](base::Instant aNow) { return m_role.MaySuspendCatalogWatch(aNow); }));
    m_state.m_loop.Start(m_upstreamWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) {
        RecordRestoration("store", aChanges);
        OnUpstreams(aChanges);
      },
      [this](base::Instant aNow) { return m_role.MaySuspendListWatch(aNow); },
      [this](objectstore::ObjectUpdate const& aUpdate) {
        LogProgress("store", aUpdate);
        NotifyNeighbours(aUpdate);
      }));
  }

  void SetEndpoint(base::Endpoint aStore) { m_store.SetEndpoint(std::move(aStore)); }

  /// Takes the gateways of the failure domain, and which of them aggregate there.
  void OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours,
                    std::vector<base::Endpoint> aAggregators, base::Instant aNow)
  {
    m_role.OnNeighbours(std::move(aNeighbours), std::move(aAggregators), aNow);
  }

  /// Handles an update from a neighbour that watches the store.
  void OnStoreUpdate(agent::StoreUpdate const& aUpdate, base::Instant aNow)
  {
    if (auto const complete = m_updateAssembler.Add(aUpdate)) {
      ApplyUpdate(*complete, aNow);
    }
  }

  /// Another gateway has that version of the catalog in force.
  void OnCatalogAnnounced(base::CatalogVersion aVersion, base::Instant aNow)
  {
    auto& progress = m_state.m_catalogProgress;
    progress.OnAnnounced(aVersion, aNow);
    RecordHold(aNow);
    if (progress.IsBehind() && !m_catalogReader.IsReading()) {
      m_catalogWatch.CatchUp();
    }
  }

  /// Records that the store responded to another gateway at aAt.
  void OnStoreResponseElsewhere(base::Instant aAt) { m_outages.OnResponse(aAt); }

  /// To be called ten times a second.
  void Tick(base::Instant aNow)
  {
    constexpr unsigned kUpdateTicks =
      StoreFollowerTiming::kUpdateInterval / std::chrono::milliseconds(100);
    UpdateAvailability(aNow);
    RecordHold(aNow);
    m_store.SweepIdle(aNow);
    if (m_ticks++ % kUpdateTicks == 0) {
      auto const version = m_upstreamWatch.State().Version();
      NotifyNeighbours({ version, { version, {} } });
    }
  }

  /// The latest era of the store that is known here.
  base::StoreEra Era() const
  {
    return std::max(m_upstreamWatch.State().Version(), m_catalogWatch.State().Version()).Era();
  }
  /// Time since the store last responded to this process or a neighbour.
  base::Duration Age(base::Instant aNow) const { return std::min(ListAge(aNow), CatalogAge(aNow)); }
  /// The same for the list of upstreams.
  base::Duration ListAge(base::Instant aNow) const
  {
    return aNow - m_upstreamWatch.State().LastContact();
  }
  base::Duration CatalogAge(base::Instant aNow) const
  {
    return aNow - m_catalogWatch.State().LastContact();
  }

private:
  /// Logs when requests begin and cease to wait for a newer catalog.
  void RecordHold(base::Instant aNow)
  {
    auto const& progress = m_state.m_catalogProgress;
    bool const isHeld = progress.IsHeld(aNow);
    if (isHeld != std::exchange(m_isCatalogHeld, isHeld)) {
      base::log::Warning(isHeld ? "configuration is outdated" : "configuration counts again",
                         { { "version", std::to_string(progress.InForce()->Value()) },
                           { "newest", std::to_string(progress.Newest().Value()) } });
    }
  }

  void OnCatalog(objectstore::ObjectChanges const& aChanges)
  {
    for (auto const& change : aChanges.m_changes) {
      auto const* const put = std::get_if<objectstore::ObjectPut>(&change);
      if (!put || put->m_object.m_key.m_name != Wire::CatalogName()) {
        continue;
      }
      m_catalogReader.Read(put->m_object.m_value, put->m_object.m_version.Era());
    }
  }

  /// Called when another catalog is in force.
  void ApplyCatalog()
  {
    auto const version = m_state.m_catalog->Catalog().m_version;
    m_state.m_catalogProgress.OnApplied(version, m_state.m_loop.Now());
    std::map<base::WorkspaceId, entry::AllowanceLimit> allowances;
    for (auto const& workspace : m_state.m_catalog->Catalog().m_workspaces) {
      allowances[workspace.m_id] = { workspace.m_rate, workspace.m_burst };
    }
    m_state.m_allowance.SetLimits(allowances, m_state.m_loop.Now());
    m_onCatalog();
  }

  void OnUpstreams(objectstore::ObjectChanges const& aChanges)
  {
    auto const now = m_state.m_loop.Now();
    m_role.OnEra(aChanges.m_version.Era());
    m_catalogWatch.OnEra(aChanges.m_version.Era());
    UpdateAvailability(now);
    bool const isRestored = aChanges.m_restoredFrom.has_value();
    if (isRestored) {
      m_outages.OnRestored(now);
      m_state.m_directory.OnStoreRestored();
    }
    bool const isFirstList = std::exchange(m_awaitsFirstList, false);
    auto const lapseEnd = m_outages.LapseEnd(LossesOf(aChanges), now);
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const deleted = std::get_if<objectstore::ObjectDeleted>(&change)) {
        auto const instance = engine::InstanceId::FromValidated(deleted->m_key.m_name.Text());
        RecordRemoval(instance, m_state.m_directory.OnRemoved(instance, lapseEnd, now));
        continue;
      }
      auto const& object = std::get<objectstore::ObjectPut>(change).m_object;
      auto entry = Wire::DecodeUpstream(object.m_key.m_name.Text(), object.m_value);
      if (!entry) {
        base::log::Warning(
          "upstream entry is unusable",
          { { "upstream", object.m_key.m_name.Text() }, { "error", entry.error() } });
        // The entry may mark the upstream as draining.
        auto const instance = engine::InstanceId::FromValidated(object.m_key.m_name.Text());
        RecordRemoval(instance, m_state.m_directory.OnRemoved(instance, std::nullopt, now));
        continue;
      }
      auto const source = isRestored    ? engine::EntrySource::RestoredList
                          : isFirstList ? engine::EntrySource::FirstList
                                        : engine::EntrySource::Change;
      auto const outcome = RecordListed(m_state, std::move(*entry), source, now);
      if (outcome == engine::ListingOutcome::Superseded) {
        auto const instance = engine::InstanceId::FromValidated(object.m_key.m_name.Text());
        RecordRemoval(instance, m_state.m_directory.OnRemoved(instance, lapseEnd, now));
      }
    }
    m_state.NotifyAll();
  }

  entry::ListLosses LossesOf(objectstore::ObjectChanges const& aChanges) const
  {
    entry::ListLosses losses;
    for (auto const& change : aChanges.m_changes) {
      auto const* const deleted = std::get_if<objectstore::ObjectDeleted>(&change);
      bool const isMissing =
        deleted && m_state.m_directory.IsListed(
                     engine::InstanceId::FromValidated(deleted->m_key.m_name.Text()));
      losses.m_missing += isMissing ? 1 : 0;
    }
    losses.m_kept = m_state.m_directory.CountListed() - losses.m_missing;
    return losses;
  }

  void RecordRemoval(engine::InstanceId const& aInstance, engine::RemovalCause aReading)
  {
    base::log::Info("upstream unlisted",
                    { { "upstream", aInstance.Text() },
                      { "taken_for", std::string(ToText(aReading)) },
                      { "outage_ms", std::to_string(base::ToMilliseconds(m_lastOutage)) },
                      { "outage_for_all_ms",
                        std::to_string(base::ToMilliseconds(m_outages.LastOutageLength())) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_upstreams_unlisted_total",
               "Upstreams that went from the list, by what that was taken for.",
               { { "taken_for", std::string(ToText(aReading)) } })
      .Increment();
  }

  void ApplyUpdate(agent::StoreUpdate const& aUpdate, base::Instant aNow)
  {
    auto const era = aUpdate.m_changes.m_version.Era();
    m_role.OnUpdate(aUpdate.m_host, era, aUpdate.m_listAge, aUpdate.m_catalogAge, aNow);
    if (era < m_upstreamWatch.State().Version().Era()) {
      // The neighbour has not heard yet that the store came back from a copy.
      return;
    }
    m_catalogWatch.OnEra(era);
    m_outages.OnResponse(aNow - std::min(aUpdate.m_listAge, aUpdate.m_catalogAge));
    auto const known = m_upstreamWatch.State().Version();
    objectstore::ObjectUpdate const update{ aUpdate.m_from, aUpdate.m_changes };
    auto const changes = m_upstreamWatch.ApplyRelayed(update, aNow - aUpdate.m_listAge);
    if (m_upstreamWatch.State().Version() > known) {
      LogProgress(aUpdate.m_host.Text(), update);
    } else if (aUpdate.m_changes.m_version > known) {
      base::log::Info("relayed update leaves a gap",
                      { { "source", aUpdate.m_host.Text() },
                        { "from", FromText(update) },
                        { "to", std::to_string(aUpdate.m_changes.m_version.Value()) },
                        { "known", std::to_string(known.Value()) } });
    }
    if (!changes.m_changes.empty() || changes.m_restoredFrom) {
      RecordRestoration(aUpdate.m_host.Text(), changes);
      OnUpstreams(changes);
    }
    OnCatalogAnnounced(aUpdate.m_catalog, aNow);
  }

  /// Logs and counts that the list is the first one since the store came back from
  /// a copy.
  void RecordRestoration(std::string const& aSource, objectstore::ObjectChanges const& aChanges)
  {
    auto const known = aChanges.m_restoredFrom;
    if (!known) {
      return;
    }
    auto const& version = aChanges.m_version;
    base::log::Warning("store came back from a copy",
                       { { "source", aSource },
                         { "era_before", std::to_string(known->Era().Value()) },
                         { "era", std::to_string(version.Era().Value()) },
                         { "known", std::to_string(known->Value()) },
                         { "version", std::to_string(version.Value()) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_store_restorations_total",
               "How often the list of upstreams was read anew because the store came back from a "
               "copy.")
      .Increment();
  }

  static std::string FromText(objectstore::ObjectUpdate const& aUpdate)
  {
    return aUpdate.m_from ? std::to_string(aUpdate.m_from->Value()) : "list";
  }

  /// Logs from which version to which an update leads.
  static void LogProgress(std::string const& aSource, objectstore::ObjectUpdate const& aUpdate)
  {
    base::log::Info("upstream list advanced",
                    { { "source", aSource },
                      { "from", FromText(aUpdate) },
                      { "to", std::to_string(aUpdate.m_changes.m_version.Value()) },
                      { "changes", std::to_string(aUpdate.m_changes.m_changes.size()) } });
  }

  /// Sends an update to the neighbours that follow this process, or only the age
  /// of its data if the update holds nothing new.
  void NotifyNeighbours(objectstore::ObjectUpdate const& aUpdate)
  {
    auto const now = m_state.m_loop.Now();
    auto const listeners = m_role.UpdateRecipients(now);
    if (listeners.empty()) {
      return;
    }
    agent::StoreUpdate news;
    news.m_host = m_state.m_profile.m_host;
    news.m_from = aUpdate.m_from;
    news.m_changes = aUpdate.m_changes;
    news.m_catalog =
      m_state.m_catalog ? m_state.m_catalog->Catalog().m_version : base::CatalogVersion();
    news.m_listAge = now - m_upstreamWatch.State().LastContact();
    news.m_catalogAge = now - m_catalogWatch.State().LastContact();
    bool const isAgeOnly = news.m_from == news.m_changes.m_version;
    if (isAgeOnly && !m_outbox.empty()) {
      // It would name a version whose changes are still to be sent.
      return;
    }
    for (auto& part : agent::SplitStoreUpdate(agent::WithoutSuperseded(std::move(news)))) {
      m_outbox.push_back(std::move(part));
    }
    if (!m_isSending) {
      m_isSending = true;
      m_state.m_loop.Start(SendOutbox());
    }
  }

  /// Sends the parts of updates one after the other, as a burst of all would be lost
  /// on the links of small hosts.
  boost::asio::awaitable<void> SendOutbox()
  {
    while (!m_outbox.empty()) {
      m_state.m_messenger.SendToEach(m_role.UpdateRecipients(m_state.m_loop.Now()),
                                     m_outbox.front());
      m_outbox.pop_front();
      if (!m_outbox.empty()) {
        co_await m_state.m_loop.Sleep(StoreFollowerTiming::kPartInterval);
      }
    }
    m_isSending = false;
  }

  /// Logs when the store becomes unavailable, and when it responds again, with the
  /// length of the outage.
  void UpdateAvailability(base::Instant aNow)
  {
    auto const lastContact = m_upstreamWatch.State().LastContact();
    m_outages.OnResponse(std::max(lastContact, m_catalogWatch.State().LastContact()));
    bool const isUnavailable =
      m_upstreamWatch.State().HasListed() &&
      aNow - lastContact > StoreFollowerTiming::UnavailabilityTimeout(m_state.m_profile.m_bounds);
    if (isUnavailable && !m_isStoreUnavailable) {
      m_unavailableSince = lastContact;
      base::log::Warning(
        "store unavailable",
        { { "silent_ms", std::to_string(base::ToMilliseconds(aNow - lastContact)) },
          { "silent_to_all_ms",
            std::to_string(base::ToMilliseconds(m_outages.TimeSinceResponse(aNow))) } });
    }
    if (!isUnavailable && m_isStoreUnavailable) {
      m_lastOutage = lastContact - m_unavailableSince;
      base::log::Info("store available again",
                      { { "silent_ms", std::to_string(base::ToMilliseconds(m_lastOutage)) },
                        { "silent_to_all_ms",
                          std::to_string(base::ToMilliseconds(m_outages.LastOutageLength())) } });
    }
    m_isStoreUnavailable = isUnavailable;
  }

  GatewayState& m_state;
  StoreAccess<typename Wire::StoreClient> m_store;
  objectstore::WatchSession<typename Wire::StoreClient> m_catalogWatch;
  objectstore::WatchSession<typename Wire::StoreClient> m_upstreamWatch;
  CatalogReader<Wire> m_catalogReader;
  entry::WatchRole m_role;
  agent::StoreUpdateAssembler m_updateAssembler;
  /// Parts of updates that are yet to be sent to the neighbours.
  std::deque<agent::StoreUpdate> m_outbox;
  bool m_isSending = false;
  std::function<void()> m_onCatalog;
  entry::OutageTracker m_outages;
  /// When the store last responded before its latest outage as seen by this
  /// process, and the length of that outage.
  base::Instant m_unavailableSince{};
  base::Duration m_lastOutage{};
  bool m_isStoreUnavailable = false;
  bool m_isCatalogHeld = false;
  bool m_awaitsFirstList = true;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
