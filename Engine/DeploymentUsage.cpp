#include "Engine/DeploymentUsage.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

constexpr unsigned kMemory = 64;
/// What a request costs beside the reading of its prompt, in tokens.
constexpr double kFixedTokens = 200;
/// Bounds on one request's part of an estimate.
constexpr double kLeastWork = 0.25;
constexpr double kMostWork = 8;

/// Moves a mean of the last values, about kMemory of them, towards a new one.
void Average(double& aMean, unsigned& aCount, double aValue)
{
  aCount = std::min(aCount + 1, kMemory);
  aMean += (aValue - aMean) / aCount;
}

} // namespace

void DeploymentUsage::OnRequest(std::optional<base::Tokens> aPrompt)
{
  if (aPrompt) {
    Average(m_promptTokens, m_requests, static_cast<double>(aPrompt->Value()));
  }
}

RequestWork DeploymentUsage::WorkOf(std::optional<base::Tokens> aPrompt) const
{
  if (!aPrompt || m_requests == 0) {
    return RequestWork(1);
  }
  auto const tokens = static_cast<double>(aPrompt->Value());
  return RequestWork(
    std::clamp((kFixedTokens + tokens) / (kFixedTokens + m_promptTokens), kLeastWork, kMostWork));
}

double DeploymentUsage::OnAnswer(base::Duration aTime, RequestWork aWork, double aSlowness)
{
  double const seconds = base::ToSeconds(aTime) / (std::max(aWork.Value(), kLeastWork) * aSlowness);
  Average(m_secondsPerWork, m_answers, seconds);
  return m_secondsPerWork > 0 ? seconds / m_secondsPerWork : 1;
}

std::optional<base::Duration> DeploymentUsage::TimeOf(RequestWork aWork) const
{
  return m_answers == 0 ? std::nullopt
                        : std::optional(base::FromSeconds(m_secondsPerWork * aWork.Value()));
}

} // namespace sardinefold::engine
