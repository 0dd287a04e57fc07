#pragma once

#include "Agent/ExchangeHead.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace sardinefold::agent {

/// An agent's memory of its exchanges. It lets an entry whose connection has
/// broken learn where its request stands, and lets it exclude a request that
/// may still be under way from ever starting.
class ExchangeRegistry
{
public:
  enum class Admission
  {
    Admitted,
    /// The entry has asked that it not start.
    Denied,
    /// An exchange of this name has been here.
    Duplicate
  };

  explicit ExchangeRegistry(base::IncarnationId aIncarnation)
    : m_incarnation(std::move(aIncarnation))
  {
  }

  Admission Begin(ExchangeHead const& aHead, base::Instant aNow);
  /// Asked in the same turn of the loop in which the first byte is sent
  /// upstream. False if the exchange was denied meanwhile.
  bool Start(base::CorrelationId const& aCorrelation);
  void OnHead(base::CorrelationId const& aCorrelation);
  void OnWritten(base::CorrelationId const& aCorrelation, base::Bytes aBytes);
  void End(base::CorrelationId const& aCorrelation, base::Instant aNow);

  /// Where an exchange stands. With aDeny one that has not started is denied
  /// for good, which proves that it has not run and will not.
  ExchangeReport Query(base::CorrelationId const& aCorrelation, AgentClock aStartBy, bool aDeny,
                       base::Instant aNow);

  /// Drops records of exchanges that ended long ago.
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
    /// Whether a handler still holds the exchange.
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
  /// Latest m_startBy of a dropped record: whoever asks for an exchange up to
  /// it can't be told that it was never here.
  AgentClock m_discardedUpTo{ -1 };
};

} // namespace sardinefold::agent
