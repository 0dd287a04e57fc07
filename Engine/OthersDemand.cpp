#include "Engine/OthersDemand.h"

namespace sardinefold::engine {

namespace {

/// Long enough for some requests of one gateway, short enough for demand that moves.
constexpr base::Duration kAveragedOver = std::chrono::seconds(4);

} // namespace

void OthersDemand::OnSent(Key const& aKey, base::Instant aNow)
{
  auto found = m_rates.find(aKey);
  if (found == m_rates.end()) {
    // Counted as if observed before, as a first request says little about the rate.
    found = m_rates.emplace(aKey, DecayingRate(kAveragedOver, aNow - 2 * kAveragedOver)).first;
  }
  found->second.OnEvent(aNow);
}

double OthersDemand::Expected(Key const& aKey, base::Duration aTime, base::Instant aNow) const
{
  auto const found = m_rates.find(aKey);
  if (found == m_rates.end() || m_gateways <= 1) {
    return 0;
  }
  return found->second.PerSecond(aNow) * base::ToSeconds(aTime) * (m_gateways - 1);
}

} // namespace sardinefold::engine
