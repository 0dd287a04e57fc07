#pragma once

#include "Engine/RequestWork.h"

#include <concepts>
#include <cstddef>
#include <span>

namespace sardinefold::engine {

/// An upstream that could get a request.
struct UpstreamCandidate
{
  /// What the request costs there as far as is known.
  RequestWork m_cost;
  /// What one more request adds to the cost of the next one.
  RequestWork m_added;
};

/// Chooses one of several candidates, of which there is at least one, and returns its
/// index. aOthers is the number of requests that other processes have sent to these
/// candidates since the reports on them, which are not in their costs. aDraw is evenly
/// distributed from 0 to 1, excluding 1.
template<typename Chooser>
concept CandidateChooser = requires(Chooser const& aChooser,
                                    std::span<UpstreamCandidate const> aCandidates, double aOthers,
                                    double aDraw)
{
  {
    aChooser.Choose(aCandidates, aOthers, aDraw)
    } -> std::same_as<std::size_t>;
};

/// Assumes that the requests of the other processes fill up the cheapest candidates to a
/// common level, and draws a candidate by its room below that level. So processes that
/// know the same choose differently, in the shares that even out the load: with new
/// reports the cheapest candidate, with old ones nearly any by its pace.
class LevelChooser
{
public:
  std::size_t Choose(std::span<UpstreamCandidate const> aCandidates, double aOthers,
                     double aDraw) const;
};

} // namespace sardinefold::engine
