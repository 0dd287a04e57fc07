#include "Tests/Fakes/FakeEngine.h"

#include <algorithm>

namespace sardinefold::tests {

bool FakeEngine::Accepts(base::FencingNumber aFencing)
{
  if (m_checksFencing && aFencing < m_inForce) {
    return false;
  }
  m_inForce = std::max(m_inForce, aFencing);
  return true;
}

bool FakeEngine::BeginLoad(engine::ReplicaKey const& aKey, engine::ReplicaMemory aMemory,
                           base::FencingNumber aFencing)
{
  if (!Accepts(aFencing)) {
    return false;
  }
  if (m_held.contains(aKey) || m_loading.contains(aKey)) {
    ++m_doubleLoads;
  }
  m_loading.insert_or_assign(aKey, aMemory);
  UpdatePeak();
  return true;
}

void FakeEngine::EndLoad(engine::ReplicaKey const& aKey, bool aSucceeds)
{
  auto const loading = m_loading.extract(aKey);
  if (!loading.empty() && aSucceeds) {
    m_held.insert_or_assign(aKey, loading.mapped());
  }
}

bool FakeEngine::Unload(engine::ReplicaKey const& aKey, base::FencingNumber aFencing)
{
  if (!Accepts(aFencing)) {
    return false;
  }
  m_held.erase(aKey);
  return true;
}

engine::EngineState FakeEngine::State() const
{
  engine::EngineState state;
  for (auto const& [key, memory] : m_held) {
    state.m_held.push_back({ key, memory });
  }
  state.m_isChanging = !m_loading.empty();
  return state;
}

void FakeEngine::UpdatePeak()
{
  base::Bytes used;
  for (auto const& [key, memory] : m_held) {
    used += memory.Total();
  }
  for (auto const& [key, memory] : m_loading) {
    used += memory.Total();
  }
  m_peak = std::max(m_peak, used);
}

} // namespace sardinefold::tests
