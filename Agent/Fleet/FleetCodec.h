#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::agent {

/// Encodes a message as a JSON-RPC 2.0 notification; each datagram contains
/// one.
std::string EncodeFleetMessage(FleetEnvelope const& aEnvelope);
std::string EncodeFleetMessage(FleetMessage const& aMessage);
/// Decodes a message. The error states which field is missing or malformed.
tl::expected<FleetEnvelope, std::string> DecodeFleetMessage(std::string_view aText);

} // namespace sardinefold::agent
