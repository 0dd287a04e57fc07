#pragma once

#include "Base/Metrics.h"
#include "Engine/EngineTypes.h"

#include <algorithm>
#include <optional>
#include <string>

namespace sardinefold::programs {

/// Counts a loader's orders by the engine's response, and measures how long
/// models take to load by where their weights were.
class LoadMetrics
{
public:
  explicit LoadMetrics(base::Metrics& aMetrics)
    : m_metrics(aMetrics)
  {
  }

  void OnOrder(engine::EngineOrderRequest const& aOrder, engine::OrderResponse aResponse,
               engine::EngineReport const& aReport, base::Instant aNow)
  {
    bool const isLoad = aOrder.m_operation == engine::EngineOrderRequest::Operation::Load;
    m_metrics
      .Counter("sardinefold_loader_orders_total", "Orders to the engine by their answer.",
               { { "operation", isLoad ? "load" : "unload" },
                 { "of", aOrder.m_adapter ? "adapter" : "model" },
                 { "answer", ToText(aResponse) } })
      .Increment();
    if (isLoad && !aOrder.m_adapter && aResponse == engine::OrderResponse::Accepted) {
      m_pendingLoad = Load{ aOrder.m_model, TierOf(aOrder.m_model, aReport), aNow };
    }
  }

  void OnReport(engine::EngineReport const& aReport, base::Instant aNow)
  {
    bool const isLoaded =
      m_pendingLoad && std::ranges::any_of(aReport.m_models, [this](auto const& aHeld) {
        return aHeld.m_model == m_pendingLoad->m_model;
      });
    if (isLoaded) {
      base::Observe(m_metrics.Seconds("sardinefold_loader_load_seconds",
                                      "Time from the order to load a model until it is there.",
                                      { { "from", m_pendingLoad->m_from } }),
                    aNow - m_pendingLoad->m_orderedAt);
      m_pendingLoad.reset();
    }
  }

private:
  struct Load
  {
    base::ModelId m_model;
    std::string m_from;
    base::Instant m_orderedAt{};
  };

  static std::string TierOf(base::ModelId const& aModel, engine::EngineReport const& aReport)
  {
    if (aReport.m_copies.m_inMemory.contains(aModel)) {
      return "memory";
    }
    return aReport.m_copies.m_onDisk.contains(aModel) ? "disk" : "store";
  }

  static std::string ToText(engine::OrderResponse aResponse)
  {
    switch (aResponse) {
      case engine::OrderResponse::Accepted:
        return "accepted";
      case engine::OrderResponse::AlreadyHolds:
        return "holds already";
      case engine::OrderResponse::Conflict:
        return "conflict";
      case engine::OrderResponse::WrongEngine:
        return "wrong engine";
      case engine::OrderResponse::Rejected:
        return "rejected";
      case engine::OrderResponse::Unknown:
        break;
    }
    return "none";
  }

  base::Metrics& m_metrics;
  std::optional<Load> m_pendingLoad;
};

} // namespace sardinefold::programs
