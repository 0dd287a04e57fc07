#pragma once

#include "Base/EventLoop.h"
#include "Base/Signal.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/ObjectWatch.h"
#include "ObjectStore/VersionGap.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <utility>

namespace sardinefold::objectstore {

struct WatchLimits
{
  /// How long one watch waits for changes before it is renewed.
  base::Duration m_watchTime = std::chrono::seconds(30);
  base::Duration m_listTime = std::chrono::seconds(10);
  /// Pause after each response with changes, which batches further changes.
  base::Duration m_pause{};
  /// A gap in relayed updates is read from the store within this time. The reads of
  /// several processes are spread over it.
  base::Duration m_gapTime = std::chrono::milliseconds(200);
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
    , m_gap(aLimits.m_gapTime, aSeed)
    , m_wake(aLoop.Context())
  {
  }

  /// Runs until Stop(); the session must outlive it.
  template<std::invocable<ObjectChanges const&> Handler>
  boost::asio::awaitable<void> Run(Handler aHandler)
  {
    co_await Run(std::move(aHandler), [](base::Instant) { return false; });
  }

  /// The same, but makes no call while aMaySuspend returns true, which means that
  /// the updates relayed to ApplyRelayed() are recent enough.
  template<std::invocable<ObjectChanges const&> Handler, std::predicate<base::Instant> MaySuspend>
  boost::asio::awaitable<void> Run(Handler aHandler, MaySuspend aMaySuspend)
  {
    co_await Run(std::move(aHandler), std::move(aMaySuspend), [](ObjectUpdate const&) {});
  }

  /// The same; aOnUpdate is called after the handler with what other processes may
  /// apply of a response.
  template<std::invocable<ObjectChanges const&> Handler, std::predicate<base::Instant> MaySuspend,
           std::invocable<ObjectUpdate const&> UpdateHandler>
  boost::asio::awaitable<void> Run(Handler aHandler, MaySuspend aMaySuspend,
                                   UpdateHandler aOnUpdate)
  {
    while (!m_isStopped) {
      auto const now = m_loop.Now();
      if (m_watch.HasListed() && !m_isBehind && !m_gap.IsDue(now) && aMaySuspend(now)) {
        co_await m_wake.Wait(std::min(kSuspendedPollInterval, m_gap.TimeUntilDue(now)));
        continue;
      }
      auto const step = m_watch.Next(now);
      if (auto const* const wait = std::get_if<WatchAgainAt>(&step)) {
        co_await m_loop.Sleep(wait->m_time - now);
        continue;
      }
      auto prefix = m_prefix;
      ObjectChanges changes;
      std::optional<ObjectUpdate> update;
      if (auto const* const watch = std::get_if<WatchAfter>(&step)) {
        auto const response = co_await m_store.Watch(m_kind, std::move(prefix), watch->m_version,
                                                     m_limits.m_watchTime, m_purpose);
        update = m_watch.UpdateOf(response);
        changes = m_watch.OnChanges(response, m_loop.Now());
        m_isBehind = (m_isBehind && !response) || m_watch.IsOutdated();
      } else {
        auto const response =
          co_await m_store.List(m_kind, std::move(prefix), m_limits.m_listTime, m_purpose);
        update = m_watch.UpdateOf(response);
        changes = m_watch.OnList(response, m_loop.Now());
        m_isBehind = (m_isBehind && !response) || m_watch.IsOutdated();
      }
      m_gap.OnVersion(m_watch.Version());
      if (m_isStopped) {
        continue;
      }
      if (!changes.m_changes.empty() || changes.m_restoredFrom) {
        aHandler(changes);
      }
      if (update) {
        aOnUpdate(*update);
      }
      if (!changes.m_changes.empty()) {
        co_await Pause();
      }
    }
  }

  /// Applies an update that another process relays. If changes before it are
  /// missing, the session calls the store itself unless another update has brought
  /// them by then.
  ObjectChanges ApplyRelayed(ObjectUpdate const& aUpdate, base::Instant aReceivedAt)
  {
    auto changes = m_watch.OnRelayed(aUpdate, aReceivedAt);
    if (!changes) {
      m_gap.OnGap(aUpdate.m_changes.m_version, m_loop.Now());
      m_wake.Notify();
      return { m_watch.Version(), {} };
    }
    m_gap.OnVersion(m_watch.Version());
    return std::move(*changes);
  }

  /// Records an era that the store has reached. The next call lists if the known
  /// state is of an earlier one.
  void OnEra(base::StoreEra aEra) { m_watch.OnEra(aEra); }

  /// Makes the session call the store until a call succeeds, even while it may
  /// suspend.
  void CatchUp()
  {
    m_isBehind = true;
    m_wake.Notify();
  }

  /// Run() ends after the current call.
  void Stop() { m_isStopped = true; }
  ObjectWatch const& State() const { return m_watch; }

private:
  /// How soon the session notices that relayed updates are no longer recent enough.
  static constexpr base::Duration kSuspendedPollInterval = std::chrono::milliseconds(100);

  /// Waits for the batch pause, or until a gap has to be read.
  boost::asio::awaitable<void> Pause()
  {
    auto const end = m_loop.Now() + m_limits.m_pause;
    for (auto now = m_loop.Now(); now < end && !m_gap.IsDue(now); now = m_loop.Now()) {
      co_await m_wake.Wait(std::min(end - now, m_gap.TimeUntilDue(now)));
    }
  }

  base::EventLoop& m_loop;
  Store& m_store;
  ObjectKind m_kind;
  ObjectName m_prefix;
  CallPurpose m_purpose;
  WatchLimits m_limits;
  ObjectWatch m_watch;
  VersionGap m_gap;
  base::Signal m_wake;
  bool m_isBehind = false;
  bool m_isStopped = false;
};

} // namespace sardinefold::objectstore
