#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/RequestWork.h"

#include <optional>

namespace sardinefold::engine {

/// Learns what is usual for the requests of one deployment: the size of their prompts,
/// and the time in which an upstream of usual pace does one unit of work.
class DeploymentUsage
{
public:
  void OnRequest(std::optional<base::Tokens> aPrompt);
  /// A request whose size is not known is a usual one.
  RequestWork WorkOf(std::optional<base::Tokens> aPrompt) const;
  /// The answer to a request that found this work before it, itself included, began after
  /// this time at an upstream of that slowness. Returns the time over what is expected.
  double OnAnswer(base::Duration aTime, RequestWork aWork, double aSlowness);
  /// Empty until the first answer.
  std::optional<base::Duration> TimeOf(RequestWork aWork) const;

private:
  double m_promptTokens = 0;
  unsigned m_requests = 0;
  double m_secondsPerWork = 0;
  unsigned m_answers = 0;
};

} // namespace sardinefold::engine
