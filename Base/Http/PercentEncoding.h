#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::base {

/// Percent-encodes all but the unreserved characters of RFC 3986.
std::string PercentEncode(std::string_view aText);
/// Returns an empty value if a "%" is not followed by two hexadecimal digits.
std::optional<std::string> PercentDecode(std::string_view aText);

} // namespace sardinefold::base
