#pragma once

#include "Agent/Placement/Placement.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::agent {

/// The value of a placement object.
std::string EncodePlacement(Placement const& aPlacement);
/// The error names the field. A list longer than the decided count, or one
/// that names an upstream twice, is an error.
tl::expected<Placement, std::string> DecodePlacement(std::string_view aValue);

} // namespace sardinefold::agent
