#pragma once

#include "Agent/ConcurrencyLimit.h"
#include "Agent/DispatchQueue.h"
#include "Agent/ExchangeHead.h"
#include "Agent/Refusal.h"
#include "Base/Cancellation.h"
#include "Base/EventLoop.h"

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <unordered_map>

namespace sardinefold::programs {

/// Queues exchanges until the upstream may be given another request.
class AdmissionGate
{
public:
  AdmissionGate(base::EventLoop& aLoop, std::size_t aConcurrency, std::size_t aMaximumWaiting);

  /// Waits until the exchange may run. After a success, Leave() must be called
  /// when the exchange ends.
  boost::asio::awaitable<tl::expected<void, agent::Refusal>> Enter(
    agent::ExchangeHead const& aHead, base::Instant aStartBy, base::Cancellation& aCancellation);
  void Leave(base::CorrelationId const& aExchange, agent::LoadSignal aSignal,
             base::Duration aLatency);

  std::size_t Running() const { return m_queue.Running(); }
  std::size_t Waiting() const { return m_queue.Waiting(); }
  std::size_t Limit() const { return m_limit.Current(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer m_timer;
    bool m_isAdmitted = false;
  };

  void AdmitWaiting();

  base::EventLoop& m_loop;
  agent::ConcurrencyLimit m_limit;
  agent::DispatchQueue m_queue;
  std::unordered_map<base::CorrelationId, Waiter*> m_waiters;
};

} // namespace sardinefold::programs
