#include "Engine/PermitDraw.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// Factor between the totals that are tried.
constexpr double kStep = 0.97;

/// Returns the chance that more than aMost of aProcesses have a permit, if each has one
/// with that chance.
double ChanceOfMoreThan(double aMost, unsigned aProcesses, double aChance)
{
  double const lost = 1 - aChance;
  double exactly = std::pow(lost, aProcesses);
  double atMost = 0;
  for (unsigned count = 0; count <= aProcesses && count <= aMost; ++count) {
    atMost += exactly;
    exactly *= (aProcesses - count) * aChance / ((count + 1) * lost);
  }
  return 1 - atMost;
}

} // namespace

PermitDraw::PermitDraw(PermitTerms const& aTerms, unsigned aProcesses)
{
  double const processes = std::max(aProcesses, 1U);
  double total = std::min(aTerms.m_total, aTerms.m_maximum);
  constexpr double kLeastTotal = 1e-3;
  for (; total > kLeastTotal; total *= kStep) {
    double const certain = std::floor(total / processes);
    double const chance = total / processes - certain;
    double const left = aTerms.m_maximum - certain * processes;
    bool const isSafe =
      left >= processes || (left >= 0 && ChanceOfMoreThan(left, std::max(aProcesses, 1U), chance) <=
                                           aTerms.m_excessChance);
    if (isSafe) {
      m_certain = static_cast<unsigned>(certain);
      m_chance = chance;
      return;
    }
  }
}

} // namespace sardinefold::engine
