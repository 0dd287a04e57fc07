#include "Engine/WarmUpShare.h"

namespace sardinefold::engine {

namespace {

/// The permits of an excess would also all have to be used within one second.
constexpr double kExcessChance = 1e-8;

} // namespace

WarmUpShare::WarmUpShare(WarmUpTerms const& aTerms, unsigned aProcesses)
  : m_permits(
      { aTerms.m_requestsPerSecond * base::ToSeconds(kWindow), aTerms.m_maximum, kExcessChance },
      aProcesses)
{
}

} // namespace sardinefold::engine
