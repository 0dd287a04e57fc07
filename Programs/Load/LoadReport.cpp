#include "Programs/Load/LoadReport.h"

#include "Base/Json.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::programs {

namespace {

constexpr unsigned kFirstErrorStatus = 400;

Json::Value Percentiles(std::vector<double> aValues)
{
  Json::Value result(Json::objectValue);
  if (aValues.empty()) {
    return result;
  }
  std::ranges::sort(aValues);
  auto const at = [&](double aShare) {
    auto const rank = static_cast<std::size_t>(std::ceil(aShare * double(aValues.size())));
    return aValues[std::max<std::size_t>(rank, 1) - 1];
  };
  result["p50"] = at(0.50);
  result["p95"] = at(0.95);
  result["p99"] = at(0.99);
  result["max"] = aValues.back();
  return result;
}

double Milliseconds(base::Duration aTime)
{
  return base::ToSeconds(aTime) * 1000;
}

} // namespace

void LoadReport::Add(std::string const& aWorkspace, std::string const& aClass,
                     LoadResult const& aResult)
{
  auto& group = m_groups[{ aWorkspace, aClass }];
  ++group.m_sent;
  group.m_bytes += aResult.m_bytes;
  if (aResult.m_status == 0) {
    ++m_lostRequests;
  }
  if (aResult.m_status == 0 || aResult.m_status >= kFirstErrorStatus) {
    ++group.m_refused[aResult.m_code];
    return;
  }
  group.m_firstByte.push_back(Milliseconds(aResult.m_firstByte));
  group.m_responseTime.push_back(Milliseconds(aResult.m_responseTime));
}

std::string LoadReport::Render() const
{
  std::string text;
  for (auto const& [name, group] : m_groups) {
    Json::Value line;
    line["workspace"] = name.first;
    line["class"] = name.second;
    line["sent"] = static_cast<Json::UInt64>(group.m_sent);
    line["answered"] = static_cast<Json::UInt64>(group.m_responseTime.size());
    line["bytes"] = static_cast<Json::UInt64>(group.m_bytes);
    line["first_byte_ms"] = Percentiles(group.m_firstByte);
    line["whole_ms"] = Percentiles(group.m_responseTime);
    line["refused"] = Json::Value(Json::objectValue);
    for (auto const& [code, count] : group.m_refused) {
      line["refused"][code] = static_cast<Json::UInt64>(count);
    }
    text += base::RenderJson(line) + "\n";
  }
  return text;
}

} // namespace sardinefold::programs
