#include "Engine/Replica.h"

#include <algorithm>

namespace sardinefold::engine {

std::optional<Urgency> Replica::MostUrgent() const
{
  if (m_waiting.empty()) {
    return std::nullopt;
  }
  auto const byUrgency = [](auto const& aLeft, auto const& aRight) {
    return aLeft.second < aRight.second;
  };
  return std::ranges::min_element(m_waiting, byUrgency)->second;
}

bool Replica::Apply(ReplicaEvent aEvent, base::Instant aNow)
{
  if (!m_machine.Apply(aEvent)) {
    return false;
  }
  m_changedAt = aNow;
  return true;
}

} // namespace sardinefold::engine
