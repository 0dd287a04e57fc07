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

/// What values a setting takes.
enum class SettingKind
{
  Text,
  /// A whole number, not negative.
  Count,
  /// A number of milliseconds, not negative.
  Milliseconds,
  /// "address:port".
  Address,
  /// Any number of "address:port", separated by commas.
  Addresses,
  /// "true" or "false".
  Flag,
  /// Like Text, and never shown.
  Secret
};

/// One row of a program's table of settings.
struct SettingSpec
{
  /// The flag without its dashes. The environment variable is SARDINEFOLD_
  /// and the flag in capitals, with "_" for "-".
  std::string m_flag;
  SettingKind m_kind;
  std::string m_help;
  /// Without a default the setting must be given.
  std::optional<std::string> m_default;
};

/// A value that a setting does not take, or a setting that is missing.
struct SettingsError
{
  std::string m_message;
};

/// The checked settings of a program.
class Settings
{
public:
  std::string const& Text(std::string const& aFlag) const { return m_values.at(aFlag); }
  std::int64_t Count(std::string const& aFlag) const;
  Duration Milliseconds(std::string const& aFlag) const;
  Endpoint Address(std::string const& aFlag) const;
  std::vector<Endpoint> Addresses(std::string const& aFlag) const;
  bool Flag(std::string const& aFlag) const { return m_values.at(aFlag) == "true"; }
  /// Arguments that are not flags.
  std::vector<std::string> const& Arguments() const { return m_arguments; }

private:
  friend class SettingsTable;
  std::map<std::string, std::string> m_values;
  std::vector<std::string> m_arguments;
};

/// The table of a program's settings: the source of its --help, its parsing
/// and its checks. A flag goes before its environment variable, and that
/// before the default.
class SettingsTable
{
public:
  using Environment = std::function<std::optional<std::string>(std::string const&)>;

  SettingsTable(std::string aProgram, std::string aSummary, std::vector<SettingSpec> aSpecs);

  std::string Help() const;
  /// The table as Markdown rows.
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
