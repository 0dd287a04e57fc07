#pragma once

#include "Service/Claim.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::service {

/// The value of a claim object.
std::string EncodeClaim(Claim const& aClaim);
/// The error names the field.
tl::expected<Claim, std::string> DecodeClaim(std::string_view aValue);

} // namespace sardinefold::service
