#pragma once

#include "Agent/AgentStatus.h"
#include "Agent/ExchangeHead.h"
#include "Agent/Refusal.h"
#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Engine/EngineClient.h"

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <list>
#include <map>

namespace sardinefold::programs {

/// Has replicas loaded for the requests that need them and follows what the
/// engine holds.
class ReplicaLoader
{
public:
  ReplicaLoader(base::EventLoop& aLoop, base::HttpClient& aHttp, base::Endpoint aEngine);

  /// Reads the engine's account; false while it can't be read.
  boost::asio::awaitable<bool> Refresh();
  /// Refreshes for as long as the program runs.
  boost::asio::awaitable<void> Follow();

  /// Waits until the engine holds what the exchange names, ordering the load
  /// if nobody has.
  boost::asio::awaitable<tl::expected<void, agent::Refusal>> EnsureLoaded(
    agent::ExchangeHead const& aHead, base::Instant aEnd, base::Cancellation& aCancellation);

  bool HasAccount() const { return m_hasAccount; }
  std::vector<agent::ReplicaStatus> Replicas() const;
  base::Bytes FreeMemory() const { return m_account.m_memory - m_account.m_used; }

private:
  struct Key
  {
    base::ModelId m_model;
    base::AdapterId m_adapter;
    friend bool operator==(Key const&, Key const&) = default;
    friend auto operator<=>(Key const&, Key const&) = default;
  };
  enum class LoadState
  {
    Running,
    Failed
  };

  bool IsLoaded(Key const& aKey) const;
  boost::asio::awaitable<tl::expected<void, agent::Refusal>> EnsureOne(
    Key aKey, base::Instant aEnd, base::Cancellation& aCancellation);
  boost::asio::awaitable<void> Load(Key aKey);
  void WakeWaiting();

  base::EventLoop& m_loop;
  engine::EngineClient m_engine;
  engine::EngineStatusReport m_account;
  bool m_hasAccount = false;
  base::FencingNumber m_fencing;
  std::map<Key, LoadState> m_loads;
  std::list<boost::asio::steady_timer*> m_waiting;
};

} // namespace sardinefold::programs
