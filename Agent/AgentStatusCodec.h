#pragma once

#include "Agent/AgentStatus.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::agent {

/// The result of the method agent.status.
Json::Value EncodeAgentStatus(AgentStatus const& aStatus);
/// The error names the field.
tl::expected<AgentStatus, std::string> DecodeAgentStatus(Json::Value const& aValue);

} // namespace sardinefold::agent
