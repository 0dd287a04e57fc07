#include "Entry/Configuration/ConfigurationMessages.h"

#include <utility>

namespace sardinefold::entry {

void Tally::Add(Tally const& aOther)
{
  if (aOther.m_version != m_version) {
    return;
  }
  m_processes += aOther.m_processes;
  m_applied += aOther.m_applied;
  for (auto const& laggard : aOther.m_laggards) {
    if (m_laggards.size() < kMaxNamedLaggards) {
      m_laggards.push_back(laggard);
    }
  }
}

void Tally::AddProcess(Laggard aProcess)
{
  ++m_processes;
  if (aProcess.m_inForce >= m_version) {
    ++m_applied;
    return;
  }
  if (m_laggards.size() < kMaxNamedLaggards) {
    m_laggards.push_back(std::move(aProcess));
  }
}

} // namespace sardinefold::entry
