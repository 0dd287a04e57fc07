#pragma once

#include "Base/Settings.h"
#include "Programs/Control/ControlClient.h"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::programs {

/// Exit statuses of sardinefoldctl.
enum class ControlStatus
{
  Done = 0,
  Failed = 1,
  Usage = 2,
  Invalid = 3,
  Conflict = 4,
  Unknown = 5,
  Behind = 6,
  /// The documents compared by diff differ.
  Different = 7
};

ControlStatus StatusOf(ControlError::Kind aKind);

/// Output of a command.
struct ControlOutput
{
  /// Printed with --output json.
  Json::Value m_value;
  /// Printed with --output text.
  std::string m_text;
  ControlStatus m_status = ControlStatus::Done;
};

/// Description of one command for --help and completion.
struct CommandSpec
{
  std::string_view m_name;
  std::string_view m_arguments;
  std::string_view m_help;
};

std::vector<CommandSpec> const& AllCommands();

/// Runs the command that the arguments name.
ControlTask<ControlOutput> RunCommand(ControlClient& aClient, base::Settings const& aSettings);

} // namespace sardinefold::programs
