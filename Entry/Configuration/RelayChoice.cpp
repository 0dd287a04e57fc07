#include "Entry/Configuration/RelayChoice.h"

#include "Base/Digest.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

std::vector<base::HostId> EntriesIn(FleetView const& aView, base::FailureDomainId const& aDomain)
{
  std::vector<base::HostId> hosts;
  for (auto const& entry : aView.m_entries) {
    if (entry.m_failureDomain == aDomain) {
      hosts.push_back(entry.m_host);
    }
  }
  return hosts;
}

std::uint64_t Score(base::HostId const& aCandidate, std::uint64_t aKeyHash)
{
  return base::FastHash(aCandidate.Text(), aKeyHash);
}

} // namespace

std::size_t RankOf(base::HostId const& aCandidate, std::vector<base::HostId> const& aCandidates,
                   std::string const& aKey)
{
  auto const keyHash = base::FastHash(aKey);
  auto const own = Score(aCandidate, keyHash);
  auto const isBetter = [&](base::HostId const& aOther) {
    auto const score = Score(aOther, keyHash);
    return score > own || (score == own && aOther > aCandidate);
  };
  return static_cast<std::size_t>(std::ranges::count_if(aCandidates, isBetter));
}

std::vector<base::HostId> CandidateEntriesFor(FleetView const& aView,
                                              base::FailureDomainId const& aDomain)
{
  auto entries = EntriesIn(aView, aDomain);
  if (entries.empty()) {
    for (auto const& entry : aView.m_entries) {
      entries.push_back(entry.m_host);
    }
  }
  return entries;
}

std::vector<base::HostId> Rank(std::vector<base::HostId> aCandidates, std::string const& aKey,
                               std::size_t aMaximum)
{
  std::vector<std::pair<std::uint64_t, base::HostId>> scored;
  scored.reserve(aCandidates.size());
  auto const keyHash = base::FastHash(aKey);
  for (auto& candidate : aCandidates) {
    auto const score = Score(candidate, keyHash);
    scored.emplace_back(score, std::move(candidate));
  }
  auto const count = std::min(aMaximum, scored.size());
  auto const middle = scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(scored.begin(), middle, scored.end(), std::greater<>());
  std::vector<base::HostId> best;
  best.reserve(count);
  for (auto position = scored.begin(); position != middle; ++position) {
    best.push_back(std::move(position->second));
  }
  return best;
}

std::vector<base::HostId> ChooseRelays(FleetView const& aView, base::FailureDomainId const& aDomain)
{
  auto entries = EntriesIn(aView, aDomain);
  auto const bySize = (entries.size() + kEntriesPerRelay - 1) / kEntriesPerRelay;
  return Rank(std::move(entries), aDomain.Text(), std::max(kMinimumRelays, bySize));
}

std::vector<base::HostId> ChooseEntriesFor(FleetView const& aView, ProcessLocation const& aAgent)
{
  auto entries = CandidateEntriesFor(aView, aAgent.m_failureDomain);
  return Rank(std::move(entries), aAgent.m_host.Text(), kEntriesPerAgent);
}

} // namespace sardinefold::entry
