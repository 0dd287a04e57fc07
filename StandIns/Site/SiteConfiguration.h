#pragma once

#include <json/value.h>

#include <cstdint>

namespace sardinefold::standins {

/// Returns the configuration of a small site: two kinds of streaming routes to
/// a deployment of engines, routes for orders and look-ups to a service without
/// models, and two workspaces.
Json::Value SiteConfiguration(std::uint64_t aVersion);

} // namespace sardinefold::standins
