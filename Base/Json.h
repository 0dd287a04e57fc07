#pragma once

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::base {

/// Deepest nesting of arrays and objects that a peer may send.
inline constexpr int kMaxJsonDepth = 64;

/// Parses one JSON value, strictly: no comments, no duplicate keys, nothing
/// after the value. The error says what is wrong and where.
tl::expected<Json::Value, std::string> ParseJson(std::string_view aText);

/// Renders without spaces or a newline at the end.
std::string RenderJson(Json::Value const& aValue);

} // namespace sardinefold::base
