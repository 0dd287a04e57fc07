#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// How one request of the load ended.
struct LoadResult
{
  /// HTTP status; 0 if there was no complete response.
  unsigned m_status = 0;
  /// Code of the refusal or of the failure.
  std::string m_code;
  base::Duration m_firstByte{};
  base::Duration m_responseTime{};
  std::uint64_t m_bytes = 0;
};

/// Collects results for each workspace and class.
class LoadReport
{
public:
  void Add(std::string const& aWorkspace, std::string const& aClass, LoadResult const& aResult);

  /// Renders one JSON object per line, with counts and with percentiles of
  /// answered requests in milliseconds.
  std::string Render() const;
  /// Number of requests without a complete response or refusal.
  std::uint64_t LostRequests() const { return m_lostRequests; }

private:
  struct Group
  {
    std::uint64_t m_sent = 0;
    std::uint64_t m_bytes = 0;
    std::map<std::string, std::uint64_t> m_refused;
    std::vector<double> m_firstByte;
    std::vector<double> m_responseTime;
  };

  std::map<std::pair<std::string, std::string>, Group> m_groups;
  std::uint64_t m_lostRequests = 0;
};

} // namespace sardinefold::programs
