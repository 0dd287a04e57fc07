#pragma once

#include "Operator/Document.h"

#include <string_view>
#include <vector>

namespace sardinefold::caller {

/// Finds the route of a path: the one with the longest prefix that ends at a
/// boundary between path segments.
class RouteTable
{
public:
  explicit RouteTable(operators::Document const& aDocument);

  /// Returns the route; null if no prefix matches.
  operators::RouteSpec const* Find(std::string_view aPath) const;

private:
  std::vector<operators::RouteSpec> m_longestFirst;
};

} // namespace sardinefold::caller
