#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::base {

/// The type of a setting's value.
enum class SettingKind
{
  Text,
  /// A non-negative integer.
  Count,
  /// A non-negative number of milliseconds.
  Milliseconds,
  /// "address:port".
  Address,
  /// A possibly empty list of "address:port", separated by commas.
  Addresses,
  /// "true" or "false".
  Flag,
  /// Like Text, but never shown.
  Secret
};

/// The definition of one setting of a program.
struct SettingSpec
{
  /// The flag without its dashes. The environment variable is SARDINEFOLD_
  /// followed by the flag in capitals, with "_" instead of "-".
  std::string m_flag;
  SettingKind m_kind;
  std::string m_help;
  /// A setting without a default is required.
  std::optional<std::string> m_default;
};

/// An invalid value of a setting, or a required setting that is missing.
struct SettingsError
{
  std::string m_message;
};

/// The validated settings of a program.
class Settings
{
public:
  std::string const& Text(std::string const& aFlag) const { return m_values.at(aFlag); }
  std::int64_t Count(std::string const& aFlag) const;
  Duration Milliseconds(std::string const& aFlag) const;
  Endpoint Address(std::string const& aFlag) const;
  std::vector<Endpoint> Addresses(std::string const& aFlag) const;
  bool Flag(std::string const& aFlag) const { return m_values.at(aFlag) == "true"; }
  /// Returns the positional arguments.
  std::vector<std::string> const& Arguments() const { return m_arguments; }

private:
  friend class SettingsTable;
  std::map<std::string, std::string> m_values;
  std::vector<std::string> m_arguments;
};

/// The table of a program's settings, from which its help text, its parsing and
/// its validation are derived. A flag takes precedence over its environment
/// variable, and the variable over the default.
class SettingsTable
{
public:
  using Environment = std::function<std::optional<std::string>(std::string const&)>;

  SettingsTable(std::string aProgram, std::string aSummary, std::vector<SettingSpec> aSpecs);

  std::string Help() const;
  /// Renders the settings as a Markdown table.
  std::string Markdown() const;
  tl::expected<Settings, SettingsError> Parse(std::vector<std::string> const& aArguments,
                                              Environment const& aEnvironment) const;

  static std::string VariableName(std::string_view aFlag);

private:
  std::string m_program;
  std::string m_summary;
  std::vector<SettingSpec> m_specs;
};

} // namespace sardinefold::base
