#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <map>
#include <optional>

namespace sardinefold::programs {

/// Picks the loader that plans which models are loaded: of those heard lately
/// and able to give orders the first by name, so that gateways agree without
/// asking. Two planners at a time cost efficiency only, since each loader
/// checks what it is asked for.
class PlannerChoice
{
public:
  void OnLoader(base::HostId const& aHost, base::Endpoint const& aEndpoint, bool aCanOrder,
                base::Instant aNow)
  {
    if (aCanOrder) {
      m_loaders[aHost] = { aEndpoint, aNow };
    } else {
      m_loaders.erase(aHost);
    }
  }

  std::optional<base::Endpoint> Planner(base::Instant aNow)
  {
    // Loaders tell their state at least three times in this time.
    static constexpr base::Duration kSilence = std::chrono::milliseconds(1200);
    std::erase_if(m_loaders,
                  [aNow](auto const& aItem) { return aNow - aItem.second.m_heardAt > kSilence; });
    return m_loaders.empty() ? std::nullopt : std::optional(m_loaders.begin()->second.m_endpoint);
  }

private:
  struct Loader
  {
    base::Endpoint m_endpoint;
    base::Instant m_heardAt;
  };

  std::map<base::HostId, Loader> m_loaders;
};

} // namespace sardinefold::programs
