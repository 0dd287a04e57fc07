#pragma once

#include "Base/EventLoop.h"
#include "ObjectStore/Backoff.h"
#include "ObjectStore/HostTable.h"
#include "ObjectStore/ObjectStoreClient.h"

#include <concepts>
#include <vector>

namespace sardinefold::objectstore {

struct HostListLimits
{
  base::Duration m_interval = std::chrono::seconds(1);
  base::Duration m_callTime = std::chrono::seconds(1);
  BackoffLimits m_backoff;
};

/// Polls the host list and calls the handler with its changes, on the loop. While
/// the platform fails, the latest list is kept.
template<HostLister Store>
class HostListSession
{
public:
  HostListSession(base::EventLoop& aLoop, Store& aStore, HostListLimits aLimits,
                  std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_limits(aLimits)
    , m_backoff(aLimits.m_backoff, aSeed)
  {
  }

  /// Runs until Stop(); the session must outlive it.
  template<std::invocable<std::vector<HostChange> const&> Handler>
  boost::asio::awaitable<void> Run(Handler aHandler)
  {
    while (!m_isStopped) {
      auto const list = co_await m_store.Hosts(m_limits.m_callTime, CallPurpose::Membership);
      if (!list) {
        co_await m_loop.Sleep(m_limits.m_interval + m_backoff.Next());
        continue;
      }
      m_backoff.Reset();
      m_lastContact = m_loop.Now();
      auto const changes = m_table.Apply(*list);
      if (!changes.empty() && !m_isStopped) {
        aHandler(changes);
      }
      co_await m_loop.Sleep(m_limits.m_interval);
    }
  }

  void Stop() { m_isStopped = true; }
  HostTable const& Table() const { return m_table; }
  /// When the platform last returned its list.
  base::Instant LastContact() const { return m_lastContact; }

private:
  base::EventLoop& m_loop;
  Store& m_store;
  HostListLimits m_limits;
  Backoff m_backoff;
  HostTable m_table;
  base::Instant m_lastContact{};
  bool m_isStopped = false;
};

} // namespace sardinefold::objectstore
