#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::bench {

/// One "request ended" line of a gateway's log.
struct LoggedRequest
{
  std::string m_route;
  std::optional<base::ModelId> m_model;
  /// Time of arrival, meaningful only relative to other requests.
  base::Instant m_arrival{};
  base::Duration m_goal{};
  base::Duration m_first{};
  base::Duration m_waited{};
  double m_tokens = 0;
  unsigned m_attempts = 0;
  unsigned m_status = 0;
  std::string m_outcome;
};

/// Reads the "request ended" lines of gateways' logs and ignores all others. A
/// line may have a prefix, as log collectors add one.
std::vector<LoggedRequest> ReadRequests(std::istream& aLog);

/// Returns why a request did not earn its weight; empty if it did. Requests that
/// are rightly refused, such as those without a key, are "not owed".
std::string LossCause(LoggedRequest const& aRequest);

/// Returns the weight of each request, by its size relative to the mean of its
/// route.
std::vector<double> RequestWeights(std::vector<LoggedRequest> const& aRequests);

} // namespace sardinefold::bench
