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
  QueueEntry const entry{ aClass, aStartBy, m_arrivals++, aExchange };
  m_waiting.insert(entry);
  m_entries.emplace(aExchange, entry);
  return Admission::Waiting;
}

void DispatchQueue::Remove(QueueEntry const& aEntry)
{
  // Copied, since the argument may be an element of the containers that it is
  // erased from.
  auto const entry = aEntry;
  m_waiting.erase(entry);
  m_entries.erase(entry.m_exchange);
}

void DispatchQueue::Leave(base::CorrelationId const& aExchange)
{
  auto const found = m_entries.find(aExchange);
  if (found != m_entries.end()) {
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
  for (auto const& entry : m_waiting) {
    if (entry.m_startBy < aNow) {
      continue;
    }
    auto exchange = entry.m_exchange;
    Remove(entry);
    ++m_running;
    return exchange;
  }
  return std::nullopt;
}

} // namespace sardinefold::agent
