#include "Programs/Agent/AdmissionGate.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::programs {

namespace asio = boost::asio;
using agent::DispatchQueue;
using agent::Refusal;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

AdmissionGate::AdmissionGate(base::EventLoop& aLoop, std::size_t aConcurrency,
                             std::size_t aMaximumWaiting)
  : m_loop(aLoop)
  , m_limit(aConcurrency)
  , m_queue(aMaximumWaiting)
{
}

asio::awaitable<tl::expected<void, Refusal>> AdmissionGate::Enter(agent::ExchangeHead const& aHead,
                                                                  base::Instant aStartBy,
                                                                  base::Cancellation& aCancellation)
{
  auto const& exchange = aHead.m_correlation;
  auto const admission = m_queue.Enter(exchange, aHead.m_class, aStartBy, m_limit.Current());
  if (admission == DispatchQueue::Admission::Running) {
    co_return tl::expected<void, Refusal>{};
  }
  if (admission == DispatchQueue::Admission::Full) {
    co_return tl::make_unexpected(Refusal::QueueFull);
  }
  Waiter waiter{ asio::steady_timer(m_loop.Context()) };
  m_waiters.emplace(exchange, &waiter);
  waiter.m_timer.expires_after(aStartBy - m_loop.Now());
  aCancellation.SetAction([&waiter] { waiter.m_timer.cancel(); });
  if (!aCancellation.IsCancelled()) {
    co_await waiter.m_timer.async_wait(kAwait);
  }
  aCancellation.ClearAction();
  m_waiters.erase(exchange);
  if (waiter.m_isAdmitted && !aCancellation.IsCancelled()) {
    co_return tl::expected<void, Refusal>{};
  }
  m_queue.Leave(exchange);
  AdmitWaiting();
  co_return tl::make_unexpected(Refusal::DeadlinePassed);
}

void AdmissionGate::Leave(base::CorrelationId const& aExchange, agent::LoadSignal aSignal,
                          base::Duration aLatency)
{
  m_limit.OnEnded(aSignal, aLatency, m_queue.Running(), m_loop.Now());
  m_queue.Leave(aExchange);
  AdmitWaiting();
}

void AdmissionGate::AdmitWaiting()
{
  while (auto const next = m_queue.TakeNext(m_limit.Current(), m_loop.Now())) {
    auto& waiter = *m_waiters.at(*next);
    waiter.m_isAdmitted = true;
    waiter.m_timer.cancel();
  }
}

} // namespace sardinefold::programs
