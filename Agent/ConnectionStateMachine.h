#pragma once

#include "Agent/ExchangeHead.h"

#include <memory>
#include <optional>
#include <string_view>

namespace sardinefold::agent {

/// State of the connection of one exchange.
enum class ConnectionState
{
  /// Bytes arrive, or their absence is explained.
  Active,
  /// Nothing arrived within the silence timeout; the agent is being queried
  /// over another connection.
  Probing,
  /// The first probe indicated that the connection is dead; a second one
  /// decides.
  Suspected,
  /// The connection is considered dead and is abandoned.
  Lost,
  Closed
};

std::string_view ToText(ConnectionState aState);

struct ConnectionLimits
{
  /// Time without data after which the agent is queried.
  base::Duration m_silence = std::chrono::seconds(1);
  /// Delay between a probe that indicates a dead connection and the second
  /// probe.
  base::Duration m_recheckDelay = std::chrono::milliseconds(300);
  /// Timeout for the response to a probe.
  base::Duration m_probe = std::chrono::milliseconds(500);
};

/// Returns the maximum time from the first byte that a connection loses until
/// the connection is abandoned: one silence timeout, two probes and the delay
/// between them.
constexpr base::Duration MaximumDetectionTime(ConnectionLimits const& aLimits)
{
  return aLimits.m_silence + aLimits.m_recheckDelay + 2 * aLimits.m_probe;
}

/// Detects that the connection of an exchange is dead. Silence alone proves
/// nothing, since a cold start takes long. The agent is therefore queried over
/// a new connection, and the old one is considered lost if the agent has
/// written data that did not arrive or has not received the request.
class ConnectionStateMachine
{
public:
  ConnectionStateMachine(ConnectionLimits aLimits, base::Instant aNow);
  ~ConnectionStateMachine();
  ConnectionStateMachine(ConnectionStateMachine&&) noexcept;
  ConnectionStateMachine& operator=(ConnectionStateMachine&&) noexcept;

  /// The entry is waiting for bytes from now on. While it is not, because its
  /// own reader is slow, silence means nothing.
  void OnReadStarted(base::Instant aNow);
  /// The head or bytes of the response body arrived.
  void OnHead(base::Instant aNow);
  void OnBytes(base::Bytes aBytes, base::Instant aNow);
  /// The response is complete or the exchange was cancelled.
  void OnClosed();

  /// Returns whether to probe now. Pass the result of the probe to OnReport()
  /// or OnProbeFailed().
  bool ShouldProbe(base::Instant aNow);
  void OnReport(ExchangeReport const& aReport, base::Instant aNow);
  /// The agent could not be queried.
  void OnProbeFailed(base::Instant aNow);

  /// When to call ShouldProbe() next; empty if no check is due.
  std::optional<base::Instant> NextCheck() const { return m_nextCheck; }
  ConnectionState State() const;
  /// Whether new connections to the agent succeed, which shows that its host is
  /// reachable.
  bool HasReachedAgent() const { return m_hasReachedAgent; }

private:
  class StateMachine;

  void Reschedule(base::Instant aNow);

  ConnectionLimits m_limits;
  std::unique_ptr<StateMachine> m_machine;
  std::optional<base::Instant> m_nextCheck;
  base::Bytes m_received;
  bool m_hasHead = false;
  bool m_isReading = true;
  bool m_hasReachedAgent = true;
};

} // namespace sardinefold::agent
