#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Settings.h"
#include "StandIns/Common/ExecutionLog.h"
#include "StandIns/Common/FaultInjector.h"
#include "StandIns/Engine/Batch.h"
#include "StandIns/Engine/EngineMemory.h"
#include "StandIns/Engine/OrderCodec.h"
#include "StandIns/Engine/PrefixCache.h"

#include <tl/expected.hpp>

#include <deque>
#include <memory>
#include <string>

namespace sardinefold::standins {

struct EngineConfiguration
{
  base::Bytes m_memory{ 80'000'000'000 };
  /// Size of a model or adapter whose order gives none.
  base::Bytes m_modelBytes{ 16'000'000'000 };
  base::Bytes m_adapterBytes{ 100'000'000 };
  bool m_checksFencing = false;
  base::Duration m_loadLag = std::chrono::milliseconds(500);
  base::Duration m_eventLag = std::chrono::milliseconds(200);
  /// Every m_eventGap-th event is lost; 0 loses none.
  std::uint64_t m_eventGap = 10;
  /// How long a stream can be resumed after its client has disconnected.
  base::Duration m_resumeTime = std::chrono::seconds(2);
  base::Duration m_unloadTime = std::chrono::milliseconds(50);
  base::Endpoint m_weightStore;
  BatchLimits m_batch;
  std::uint64_t m_cacheBlocks = 4096;
};

/// Stand-in of a model engine: completions in OpenAI's format, orders, state
/// and cache events.
class EngineStandIn
{
public:
  static base::SettingsTable Table();
  static tl::expected<std::unique_ptr<EngineStandIn>, std::string> Create(
    base::EventLoop& aLoop, base::Settings const& aSettings);

  EngineStandIn(base::EventLoop& aLoop, EngineConfiguration aConfiguration);

  void Attach(base::HttpServer const& aServer) { m_faultInjector.Attach(aServer); }
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);

  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  ExecutionLog const& Executions() const { return m_executionLog; }
  EngineMemory const& Memory() const { return m_engineMemory; }

private:
  struct LoadSnapshot
  {
    base::Instant m_at{};
    std::uint64_t m_running = 0;
    std::uint64_t m_waiting = 0;
    std::uint64_t m_waitingTokens = 0;
    std::uint64_t m_cacheBlocks = 0;
  };

  // Completions: EngineCompletions.cpp.
  boost::asio::awaitable<void> ServeCompletion(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeStream(base::HttpExchange& aExchange, std::string aId,
                                           std::uint64_t aAfter);
  boost::asio::awaitable<bool> WriteStream(base::HttpExchange& aExchange, std::string aId,
                                           std::uint64_t aAfter);
  boost::asio::awaitable<void> ServeComplete(base::HttpExchange& aExchange, std::string aId);
  boost::asio::awaitable<void> ServeResume(base::HttpExchange& aExchange);
  tl::expected<std::string, base::HttpResponse> Start(base::HttpRequest const& aRequest);
  void Cancel(std::string const& aId);
  void RecordEnd(Sequence const& aSequence, std::string const& aOutcome);

  // Orders: EngineOrders.cpp.
  boost::asio::awaitable<void> ServeOrder(base::HttpExchange& aExchange);
  boost::asio::awaitable<base::HttpResponse> Load(ReplicaRecord aReplica);
  boost::asio::awaitable<base::HttpResponse> Unload(std::string aName);
  boost::asio::awaitable<bool> FetchWeights(std::string aName, bool aIsAdapter);
  base::HttpResponse ImportCache(base::HttpRequest const& aRequest);

  // Status reports: EngineReports.cpp.
  base::HttpResponse RenderModels() const;
  base::HttpResponse RenderState() const;
  base::HttpResponse RenderLoad() const;
  base::HttpResponse RenderEvents(std::uint64_t aAfter) const;
  base::HttpResponse RenderCache(std::string const& aModel) const;
  LoadSnapshot TakeLoadSnapshot() const;

  boost::asio::awaitable<void> ServeAdmin(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeReport(base::HttpExchange& aExchange, std::string aPath);
  boost::asio::awaitable<void> RefreshReports();
  void CancelExpired();
  void PublishEvents();

  base::EventLoop& m_loop;
  EngineConfiguration m_configuration;
  FaultInjector m_faultInjector;
  base::HttpClient m_client;
  PrefixCache m_cache;
  EngineMemory m_engineMemory;
  Batch m_batch;
  ExecutionLog m_executionLog;
  LoadSnapshot m_loadSnapshot;
  base::FencingNumber m_fencing;
  std::string m_role = "both";
  std::uint64_t m_nextStream = 1;
  std::uint64_t m_staleOrders = 0;
  std::uint64_t m_outOfMemory = 0;
  std::uint64_t m_visibleEvents = 0;
  std::deque<std::pair<base::Instant, std::uint64_t>> m_pendingEvents;

  std::string m_poison;
  bool m_crashInLoad = false;
  std::uint64_t m_interruptStreamsAfter = 0;
};

} // namespace sardinefold::standins
