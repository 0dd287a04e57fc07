#pragma once

#include "Agent/AgentStatus.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::agent {

/// Encodes the result of the RPC method agent.status.
Json::Value EncodeAgentStatus(AgentStatus const& aStatus);
/// Decodes the result of agent.status. The error names the field that is
/// missing or malformed.
tl::expected<AgentStatus, std::string> DecodeAgentStatus(Json::Value const& aValue);

} // namespace sardinefold::agent
