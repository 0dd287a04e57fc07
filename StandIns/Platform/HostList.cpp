#include "StandIns/Platform/HostList.h"

#include <array>

namespace sardinefold::standins {

namespace {

constexpr std::array<char const*, 6> kFields = { "host",   "role",    "failure_domain",
                                                 "region", "address", "state" };

tl::expected<void, std::string> CheckHost(Json::Value const& aHost)
{
  if (!aHost.isObject()) {
    return tl::make_unexpected("must be an object");
  }
  for (auto const* const field : kFields) {
    if (!aHost[field].isString()) {
      return tl::make_unexpected("field \"" + std::string(field) + "\" must be a string");
    }
  }
  auto const role = aHost["role"].asString();
  if (role != "entry" && role != "upstream") {
    return tl::make_unexpected("field \"role\" must be entry or upstream");
  }
  auto const state = aHost["state"].asString();
  if (state != "live" && state != "leaving") {
    return tl::make_unexpected("field \"state\" must be live or leaving");
  }
  return {};
}

} // namespace

tl::expected<void, std::string> HostList::Set(Json::Value const& aList, base::Instant aNow)
{
  if (!aList.isObject() || !aList["hosts"].isArray()) {
    return tl::make_unexpected("field \"hosts\" must be an array");
  }
  for (auto const& host : aList["hosts"]) {
    if (auto const checked = CheckHost(host); !checked) {
      return tl::make_unexpected("an entry of \"hosts\" " + checked.error());
    }
  }
  m_pending.push_back({ aNow, aList });
  return {};
}

Json::Value HostList::Visible(base::Instant aNow)
{
  while (!m_frozen && !m_pending.empty() && m_pending.front().m_setAt + m_lag <= aNow) {
    m_visible = std::move(m_pending.front().m_list);
    m_pending.pop_front();
  }
  if (m_visible.isNull()) {
    m_visible["hosts"] = Json::Value(Json::arrayValue);
  }
  return m_visible;
}

} // namespace sardinefold::standins
