#pragma once

#include "Service/Claim.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::service {

/// Encodes a claim as the value of a claim object.
std::string EncodeClaim(Claim const& aClaim);
/// Decodes the value of a claim object; the error names the field.
tl::expected<Claim, std::string> DecodeClaim(std::string_view aValue);

} // namespace sardinefold::service
