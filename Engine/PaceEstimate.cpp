#include "Engine/PaceEstimate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// The usual pace counts as much as this number of answers.
constexpr unsigned kPriorAnswers = 3;
/// The estimate follows an upstream that changes within about this number of answers.
constexpr unsigned kMemoryAnswers = 16;
/// Bounds the influence of a single answer, which a lost packet or a pause may delay.
constexpr double kLargestRatio = 4;

} // namespace

void PaceEstimate::OnAnswer(double aRatio)
{
  m_answers = std::min(m_answers + 1, kMemoryAnswers);
  double const sample = std::log(std::clamp(aRatio, 1 / kLargestRatio, kLargestRatio));
  m_logarithm += (sample - m_logarithm) / (m_answers + kPriorAnswers);
}

double PaceEstimate::Value() const
{
  return std::exp(m_logarithm);
}

} // namespace sardinefold::engine
