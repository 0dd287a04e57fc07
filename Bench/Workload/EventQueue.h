#pragma once

#include "Base/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace sardinefold::bench {

/// Runs actions in the order of their virtual times, and actions with the same
/// time in the order in which they were added.
class EventQueue
{
public:
  explicit EventQueue(base::Instant aStart)
    : m_now(aStart)
  {
  }

  base::Instant Now() const { return m_now; }

  void At(base::Instant aTime, std::function<void()> aAction)
  {
    m_events.push({ std::max(aTime, m_now), m_added++, std::move(aAction) });
  }
  void After(base::Duration aDelay, std::function<void()> aAction)
  {
    At(m_now + aDelay, std::move(aAction));
  }

  void RunUntil(base::Instant aEnd)
  {
    while (!m_events.empty() && m_events.top().m_time <= aEnd) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      event.m_action();
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    base::Instant m_time;
    std::uint64_t m_order;
    std::function<void()> m_action;

    bool operator<(Event const& aOther) const
    {
      return m_time != aOther.m_time ? m_time > aOther.m_time : m_order > aOther.m_order;
    }
  };

  base::Instant m_now;
  std::uint64_t m_added = 0;
  std::priority_queue<Event> m_events;
};

} // namespace sardinefold::bench
