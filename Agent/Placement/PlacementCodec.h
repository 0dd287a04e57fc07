#pragma once

#include "Agent/Placement/Placement.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::agent {

/// Encodes the value of a placement object.
std::string EncodePlacement(Placement const& aPlacement);
/// Decodes the value of a placement object. The error names the field. It is an
/// error if the list of holders is longer than the decided count or lists an
/// upstream twice.
tl::expected<Placement, std::string> DecodePlacement(std::string_view aValue);

} // namespace sardinefold::agent
