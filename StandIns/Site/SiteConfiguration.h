#pragma once

#include <json/value.h>

#include <cstdint>

namespace sardinefold::standins {

/// What an operator of the small site has put in force: two kinds of streams
/// before a deployment of engines, orders and look-ups before a plain service,
/// and two workspaces.
Json::Value SiteConfiguration(std::uint64_t aVersion);

} // namespace sardinefold::standins
