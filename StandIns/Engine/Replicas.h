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

struct HeldReplica
{
  std::string m_name;
  bool m_isAdapter = false;
  /// Of an adapter: its base model.
  std::string m_model;
  std::string m_version;
  base::Bytes m_bytes;
  ReplicaState m_state = ReplicaState::Loading;
};

/// What an engine really holds in its memory.
class Replicas
{
public:
  explicit Replicas(base::Bytes aCapacity)
    : m_capacity(aCapacity)
  {
  }

  HeldReplica* Find(std::string const& aName);
  bool IsLoaded(std::string const& aName) const;
  void Add(HeldReplica aReplica);
  void Remove(std::string const& aName) { m_held.erase(aName); }
  std::vector<HeldReplica> All() const;

  base::Bytes Capacity() const { return m_capacity; }
  base::Bytes Used() const;
  base::Bytes MostUsed() const { return m_mostUsed; }
  bool Fits(base::Bytes aSize) const { return Used() + aSize <= m_capacity; }

private:
  base::Bytes m_capacity;
  base::Bytes m_mostUsed;
  std::map<std::string, HeldReplica> m_held;
};

} // namespace sardinefold::standins
