#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Operator/Document.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

namespace sardinefold::agent {

/// Orders the requests that wait for an upstream by class, then by the time by
/// which they must start. An exchange, identified by its correlation id, has
/// one entry.
class DispatchQueue
{
public:
  enum class Admission
  {
    /// The exchange runs from now on, until Leave().
    Running,
    Waiting,
    /// The maximum number of exchanges is waiting.
    Full
  };

  explicit DispatchQueue(std::size_t aMaximumWaiting)
    : m_maximumWaiting(aMaximumWaiting)
  {
  }

  /// Admits an exchange. aStartBy is on the agent's own clock; aLimit is the
  /// maximum number of running exchanges.
  Admission Enter(base::CorrelationId const& aExchange, operators::RequestClass aClass,
                  base::Instant aStartBy, std::size_t aLimit);
  /// Removes an exchange that ended or was withdrawn.
  void Leave(base::CorrelationId const& aExchange);
  /// Marks the next waiting exchange as running and returns it; empty if aLimit
  /// is reached or nothing can start. Exchanges whose start-by time has passed
  /// stay in the queue until their owners withdraw them.
  std::optional<base::CorrelationId> TakeNext(std::size_t aLimit, base::Instant aNow);

  std::size_t Running() const { return m_running; }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  struct QueueEntry
  {
    operators::RequestClass m_class;
    base::Instant m_startBy;
    std::uint64_t m_arrival;
    base::CorrelationId m_exchange;

    friend bool operator==(QueueEntry const&, QueueEntry const&) = default;
    friend auto operator<=>(QueueEntry const&, QueueEntry const&) = default;
  };

  void Remove(QueueEntry const& aEntry);

  std::size_t m_maximumWaiting;
  std::size_t m_running = 0;
  std::uint64_t m_arrivals = 0;
  std::set<QueueEntry> m_waiting;
  std::unordered_map<base::CorrelationId, QueueEntry> m_entries;
};

} // namespace sardinefold::agent
