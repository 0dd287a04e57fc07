#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/ReplicaKey.h"
#include "Engine/ReplicaManager.h"

#include <cstdint>
#include <vector>

namespace sardinefold::bench {

/// A request of a trace.
struct TraceRequest
{
  base::Instant m_arrival;
  engine::ReplicaKey m_replica;
  operators::RequestClass m_class;
  base::Duration m_prefill;
  base::Duration m_generation;
  /// Index of the entry that receives the request.
  std::size_t m_entry;
};

struct DeploymentSize
{
  int m_engines;
  int m_failureDomains;
  int m_models;
  int m_entries;
  base::Duration m_oneWayDelay;
};

/// A deployment and the requests of its callers.
struct Workload
{
  DeploymentSize m_size;
  engine::ReplicaCatalog m_catalog;
  base::Duration m_length;
  std::vector<TraceRequest> m_requests;

  /// Returns the same workload without requests of the batch class.
  Workload WithoutBatch() const;
};

/// Accelerator memory of one engine.
inline constexpr base::Bytes kEngineMemory(80'000'000'000);
/// Bandwidth of one load from the weight store at full speed.
inline constexpr double kStoreBytesPerSecond = 22.5e9;

/// Returns a trace for Almaty: sparse briefings at night and shift reports in
/// batches, with occasional bus breakdowns, after which many marshals request a
/// few idle models at once.
Workload NightBusBreakdown(std::uint64_t aSeed);
/// Returns a trace for Bavaria: the evening before a premiere, with bursts of
/// requests for many models.
Workload EveningBeforePremiere(std::uint64_t aSeed);

} // namespace sardinefold::bench
