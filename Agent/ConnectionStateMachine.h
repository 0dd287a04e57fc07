#pragma once

#include "Agent/ExchangeHead.h"

#include <memory>
#include <optional>
#include <string_view>

namespace sardinefold::agent {

/// Where the connection of one exchange stands.
enum class ConnectionState
{
  /// Bytes come, or their absence is explained.
  Active,
  /// Nothing came for the silence limit; the agent is being asked over
  /// another connection.
  Probing,
  /// The first probe spoke against the connection; a second one decides.
  Suspected,
  /// The connection is given up.
  Lost,
  Closed
};

std::string_view ToText(ConnectionState aState);

struct ConnectionLimits
{
  /// Silence after which the agent is asked.
  base::Duration m_silence = std::chrono::seconds(1);
  /// Between a probe that speaks against the connection and the second one.
  base::Duration m_recheckDelay = std::chrono::milliseconds(300);
  /// For the answer to a probe.
  base::Duration m_probe = std::chrono::milliseconds(500);
};

/// Longest time from the first byte that a connection swallowed to its being
/// given up: a silence, two probes and the time between them.
constexpr base::Duration MaximumDetectionTime(ConnectionLimits const& aLimits)
{
  return aLimits.m_silence + aLimits.m_recheckDelay + 2 * aLimits.m_probe;
}

/// Decides when the connection that carries an exchange has gone silent for
/// good. Silence alone proves nothing, since a cold start takes long: the agent
/// is asked over a new connection, and the old one is lost if the agent has
/// written what did not arrive or has not got the request.
class ConnectionStateMachine
{
public:
  ConnectionStateMachine(ConnectionLimits aLimits, base::Instant aNow);
  ~ConnectionStateMachine();
  ConnectionStateMachine(ConnectionStateMachine&&) noexcept;
  ConnectionStateMachine& operator=(ConnectionStateMachine&&) noexcept;

  /// The entry waits for bytes from now on. While it does not, because its own
  /// reader is slow, silence means nothing.
  void OnReadStarted(base::Instant aNow);
  /// The head or bytes of the body arrived.
  void OnHead(base::Instant aNow);
  void OnBytes(base::Bytes aBytes, base::Instant aNow);
  /// The answer is complete or the exchange was given up.
  void OnClosed();

  /// Whether to probe now; the answer goes to OnReport() or OnProbeFailed().
  bool ShouldProbe(base::Instant aNow);
  void OnReport(ExchangeReport const& aReport, base::Instant aNow);
  /// The agent could not be asked.
  void OnProbeFailed(base::Instant aNow);

  /// When to call ShouldProbe() next; empty when there is nothing to wait for.
  std::optional<base::Instant> NextCheck() const { return m_nextCheck; }
  ConnectionState State() const;
  /// Whether new connections to the agent work, so that its host is well.
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
