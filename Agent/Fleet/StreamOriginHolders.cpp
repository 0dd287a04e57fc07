#include "Agent/Fleet/StreamOriginHolders.h"

#include "Base/Digest.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace sardinefold::agent {

std::vector<base::Endpoint> StreamOriginHolders(std::vector<base::Endpoint> const& aLoaders,
                                                base::RequestId const& aRequest, std::size_t aCount)
{
  // Rendezvous hashing.
  auto const seed = base::FastHash(aRequest.Text());
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  ranked.reserve(aLoaders.size());
  for (std::size_t index = 0; index < aLoaders.size(); ++index) {
    ranked.emplace_back(base::FastHash(aLoaders[index].Text(), seed), index);
  }
  auto const count = std::min(aCount, ranked.size());
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater());
  std::vector<base::Endpoint> holders;
  holders.reserve(count);
  for (std::size_t rank = 0; rank < count; ++rank) {
    holders.push_back(aLoaders[ranked[rank].second]);
  }
  return holders;
}

} // namespace sardinefold::agent
