#include "StandIns/Engine/EngineMemory.h"

#include <algorithm>

namespace sardinefold::standins {

ReplicaRecord* EngineMemory::Find(std::string const& aName)
{
  auto const found = m_replicas.find(aName);
  return found == m_replicas.end() ? nullptr : &found->second;
}

bool EngineMemory::IsLoaded(std::string const& aName) const
{
  auto const found = m_replicas.find(aName);
  return found != m_replicas.end() && found->second.m_state == ReplicaState::Loaded;
}

void EngineMemory::Add(ReplicaRecord aReplica)
{
  auto const name = aReplica.m_name;
  m_replicas.insert_or_assign(name, std::move(aReplica));
  m_peakUsed = std::max(m_peakUsed, Used());
}

std::vector<ReplicaRecord> EngineMemory::All() const
{
  std::vector<ReplicaRecord> all;
  for (auto const& [name, replica] : m_replicas) {
    all.push_back(replica);
  }
  return all;
}

base::Bytes EngineMemory::Used() const
{
  base::Bytes used;
  for (auto const& [name, replica] : m_replicas) {
    used += replica.m_bytes;
  }
  return used;
}

} // namespace sardinefold::standins
