#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Base/Digest.h"
#include "Base/Log.h"
#include "ObjectStore/WatchSession.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/StoreFollowerTiming.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sardinefold::programs {

/// Keeps the evacuations in force at a gateway in step with the object store, by watching
/// it or by what other gateways know. Makes no call where the site has no evacuations.
template<objectstore::ObjectStore Store>
class EvacuationFollower
{
public:
  EvacuationFollower(GatewayState& aState, Store& aStore)
    : m_state(aState)
    , m_watch(aState.m_loop, aStore, objectstore::ObjectKind::Evacuation, {},
              objectstore::CallPurpose::Membership,
              StoreFollowerTiming::Evacuations(aState.m_profile.m_bounds), base::RandomNumber())
    , m_maximumAge(StoreFollowerTiming::EvacuationAge(aState.m_profile.m_bounds))
  {
  }

  /// aMayRely tells whether another gateway watches for this one; aOnChange is called
  /// when an evacuation comes into force or ends.
  template<std::predicate<base::Instant> MayRely>
  void Start(MayRely aMayRely, std::function<void()> aOnChange)
  {
    m_onChange = std::move(aOnChange);
    if (!m_state.m_followsEvacuations) {
      return;
    }
    m_state.m_loop.Start(m_watch.Run(
      [this](objectstore::ObjectChanges const& aChanges) { OnChanges(aChanges, kStore); },
      [this, aMayRely](base::Instant aNow) { return aMayRely(aNow) && Age(aNow) < m_maximumAge; }));
  }

  /// Records an era that the store has reached.
  void OnEra(base::StoreEra aEra) { m_watch.OnEra(aEra); }

  /// Takes what a gateway of the failure domain passes on.
  void OnRelayed(agent::StoreUpdate::Evacuations const& aEvacuations, std::string const& aSource,
                 base::Instant aNow)
  {
    if (!m_state.m_followsEvacuations) {
      return;
    }
    if (m_watch.State().HasListed()) {
      objectstore::ObjectUpdate update{ std::nullopt, { aEvacuations.m_state.m_version, {} } };
      for (auto const& domain : aEvacuations.m_state.m_domains) {
        update.m_changes.m_changes.emplace_back(
          objectstore::ObjectPut{ { KeyOf(domain), aEvacuations.m_state.m_version, "", {} } });
      }
      OnChanges(m_watch.ApplyRelayed(update, aNow - aEvacuations.m_age), aSource);
    }
    Take(aEvacuations.m_state, aNow - aEvacuations.m_age, aSource, aNow);
  }

  /// Takes what the store held at some version, from whichever process knows it.
  void OnState(entry::EvacuationState aState, std::string const& aSource, base::Instant aNow)
  {
    if (m_state.m_followsEvacuations) {
      Take(std::move(aState), std::nullopt, aSource, aNow);
    }
  }

  /// What the other gateways of the failure domain may take; none before it is known.
  std::optional<agent::StoreUpdate::Evacuations> ToRelay(base::Instant aNow) const
  {
    auto const& state = m_state.m_evacuations.State();
    return state ? std::optional(agent::StoreUpdate::Evacuations{ *state, Age(aNow) })
                 : std::nullopt;
  }

  /// To be called ten times a second, with the version of the list of upstreams.
  void Tick(base::ObjectVersion aListVersion, base::Instant aNow)
  {
    if (m_watch.State().HasListed()) {
      // A watch that ends without changes confirms what is known.
      TakeWatched(kStore, aNow);
    }
    Apply(m_state.m_evacuations.Expire(aListVersion, aNow), "list of upstreams or time", aNow);
  }

private:
  static constexpr char kStore[] = "store";

  static objectstore::ObjectKey KeyOf(base::FailureDomainId const& aDomain)
  {
    return { objectstore::ObjectKind::Evacuation,
             objectstore::ObjectName::FromValidated(aDomain.Text()) };
  }

  base::Duration Age(base::Instant aNow) const { return aNow - m_watch.State().LastContact(); }

  void OnChanges(objectstore::ObjectChanges const& aChanges, std::string const& aSource)
  {
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const deleted = std::get_if<objectstore::ObjectDeleted>(&change)) {
        m_listed.erase(DomainOf(deleted->m_key));
      } else {
        m_listed.insert(DomainOf(std::get<objectstore::ObjectPut>(change).m_object.m_key));
      }
    }
    TakeWatched(aSource, m_state.m_loop.Now());
  }

  void TakeWatched(std::string const& aSource, base::Instant aNow)
  {
    auto const& watch = m_watch.State();
    Take({ watch.Version(), m_listed }, watch.LastContact(), aSource, aNow);
  }

  void Take(entry::EvacuationState aState, std::optional<base::Instant> aHeldAt,
            std::string const& aSource, base::Instant aNow)
  {
    Apply(m_state.m_evacuations.OnState(std::move(aState), aHeldAt, aNow), aSource, aNow);
  }

  static base::FailureDomainId DomainOf(objectstore::ObjectKey const& aKey)
  {
    return base::FailureDomainId::FromValidated(aKey.m_name.Text());
  }

  void Apply(std::vector<entry::EvacuationChange> const& aChanges, std::string const& aSource,
             base::Instant aNow)
  {
    if (aChanges.empty()) {
      return;
    }
    auto const& evacuations = m_state.m_evacuations;
    for (auto const& change : aChanges) {
      auto const timeLeft = base::ToMilliseconds(change.m_end - aNow);
      base::log::Warning(
        change.m_isInForce ? "evacuation in force" : "evacuation taken back",
        { { "failure_domain", change.m_domain.Text() },
          { "version", std::to_string(evacuations.State()->m_version.Value()) },
          { "era", std::to_string(evacuations.State()->m_version.Era().Value()) },
          { "source", aSource },
          { "last_use_ms",
            change.m_isInForce ? std::to_string(std::max<std::int64_t>(timeLeft, 0)) : "" } });
    }
    m_state.m_metrics
      .Gauge("sardinefold_gateway_evacuated_domains",
             "Failure domains whose upstreams get no new requests.")
      .Set(static_cast<double>(evacuations.InForce().size()));
    m_state.m_directory.SetEvacuated(evacuations.InForce());
    m_state.NotifyAll();
    m_onChange();
  }

  GatewayState& m_state;
  objectstore::WatchSession<Store> m_watch;
  base::Duration m_maximumAge;
  /// The failure domains that the store names, at the version of the watch.
  std::set<base::FailureDomainId> m_listed;
  std::function<void()> m_onChange;
};

} // namespace sardinefold::programs
