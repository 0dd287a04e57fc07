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

/// Orders loads of the replicas that requests need and tracks what the engine
/// holds.
class ReplicaLoader
{
public:
  ReplicaLoader(base::EventLoop& aLoop, base::HttpClient& aHttp, base::Endpoint aEngine);

  /// Reads the engine's status. Returns false if it can't be read.
  boost::asio::awaitable<bool> Refresh();
  /// Polls the engine's status for as long as the program runs.
  boost::asio::awaitable<void> PollEngine();

  /// Waits until the engine holds the model and the adapter that the exchange
  /// names. Orders a load unless one is under way.
  boost::asio::awaitable<tl::expected<void, agent::Refusal>> EnsureLoaded(
    agent::ExchangeHead const& aHead, base::Instant aEnd, base::Cancellation& aCancellation);

  bool HasEngineStatus() const { return m_hasEngineStatus; }
  std::vector<agent::ReplicaStatus> Replicas() const;
  base::Bytes FreeMemory() const { return m_engineStatus.m_memory - m_engineStatus.m_used; }

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
  boost::asio::awaitable<tl::expected<void, agent::Refusal>> EnsureReplica(
    Key aKey, base::Instant aEnd, base::Cancellation& aCancellation);
  boost::asio::awaitable<void> Load(Key aKey);
  void WakeWaiting();

  base::EventLoop& m_loop;
  engine::EngineClient m_engine;
  engine::EngineStatusReport m_engineStatus;
  bool m_hasEngineStatus = false;
  base::FencingNumber m_fencing;
  std::map<Key, LoadState> m_loads;
  std::list<boost::asio::steady_timer*> m_waiting;
};

} // namespace sardinefold::programs
