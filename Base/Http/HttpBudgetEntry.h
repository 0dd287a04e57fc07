#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace sardinefold::base {

/// What a connection of an HttpServer does, the least useful first.
enum class HttpActivity : std::uint8_t
{
  /// Refused or answered; only discards what its peer still sends.
  Lingering,
  /// Has sent no byte yet.
  Silent,
  ReadingHead,
  /// Waits for a next request.
  Idle,
  ReadingBody,
  /// A response, or a part of one, waits for its reader.
  Writing,
  /// A request has arrived and may run.
  Serving
};

inline constexpr std::size_t kHttpActivities = 7;

/// One connection in the books of an HttpBudget.
struct HttpBudgetEntry
{
  /// Memory of a connection besides its data: socket, buffer, timers and coroutines.
  static constexpr Bytes kConnectionBytes{ 12LL * 1024 };

  HttpActivity m_activity = HttpActivity::Silent;
  /// When its activity began, or the latest data came.
  Instant m_since{};
  /// Held by the request: the buffer, the head and the body.
  Bytes m_request;
  /// Held by a response that is being written.
  Bytes m_response;
  /// Whether its request is being served, which takes a connection to an upstream.
  bool m_isServed = false;
  /// Whether it has been told to end, and no longer counts.
  bool m_isLeaving = false;
  /// Makes the connection end.
  std::function<void()> m_cut;

  Bytes Held() const { return kConnectionBytes + m_request + m_response; }
  std::size_t Descriptors() const { return m_isServed ? 2 : 1; }
};

} // namespace sardinefold::base
