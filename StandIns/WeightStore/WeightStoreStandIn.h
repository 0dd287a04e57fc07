#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Settings.h"
#include "StandIns/Common/FaultInjector.h"
#include "StandIns/WeightStore/TransferQueue.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace sardinefold::standins {

/// Stand-in of a weight store with limited speed. GET
/// /v1/weights/NAME?kind=model or kind=adapter responds when the weights would
/// have been transferred.
class WeightStoreStandIn
{
public:
  static base::SettingsTable Table();
  static tl::expected<std::unique_ptr<WeightStoreStandIn>, std::string> Create(
    base::EventLoop& aLoop, base::Settings const& aSettings);

  WeightStoreStandIn(base::EventLoop& aLoop, TransferLimits aLimits);

  void Attach(base::HttpServer const& aServer) { m_faultInjector.Attach(aServer); }
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);

  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  TransferQueue const& Transfers() const { return m_transfers; }

private:
  boost::asio::awaitable<void> ServeAdmin(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeWeights(base::HttpExchange& aExchange, std::string aName,
                                            TransferKind aKind);
  boost::asio::awaitable<void> Transfer(base::HttpExchange& aExchange, std::string aName,
                                        TransferKind aKind);

  base::EventLoop& m_loop;
  FaultInjector m_faultInjector;
  TransferQueue m_transfers;
  std::uint64_t m_slowdownPercent = 100;
  std::uint64_t m_completedModels = 0;
  std::uint64_t m_completedAdapters = 0;
  std::uint64_t m_abandoned = 0;
  std::size_t m_maximumConcurrentModels = 0;
  std::size_t m_maximumConcurrentAdapters = 0;
};

} // namespace sardinefold::standins
