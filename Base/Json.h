#pragma once

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::base {

/// Maximum nesting depth of arrays and objects in messages of peers.
inline constexpr int kMaxJsonDepth = 64;

/// Parses one JSON value in strict mode, which rejects comments, duplicate keys
/// and data after the value. The error says what is wrong and where.
tl::expected<Json::Value, std::string> ParseJson(std::string_view aText);

/// Renders compactly, without whitespace and without a trailing newline.
std::string RenderJson(Json::Value const& aValue);

} // namespace sardinefold::base
