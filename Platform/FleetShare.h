#pragma once

#include "Base/Quantity.h"

#include <cstdint>

namespace sardinefold::platform {

using CallsPerSecond = base::Quantity<struct CallsPerSecondTag, double>;

/// Rates of calls to the platform.
struct CallRates
{
  CallsPerSecond m_writes;
  CallsPerSecond m_reads;
};

/// What the platform admits from the whole fleet.
inline constexpr CallRates kPlatformRates{ CallsPerSecond(300), CallsPerSecond(2000) };

/// What kind of process calls the platform.
enum class ProcessRole
{
  Entry,
  EngineAgent,
  ServiceAgent
};

/// Processes of each role, from the host list and the document.
struct FleetSize
{
  std::uint32_t m_entries = 1;
  std::uint32_t m_engineAgents = 0;
  std::uint32_t m_serviceAgents = 0;
};

/// The rates of one process, by this rule: a tenth of the fleet's rates is kept
/// for operators and for the time in which processes know different sizes; the
/// rest is divided by weight. Agents of services weigh the most, since each
/// request that may not repeat needs a claim; agents of engines the least.
CallRates ShareOf(CallRates const& aFleet, FleetSize const& aSize, ProcessRole aRole);

} // namespace sardinefold::platform
