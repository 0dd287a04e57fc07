#include "StandIns/Engine/Replicas.h"

#include <algorithm>

namespace sardinefold::standins {

HeldReplica* Replicas::Find(std::string const& aName)
{
  auto const found = m_held.find(aName);
  return found == m_held.end() ? nullptr : &found->second;
}

bool Replicas::IsLoaded(std::string const& aName) const
{
  auto const found = m_held.find(aName);
  return found != m_held.end() && found->second.m_state == ReplicaState::Loaded;
}

void Replicas::Add(HeldReplica aReplica)
{
  auto const name = aReplica.m_name;
  m_held.insert_or_assign(name, std::move(aReplica));
  m_mostUsed = std::max(m_mostUsed, Used());
}

std::vector<HeldReplica> Replicas::All() const
{
  std::vector<HeldReplica> all;
  for (auto const& [name, replica] : m_held) {
    all.push_back(replica);
  }
  return all;
}

base::Bytes Replicas::Used() const
{
  base::Bytes used;
  for (auto const& [name, replica] : m_held) {
    used += replica.m_bytes;
  }
  return used;
}

} // namespace sardinefold::standins
