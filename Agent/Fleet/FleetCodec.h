#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::agent {

/// Messages travel as JSON-RPC 2.0 notifications, one in a datagram.
std::string EncodeFleetMessage(FleetEnvelope const& aEnvelope);
std::string EncodeFleetMessage(FleetMessage const& aMessage);
/// The error says which field is missing or malformed.
tl::expected<FleetEnvelope, std::string> DecodeFleetMessage(std::string_view aText);

} // namespace sardinefold::agent
