#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sardinefold::programs {

/// Selects the loader that plans which models are loaded: the first by host name
/// among those with recent contact that can issue orders, so that gateways agree
/// without communicating. Two planners at a time only cost efficiency, since each
/// loader checks the orders that it receives.
class PlannerSelector
{
public:
  void OnLoader(base::HostId const& aHost, base::Endpoint const& aEndpoint, bool aCanOrder,
                base::Instant aNow)
  {
    if (!aCanOrder) {
      m_loaders.erase(aHost);
      return;
    }
    auto& loader = m_loaders[aHost];
    loader.m_endpoint = aEndpoint;
    loader.m_lastContactAt = aNow;
  }

  /// Called for each summary, with which the planner responds to a report.
  void OnSummary(base::Endpoint const& aPlanner, base::Instant aNow)
  {
    if (m_planner == aPlanner) {
      m_lastResponseAt = aNow;
    }
  }

  std::optional<base::Endpoint> Planner(base::Instant aNow)
  {
    // Loaders send their status at least twice in this time.
    static constexpr base::Duration kLoaderTimeout = std::chrono::milliseconds(2500);
    // A planner responds ten times a second.
    static constexpr base::Duration kPlannerTimeout = std::chrono::milliseconds(450);
    // Time until a loader that did not respond as the planner is tried again.
    static constexpr base::Duration kRetryPause = std::chrono::seconds(3);
    bool const isKnown = std::ranges::any_of(
      m_loaders, [this](auto const& aItem) { return aItem.second.m_endpoint == m_planner; });
    if (IsCatchingUp(aNow) && isKnown) {
      return m_planner;
    }
    std::erase_if(m_loaders, [aNow](auto const& aItem) {
      return aNow - aItem.second.m_lastContactAt > kLoaderTimeout;
    });
    if (m_planner && aNow - m_lastResponseAt > kPlannerTimeout) {
      for (auto& [host, loader] : m_loaders) {
        loader.m_pausedUntil =
          loader.m_endpoint == *m_planner ? aNow + kRetryPause : loader.m_pausedUntil;
      }
    }
    auto const first = std::ranges::find_if(
      m_loaders, [aNow](auto const& aItem) { return aItem.second.m_pausedUntil <= aNow; });
    auto const chosen =
      first == m_loaders.end() ? std::nullopt : std::optional(first->second.m_endpoint);
    if (chosen != m_planner) {
      m_planner = chosen;
      m_lastResponseAt = aNow;
    }
    return m_planner;
  }

private:
  /// Whether this process has been paused and may not have read yet what arrived
  /// meanwhile. Its own pause is no silence of others.
  bool IsCatchingUp(base::Instant aNow)
  {
    // Planner() is called ten times a second.
    static constexpr base::Duration kPause = std::chrono::milliseconds(250);
    static constexpr base::Duration kReadingTime = std::chrono::milliseconds(150);
    if (m_lastCallAt != base::Instant() && aNow - m_lastCallAt > kPause) {
      m_catchingUpUntil = aNow + kReadingTime;
    }
    m_lastCallAt = aNow;
    return aNow < m_catchingUpUntil;
  }

  struct Loader
  {
    base::Endpoint m_endpoint;
    base::Instant m_lastContactAt{};
    base::Instant m_pausedUntil{};
  };

  std::map<base::HostId, Loader> m_loaders;
  std::optional<base::Endpoint> m_planner;
  base::Instant m_lastResponseAt{};
  base::Instant m_lastCallAt{};
  base::Instant m_catchingUpUntil{};
};

} // namespace sardinefold::programs
