#pragma once

#include <string>
#include <string_view>

namespace sardinefold::base {

/// Compares text without regard to the case of ASCII letters, independent of the
/// locale.
bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);
void AppendLowerCase(std::string_view aText, std::string& aOutput);
bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix);

} // namespace sardinefold::base
