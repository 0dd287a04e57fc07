#pragma once

#include "Base/Quantity.h"

#include <cstdint>

namespace sardinefold::objectstore {

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

/// The rates of one process. Of the fleet's writes six tenths belong to the
/// agents of services in equal parts, since each request that may not repeat
/// needs a claim; three tenths to the entries and the agents of engines, an
/// entry counting as four agents; one tenth is kept for operators and for the
/// time in which processes know different sizes. Of the reads nine tenths are
/// divided, an entry counting as eight agents of engines and an agent of a
/// service as four.
CallRates ShareOf(CallRates const& aFleet, FleetSize const& aSize, ProcessRole aRole);

} // namespace sardinefold::objectstore
