#include "Caller/RouteTable.h"

#include <algorithm>

namespace sardinefold::caller {

namespace {

bool Matches(std::string_view aPrefix, std::string_view aPath)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPrefix.ends_with('/') || aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/';
}

} // namespace

RouteTable::RouteTable(operators::Document const& aDocument)
{
  for (auto const& [id, route] : aDocument.m_routes) {
    m_longestFirst.push_back(route);
  }
  std::ranges::stable_sort(m_longestFirst, [](auto const& aLeft, auto const& aRight) {
    return aLeft.m_pathPrefix.size() > aRight.m_pathPrefix.size();
  });
}

operators::RouteSpec const* RouteTable::Find(std::string_view aPath) const
{
  auto const found = std::ranges::find_if(
    m_longestFirst, [&](auto const& aRoute) { return Matches(aRoute.m_pathPrefix, aPath); });
  return found == m_longestFirst.end() ? nullptr : &*found;
}

} // namespace sardinefold::caller
