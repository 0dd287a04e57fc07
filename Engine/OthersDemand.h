#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Engine/DecayingRate.h"

#include <map>
#include <optional>
#include <utility>

namespace sardinefold::engine {

/// Estimates what the other gateways send from what this one sends: callers reach all of
/// them alike.
class OthersDemand
{
public:
  using Key = std::pair<base::DeploymentId, std::optional<base::ModelId>>;

  /// aGateways is the number of gateways, including this one.
  void SetGateways(unsigned aGateways) { m_gateways = aGateways; }
  void OnSent(Key const& aKey, base::Instant aNow);
  /// The number of requests that the others send in the given time.
  double Expected(Key const& aKey, base::Duration aTime, base::Instant aNow) const;

private:
  /// 1 until the number is known: nothing is assumed of others.
  unsigned m_gateways = 1;
  std::map<Key, DecayingRate> m_rates;
};

} // namespace sardinefold::engine
