#pragma once

#include "Base/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinefold::standins {

enum class ReplicaState
{
  Loading,
  Loaded,
  Unloading
};

struct ReplicaRecord
{
  std::string m_name;
  bool m_isAdapter = false;
  /// Base model of an adapter; the name itself for a model.
  std::string m_model;
  std::string m_version;
  base::Bytes m_bytes;
  ReplicaState m_state = ReplicaState::Loading;
};

/// Accelerator memory of an engine and the replicas in it.
class EngineMemory
{
public:
  explicit EngineMemory(base::Bytes aCapacity)
    : m_capacity(aCapacity)
  {
  }

  ReplicaRecord* Find(std::string const& aName);
  bool IsLoaded(std::string const& aName) const;
  void Add(ReplicaRecord aReplica);
  void Remove(std::string const& aName) { m_replicas.erase(aName); }
  std::vector<ReplicaRecord> All() const;

  base::Bytes Capacity() const { return m_capacity; }
  base::Bytes Used() const;
  base::Bytes PeakUsed() const { return m_peakUsed; }
  bool Fits(base::Bytes aSize) const { return Used() + aSize <= m_capacity; }

private:
  base::Bytes m_capacity;
  base::Bytes m_peakUsed;
  std::map<std::string, ReplicaRecord> m_replicas;
};

} // namespace sardinefold::standins
