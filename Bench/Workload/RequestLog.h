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
  /// Of the arrival; only differences count.
  base::Instant m_arrival{};
  base::Duration m_goal{};
  base::Duration m_first{};
  base::Duration m_waited{};
  double m_tokens = 0;
  unsigned m_attempts = 0;
  unsigned m_status = 0;
  std::string m_outcome;
};

/// Reads gateways' logs; other lines are passed over. Each line may stand
/// behind some text, as tools that gather logs put it there.
std::vector<LoggedRequest> ReadRequests(std::istream& aLog);

/// Why a request did not earn its full weight; empty if it did. Requests that
/// earn nothing by right, as those without a key, are "not owed".
std::string LossCause(LoggedRequest const& aRequest);

/// The weight of each request by its size against the mean of its route.
std::vector<double> RequestWeights(std::vector<LoggedRequest> const& aRequests);

} // namespace sardinefold::bench
