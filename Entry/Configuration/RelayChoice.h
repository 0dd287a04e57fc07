#pragma once

#include "Base/Identifiers.h"

#include <cstddef>
#include <vector>

namespace sardinefold::entry {

/// A process with its failure domain, for configuration and membership.
struct ProcessLocation
{
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
};

/// The live processes that a process knows of.
struct FleetView
{
  std::vector<ProcessLocation> m_entries;
  std::vector<ProcessLocation> m_agents;
};

/// Returns the entries of a failure domain that watch the platform for all others
/// there: at least kMinimumRelays, and one for each kEntriesPerRelay. Chosen by
/// rendezvous hashing, so that the loss of one relay leaves the others in place.
std::vector<base::HostId> ChooseRelays(FleetView const& aView,
                                       base::FailureDomainId const& aDomain);

/// Returns the entries that announce to an agent, first choice first. Entries of
/// its own failure domain are used if there are any.
std::vector<base::HostId> ChooseEntriesFor(FleetView const& aView, ProcessLocation const& aAgent);

/// Returns the rank that Rank() gives a candidate, without ordering the others.
std::size_t RankOf(base::HostId const& aCandidate, std::vector<base::HostId> const& aCandidates,
                   std::string const& aKey);

/// Returns the entries among which ChooseEntriesFor() chooses.
std::vector<base::HostId> CandidateEntriesFor(FleetView const& aView,
                                              base::FailureDomainId const& aDomain);

/// Orders candidates by rendezvous hashing for a key, best first, and keeps the
/// first aMaximum.
std::vector<base::HostId> Rank(std::vector<base::HostId> aCandidates, std::string const& aKey,
                               std::size_t aMaximum);

inline constexpr std::size_t kMinimumRelays = 3;
inline constexpr std::size_t kEntriesPerRelay = 18;
/// Relays that announce to an entry; the first also counts it.
inline constexpr std::size_t kRelaysPerEntry = 2;
inline constexpr std::size_t kEntriesPerAgent = 2;

} // namespace sardinefold::entry
