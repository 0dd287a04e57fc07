#include "Bench/Workload/RunResult.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::bench {

base::Duration Percentile(std::vector<base::Duration> aSample, double aShare)
{
  if (aSample.empty()) {
    return {};
  }
  auto const rank =
    static_cast<std::size_t>(std::ceil(aShare * static_cast<double>(aSample.size())));
  auto const position =
    aSample.begin() + static_cast<std::ptrdiff_t>(std::max(rank, std::size_t(1)) - 1);
  std::ranges::nth_element(aSample, position);
  return *position;
}

} // namespace sardinefold::bench
