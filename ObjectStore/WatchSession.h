#pragma once

#include "Base/EventLoop.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/ObjectWatch.h"

#include <concepts>
#include <utility>

namespace sardinefold::objectstore {

struct WatchLimits
{
  /// How long one watch waits for changes before it is renewed.
  base::Duration m_watchTime = std::chrono::seconds(30);
  base::Duration m_listTime = std::chrono::seconds(10);
  /// Pause after each answer with changes, in which more of them gather.
  base::Duration m_pause{};
  BackoffLimits m_backoff;
};

/// Runs an ObjectWatch over a store and calls the handler with each batch of
/// changes, on the loop.
template<ObjectStore Store>
class WatchSession
{
public:
  WatchSession(base::EventLoop& aLoop, Store& aStore, ObjectKind aKind, ObjectName aPrefix,
               CallPurpose aPurpose, WatchLimits aLimits, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_kind(aKind)
    , m_prefix(std::move(aPrefix))
    , m_purpose(aPurpose)
    , m_limits(aLimits)
    , m_watch(aLimits.m_backoff, aSeed)
  {
  }

  /// Runs until Stop(); the session must outlive it.
  template<std::invocable<ObjectChanges const&> Handler>
  boost::asio::awaitable<void> Run(Handler aHandler)
  {
    while (!m_isStopped) {
      auto const step = m_watch.Next(m_loop.Now());
      if (auto const* const wait = std::get_if<WatchAgainAt>(&step)) {
        co_await m_loop.Sleep(wait->m_time - m_loop.Now());
        continue;
      }
      auto prefix = m_prefix;
      ObjectChanges changes;
      if (auto const* const watch = std::get_if<WatchAfter>(&step)) {
        auto const answer = co_await m_store.Watch(m_kind, std::move(prefix), watch->m_version,
                                                   m_limits.m_watchTime, m_purpose);
        changes = m_watch.OnChanges(answer, m_loop.Now());
      } else {
        auto const answer =
          co_await m_store.List(m_kind, std::move(prefix), m_limits.m_listTime, m_purpose);
        changes = m_watch.OnList(answer, m_loop.Now());
      }
      if (!changes.m_changes.empty() && !m_isStopped) {
        aHandler(changes);
        if (m_limits.m_pause > base::Duration::zero()) {
          co_await m_loop.Sleep(m_limits.m_pause);
        }
      }
    }
  }

  /// Run() ends after the call under way.
  void Stop() { m_isStopped = true; }
  ObjectWatch const& State() const { return m_watch; }

private:
  base::EventLoop& m_loop;
  Store& m_store;
  ObjectKind m_kind;
  ObjectName m_prefix;
  CallPurpose m_purpose;
  WatchLimits m_limits;
  ObjectWatch m_watch;
  bool m_isStopped = false;
};

} // namespace sardinefold::objectstore
