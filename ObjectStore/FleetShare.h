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

/// The rates that the platform admits from the whole fleet.
inline constexpr CallRates kPlatformRates{ CallsPerSecond(300), CallsPerSecond(2000) };

/// The kind of process that calls the platform.
enum class ProcessRole
{
  Entry,
  EngineAgent,
  ServiceAgent
};

/// The number of processes of each role, from the host list and the document.
struct FleetSize
{
  std::uint32_t m_entries = 1;
  std::uint32_t m_engineAgents = 0;
  std::uint32_t m_serviceAgents = 0;
};

/// Returns the rates of one process. Of the fleet's writes, six tenths go to the
/// agents of services in equal parts, since each request that may not be repeated
/// needs a claim; three tenths go to the entries and the agents of engines, with
/// an entry counting as four agents; one tenth is reserved for operators and for
/// periods in which processes know different fleet sizes. Of the reads, nine
/// tenths are divided, with an entry counting as eight agents of engines and an
/// agent of a service as four.
CallRates ShareOf(CallRates const& aFleet, FleetSize const& aSize, ProcessRole aRole);

} // namespace sardinefold::objectstore
