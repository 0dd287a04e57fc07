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
  /// HTTP status; 0 when there was no whole answer.
  unsigned m_status = 0;
  /// The refusal's code, or what failed.
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

  /// One JSON object a line: counts, and percentiles of answered requests in
  /// milliseconds.
  std::string Render() const;
  /// Requests without a whole answer or refusal.
  std::uint64_t Lost() const { return m_lost; }

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
  std::uint64_t m_lost = 0;
};

} // namespace sardinefold::programs
