#pragma once

#include "Agent/Fleet/StoreUpdateAssembler.h"
#include "Base/Digest.h"
#include "Base/Log.h"
#include "ObjectStore/WatchSession.h"
#include "Programs/Gateway/FeedTiming.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/ServingWire.h"
#include "Programs/StoreAccess.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Keeps a gateway's catalog and its list of upstreams as the object store has
/// them: by watching it, or by the news of others of its failure domain that
/// do. Tells its neighbours what it hears.
template<ServingWire Wire>
class StoreFeed
{
public:
  explicit StoreFeed(GatewayState& aState)
    : m_state(aState)
    , m_store(aState.m_loop, aState.m_profile.m_objectStore, aState.m_metrics)
    , m_catalogWatch(aState.m_loop, m_store.Objects(), objectstore::ObjectKind::Catalog, {},
                     objectstore::CallPurpose::Configuration, FeedTiming::Catalog(),
                     base::RandomNumber())
    , m_upstreamWatch(aState.m_loop, m_store.Objects(), objectstore::ObjectKind::Upstream, {},
                      objectstore::CallPurpose::Membership,
                      FeedTiming::Upstreams(aState.m_profile.m_bounds), base::RandomNumber())
    , m_duty(FeedTiming::Duty(aState.m_profile.m_bounds), aState.m_profile.m_host)
    , m_outages(FeedTiming::Outages(aState.m_profile.m_bounds))
  {
  }

  /// aOnCatalog is called each time that another catalog is in force.
  void Start(std::function<void()> aOnCatalog)
  {
    m_onCatalog = std::move(aOnCatalog);
    m_state.m_loop.Start(m_catalogWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) { OnCatalog(aChanges); },
      [this](base::Instant aNow) { return m_duty.MaySuspendCatalogWatch(aNow); }));
    m_state.m_loop.Start(m_upstreamWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) {
        OnUpstreams(aChanges);
        TellNeighbours(aChanges);
      },
      [this](base::Instant aNow) { return m_duty.MaySuspendListWatch(aNow); }));
  }

  void MoveTo(base::Endpoint aStore) { m_store.MoveTo(std::move(aStore)); }

  void OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours, base::Instant aNow)
  {
    m_duty.OnNeighbours(std::move(aNeighbours), aNow);
  }

  /// News of a neighbour that watches the store.
  void OnStoreUpdate(agent::StoreUpdate const& aNews, base::Instant aNow)
  {
    if (auto const whole = m_newsParts.Add(aNews)) {
      TakeNews(*whole, aNow);
    }
  }

  /// The store answered another gateway at that time.
  void OnAnsweredElsewhere(base::Instant aAt) { m_outages.OnResponse(aAt); }

  /// To be called ten times a second.
  void Tick(base::Instant aNow)
  {
    constexpr unsigned kNewsInterval = 2;
    NoteStore(aNow);
    if (m_ticks++ % kNewsInterval == 0) {
      TellNeighbours({ m_upstreamWatch.State().Version(), {} });
    }
  }

  /// Time since the store last answered, here or to a neighbour.
  base::Duration Age(base::Instant aNow) const { return std::min(ListAge(aNow), CatalogAge(aNow)); }
  /// The same, about the list of upstreams.
  base::Duration ListAge(base::Instant aNow) const
  {
    return aNow - m_upstreamWatch.State().LastHeard();
  }
  base::Duration CatalogAge(base::Instant aNow) const
  {
    return aNow - m_catalogWatch.State().LastHeard();
  }

private:
  void OnCatalog(objectstore::ObjectChanges const& aChanges)
  {
    for (auto const& change : aChanges.m_changes) {
      auto const* const put = std::get_if<objectstore::ObjectPut>(&change);
      if (!put || put->m_object.m_key.m_name != Wire::CatalogName()) {
        continue;
      }
      auto catalog = Wire::DecodeCatalog(put->m_object.m_value);
      if (!catalog) {
        base::log::Error("configuration is unusable", { { "error", catalog.error() } });
        continue;
      }
      PutInForce(std::move(*catalog));
    }
  }

  void PutInForce(operators::ServingCatalog aCatalog)
  {
    auto const version = aCatalog.m_version;
    if (m_state.m_catalog && m_state.m_catalog->Catalog().m_version >= version) {
      return;
    }
    std::map<base::WorkspaceId, entry::AllowanceLimit> allowances;
    for (auto const& workspace : aCatalog.m_workspaces) {
      allowances[workspace.m_id] = { workspace.m_rate, workspace.m_burst };
    }
    m_state.m_allowance.SetLimits(allowances, m_state.m_loop.Now());
    m_state.m_catalog = std::make_unique<caller::CatalogIndex>(std::move(aCatalog));
    base::log::Info("configuration in force", { { "version", std::to_string(version.Value()) } });
    m_onCatalog();
  }

  void OnUpstreams(objectstore::ObjectChanges const& aChanges)
  {
    auto const now = m_state.m_loop.Now();
    NoteStore(now);
    auto const lapseEnd = m_outages.LapseEnd(LossesOf(aChanges), now);
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const deleted = std::get_if<objectstore::ObjectDeleted>(&change)) {
        auto const instance = engine::InstanceId::FromValidated(deleted->m_key.m_name.Text());
        NoteRemoval(instance, m_state.m_directory.OnRemoved(instance, lapseEnd, now));
        continue;
      }
      auto const& object = std::get<objectstore::ObjectPut>(change).m_object;
      auto entry = Wire::DecodeUpstream(object.m_key.m_name.Text(), object.m_value);
      if (!entry) {
        base::log::Warning(
          "upstream entry is unusable",
          { { "upstream", object.m_key.m_name.Text() }, { "error", entry.error() } });
        // What it says may be that the upstream leaves.
        auto const instance = engine::InstanceId::FromValidated(object.m_key.m_name.Text());
        NoteRemoval(instance, m_state.m_directory.OnRemoved(instance, std::nullopt, now));
        continue;
      }
      base::log::Info("upstream listed", { { "upstream", entry->m_instance.Text() },
                                           { "deployment", entry->m_deployment.Text() },
                                           { "leaving", entry->m_isLeaving ? "true" : "false" } });
      m_state.m_directory.OnListed(std::move(*entry), now);
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

  void NoteRemoval(engine::InstanceId const& aInstance, engine::RemovalReading aReading)
  {
    base::log::Info("upstream unlisted",
                    { { "upstream", aInstance.Text() },
                      { "taken_for", std::string(ToText(aReading)) },
                      { "outage_ms", std::to_string(base::ToMilliseconds(m_silence)) },
                      { "outage_for_all_ms",
                        std::to_string(base::ToMilliseconds(m_outages.LastOutageLength())) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_upstreams_unlisted_total",
               "Upstreams that went from the list, by what that was taken for.",
               { { "taken_for", std::string(ToText(aReading)) } })
      .Increment();
  }

  void TakeNews(agent::StoreUpdate const& aNews, base::Instant aNow)
  {
    m_duty.OnUpdate(aNews.m_host, aNews.m_listAge, aNews.m_catalogAge, aNow);
    m_outages.OnResponse(aNow - std::min(aNews.m_listAge, aNews.m_catalogAge));
    auto const changes =
      m_upstreamWatch.TakeRelayed(aNews.m_from, aNews.m_changes, aNow - aNews.m_listAge);
    // Should this process tell others next, its news starts from here.
    m_toldNeighbours = m_upstreamWatch.State().Version();
    if (!changes.m_changes.empty()) {
      OnUpstreams(changes);
    }
    bool const hasOlder =
      !m_state.m_catalog || m_state.m_catalog->Catalog().m_version < aNews.m_catalog;
    if (hasOlder) {
      m_catalogWatch.CatchUp();
    }
  }

  /// Tells the neighbours that follow this process what has changed, or only
  /// how fresh its news is.
  void TellNeighbours(objectstore::ObjectChanges const& aChanges)
  {
    auto const now = m_state.m_loop.Now();
    auto const from = std::exchange(m_toldNeighbours, aChanges.m_version);
    auto const listeners = m_duty.UpdateRecipients(now);
    if (listeners.empty()) {
      return;
    }
    agent::StoreUpdate news;
    news.m_host = m_state.m_profile.m_host;
    news.m_from = from;
    news.m_changes = aChanges;
    news.m_catalog =
      m_state.m_catalog ? m_state.m_catalog->Catalog().m_version : base::CatalogVersion();
    news.m_listAge = now - m_upstreamWatch.State().LastHeard();
    news.m_catalogAge = now - m_catalogWatch.State().LastHeard();
    for (auto const& part : agent::SplitStoreUpdate(news)) {
      for (auto const& listener : listeners) {
        m_state.m_messenger.Send(listener, part);
      }
    }
  }

  /// Tells when the store falls silent and when it answers again, and for how
  /// long it had been silent.
  void NoteStore(base::Instant aNow)
  {
    auto const heard = m_upstreamWatch.State().LastHeard();
    m_outages.OnResponse(std::max(heard, m_catalogWatch.State().LastHeard()));
    bool const isAway = m_upstreamWatch.State().HasListed() &&
                        aNow - heard > FeedTiming::SilenceLimit(m_state.m_profile.m_bounds);
    if (isAway && !m_isStoreAway) {
      m_lostSince = heard;
      base::log::Warning("store is lost",
                         { { "silent_ms", std::to_string(base::ToMilliseconds(aNow - heard)) },
                           { "silent_to_all_ms", std::to_string(base::ToMilliseconds(
                                                   m_outages.TimeSinceResponse(aNow))) } });
    }
    if (!isAway && m_isStoreAway) {
      m_silence = heard - m_lostSince;
      base::log::Info("store is back",
                      { { "silent_ms", std::to_string(base::ToMilliseconds(m_silence)) },
                        { "silent_to_all_ms",
                          std::to_string(base::ToMilliseconds(m_outages.LastOutageLength())) } });
    }
    m_isStoreAway = isAway;
  }

  GatewayState& m_state;
  StoreAccess<typename Wire::StoreClient> m_store;
  objectstore::WatchSession<typename Wire::StoreClient> m_catalogWatch;
  objectstore::WatchSession<typename Wire::StoreClient> m_upstreamWatch;
  entry::WatchRole m_duty;
  agent::StoreUpdateAssembler m_newsParts;
  std::function<void()> m_onCatalog;
  /// Version of the list up to which neighbours were told.
  base::ObjectVersion m_toldNeighbours;
  entry::OutageTracker m_outages;
  /// Before the last silence towards this process, and its length.
  base::Instant m_lostSince{};
  base::Duration m_silence{};
  bool m_isStoreAway = false;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
