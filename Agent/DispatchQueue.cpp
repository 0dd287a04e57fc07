#include "Agent/DispatchQueue.h"

namespace sardinefold::agent {

DispatchQueue::Admission DispatchQueue::Enter(base::CorrelationId const& aExchange,
                                              operators::RequestClass aClass,
                                              base::Instant aStartBy, std::size_t aLimit)
{
  if (m_running < aLimit && m_waiting.empty()) {
    ++m_running;
    return Admission::Running;
  }
  if (m_waiting.size() >= m_maximumWaiting) {
    return Admission::Full;
  }
  Place const place{ aClass, aStartBy, m_arrivals++, aExchange };
  m_waiting.insert(place);
  m_places.emplace(aExchange, place);
  return Admission::Waiting;
}

void DispatchQueue::Remove(Place const& aPlace)
{
  // A copy, since the argument may live in what is erased.
  auto const place = aPlace;
  m_waiting.erase(place);
  m_places.erase(place.m_exchange);
}

void DispatchQueue::Leave(base::CorrelationId const& aExchange)
{
  auto const found = m_places.find(aExchange);
  if (found != m_places.end()) {
    Remove(found->second);
    return;
  }
  --m_running;
}

std::optional<base::CorrelationId> DispatchQueue::TakeNext(std::size_t aLimit, base::Instant aNow)
{
  if (m_running >= aLimit) {
    return std::nullopt;
  }
  for (auto const& place : m_waiting) {
    if (place.m_startBy < aNow) {
      continue;
    }
    auto exchange = place.m_exchange;
    Remove(place);
    ++m_running;
    return exchange;
  }
  return std::nullopt;
}

} // namespace sardinefold::agent
