#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::agent {

/// Messages travel as JSON-RPC 2.0 notifications, one in a datagram.
std::string EncodeFleetMessage(FleetMessage const& aMessage);
tl::expected<FleetMessage, std::string> DecodeFleetMessage(std::string_view aText);

} // namespace sardinefold::agent
