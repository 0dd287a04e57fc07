#include "Bench/Workload/RequestLog.h"

#include "Base/Json.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>

namespace sardinefold::bench {

namespace {

base::Duration Milliseconds(Json::Value const& aFields, char const* aName)
{
  return std::chrono::milliseconds(std::strtoll(aFields[aName].asCString(), nullptr, 10));
}

/// Parses the time of day of a log line's timestamp, such as
/// "2026-01-31 23:59:59,999".
std::optional<base::Instant> ToInstant(std::string const& aTimestamp)
{
  int hours = 0;
  int minutes = 0;
  int seconds = 0;
  int milliseconds = 0;
  auto const space = aTimestamp.find(' ');
  if (space == std::string::npos || std::sscanf(aTimestamp.c_str() + space, "%d:%d:%d,%d", &hours,
                                                &minutes, &seconds, &milliseconds) != 4) {
    return std::nullopt;
  }
  return base::Instant(std::chrono::hours(hours) + std::chrono::minutes(minutes) +
                       std::chrono::seconds(seconds) + std::chrono::milliseconds(milliseconds));
}

std::optional<LoggedRequest> ToRequest(Json::Value const& aLine)
{
  auto const& fields = aLine["context_map"];
  auto const end = ToInstant(aLine["timestamp"].asString());
  if (!end || !fields.isObject() || !fields["goal_ms"].isString()) {
    return std::nullopt;
  }
  LoggedRequest request;
  request.m_route = fields["route"].asString();
  if (auto const model = base::ModelId::Create(fields["model"].asString())) {
    request.m_model = *model;
  }
  request.m_arrival = *end - Milliseconds(fields, "total_ms");
  request.m_goal = Milliseconds(fields, "goal_ms");
  request.m_first = Milliseconds(fields, "first_ms");
  request.m_waited = Milliseconds(fields, "waited_ms");
  request.m_tokens = std::strtod(fields["tokens"].asCString(), nullptr);
  request.m_attempts =
    static_cast<unsigned>(std::strtoul(fields["sends"].asCString(), nullptr, 10));
  request.m_status = static_cast<unsigned>(std::strtoul(fields["status"].asCString(), nullptr, 10));
  request.m_outcome = fields["outcome"].asString();
  return request;
}

} // namespace

std::vector<LoggedRequest> ReadRequests(std::istream& aLog)
{
  std::vector<LoggedRequest> requests;
  std::string line;
  while (std::getline(aLog, line)) {
    auto const start = line.find('{');
    if (start == std::string::npos || line.find("\"request ended\"") == std::string::npos) {
      continue;
    }
    auto const parsed = base::ParseJson(std::string_view(line).substr(start));
    auto request = parsed ? ToRequest(*parsed) : std::nullopt;
    if (request) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::string LossCause(LoggedRequest const& aRequest)
{
  constexpr std::array kNotEligible{ "no route", "unknown key", "caller left", "allowance used up",
                                     "malformed request" };
  constexpr int kGoalDivisor = 3;
  if (std::ranges::find(kNotEligible, aRequest.m_outcome) != kNotEligible.end()) {
    return "not owed";
  }
  if (aRequest.m_status < 200 || aRequest.m_status >= 300 || aRequest.m_outcome != "answered") {
    return aRequest.m_outcome.empty() ? "failed" : aRequest.m_outcome;
  }
  if (aRequest.m_first <= aRequest.m_goal) {
    return "";
  }
  if (aRequest.m_waited > aRequest.m_goal / kGoalDivisor) {
    return "late: waited for a model";
  }
  return aRequest.m_attempts > 1 ? "late: sent again" : "late: queued at the engine";
}

std::vector<double> RequestWeights(std::vector<LoggedRequest> const& aRequests)
{
  // The weights that the site assigns: a fixed part for each request, the rest
  // in proportion to its size, at most four times the mean.
  constexpr double kFixedWeight = 0.3;
  constexpr double kMaximumWeight = 4;
  std::map<std::string, std::pair<double, double>> sums;
  for (auto const& request : aRequests) {
    auto& [tokens, count] = sums[request.m_route];
    tokens += request.m_tokens;
    count += 1;
  }
  std::vector<double> weight;
  for (auto const& request : aRequests) {
    auto const& [tokens, count] = sums[request.m_route];
    double const size = tokens > 0 ? request.m_tokens * count / tokens : 1;
    weight.push_back(std::min(kFixedWeight + (1 - kFixedWeight) * size, kMaximumWeight));
  }
  return weight;
}

} // namespace sardinefold::bench
