#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/ReplicaKey.h"
#include "Engine/ReplicaManager.h"

#include <cstdint>
#include <vector>

namespace sardinefold::bench {

/// One request of a trace.
struct TraceRequest
{
  base::Instant m_arrival;
  engine::ReplicaKey m_replica;
  operators::RequestClass m_class;
  base::Duration m_prefill;
  base::Duration m_generation;
  /// Number of the entry that it comes through.
  std::size_t m_entry;
};

/// Size of a deployment.
struct DeploymentSize
{
  int m_engines;
  int m_failureDomains;
  int m_models;
  int m_entries;
  base::Duration m_oneWayDelay;
};

/// A deployment and what its callers ask in one evening.
struct Workload
{
  DeploymentSize m_size;
  engine::ReplicaCatalog m_catalog;
  base::Duration m_length;
  std::vector<TraceRequest> m_requests;

  /// The same without requests of the batch class.
  Workload WithoutBatch() const;
};

/// Accelerator memory of one engine.
inline constexpr base::Bytes kEngineMemory(80'000'000'000);
/// Bytes that the weight store sends to one load at full speed in a second.
inline constexpr double kStoreBytesPerSecond = 22.5e9;

/// Almaty: sparse briefings at night, shift reports in batches, and now and
/// then a bus breaks down and many marshals ask for a few idle models at once.
Workload NightBusBreakdown(std::uint64_t aSeed);
/// Bavaria: the evening before a premiere, with bursts for many models.
Workload EveningBeforePremiere(std::uint64_t aSeed);

} // namespace sardinefold::bench
