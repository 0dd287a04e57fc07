#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace sardinefold::fakes {

/// An event queue in virtual time. Events of the same time run in the order in
/// which they were added, so that runs with one seed are reproducible.
class VirtualTime
{
public:
  base::Instant Now() const { return m_now; }

  void At(base::Instant aTime, std::function<void()> aEvent)
  {
    m_events.push({ aTime < m_now ? m_now : aTime, m_sequence++, std::move(aEvent) });
  }
  void After(base::Duration aDelay, std::function<void()> aEvent)
  {
    At(m_now + aDelay, std::move(aEvent));
  }

  void RunUntil(base::Instant aEnd)
  {
    while (!m_events.empty() && m_events.top().m_time <= aEnd) {
      auto event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      event.m_run();
    }
    m_now = aEnd;
  }

private:
  struct Event
  {
    base::Instant m_time;
    std::uint64_t m_sequence;
    std::function<void()> m_run;

    bool operator<(Event const& aOther) const
    {
      return std::pair(m_time, m_sequence) > std::pair(aOther.m_time, aOther.m_sequence);
    }
  };

  base::Instant m_now{};
  std::uint64_t m_sequence = 0;
  std::priority_queue<Event> m_events;
};

/// Decides at random whether a message is lost and how long it takes.
class LossyLink
{
public:
  LossyLink(std::uint64_t aSeed, double aLoss)
    : m_random(aSeed)
    , m_loss(aLoss)
  {
  }

  bool IsLost() { return DrawFraction() < m_loss; }
  /// Returns 0.5 to 1.5 ms, and for one message in a hundred up to 20.5 ms.
  base::Duration Delay()
  {
    auto const isSlow = DrawFraction() < 0.01;
    return std::chrono::microseconds(500 + m_random() % (isSlow ? 20'000 : 1'000));
  }
  std::uint64_t Draw() { return m_random(); }

private:
  double DrawFraction() { return static_cast<double>(m_random() % 1'000'000) / 1'000'000; }

  std::mt19937_64 m_random;
  double m_loss;
};

} // namespace sardinefold::fakes
