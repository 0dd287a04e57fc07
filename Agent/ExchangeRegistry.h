#pragma once

#include "Agent/ExchangeHead.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace sardinefold::agent {

/// An agent's records of its exchanges. An entry whose connection closed can
/// query the state of its request and can prevent a request that may still be
/// in transit from ever starting.
class ExchangeRegistry
{
public:
  enum class Admission
  {
    Admitted,
    /// The entry requested that the exchange not start.
    Denied,
    /// An exchange with this correlation id has been received before.
    Duplicate
  };

  explicit ExchangeRegistry(base::IncarnationId aIncarnation)
    : m_incarnation(std::move(aIncarnation))
  {
  }

  Admission Begin(ExchangeHead const& aHead, base::Instant aNow);
  /// Marks an exchange as started. Must be called in the same turn of the event
  /// loop in which the first byte is sent to the upstream. Returns false if the
  /// exchange was denied in the meantime.
  bool Start(base::CorrelationId const& aCorrelation);
  void OnHead(base::CorrelationId const& aCorrelation);
  void OnWritten(base::CorrelationId const& aCorrelation, base::Bytes aBytes);
  void End(base::CorrelationId const& aCorrelation, base::Instant aNow);

  /// Returns the state of an exchange. With aDeny, an exchange that has not
  /// started is denied permanently, which proves that it has not run and will
  /// not run.
  ExchangeReport Query(base::CorrelationId const& aCorrelation, AgentClock aStartBy, bool aDeny,
                       base::Instant aNow);

  /// Discards the records of exchanges that ended longer ago than the retention
  /// period.
  void DiscardExpired(base::Instant aNow);

  std::size_t Size() const { return m_records.size(); }

private:
  enum class Phase
  {
    Waiting,
    Started,
    Ended,
    Denied
  };

  struct Record
  {
    Phase m_phase = Phase::Waiting;
    AgentClock m_startBy;
    base::Bytes m_written;
    bool m_hasHead = false;
    /// Whether a handler is still processing the exchange.
    bool m_isOpen = true;
  };

  struct Closed
  {
    base::CorrelationId m_correlation;
    base::Instant m_at;
  };

  void RecordClosed(base::CorrelationId const& aCorrelation, base::Instant aNow);

  base::IncarnationId m_incarnation;
  std::unordered_map<base::CorrelationId, Record> m_records;
  std::deque<Closed> m_closed;
  /// Latest m_startBy of a discarded record. For an unknown exchange with a
  /// start-by time up to this one, the agent cannot rule out that it was
  /// received.
  AgentClock m_discardedUpTo{ -1 };
};

} // namespace sardinefold::agent
