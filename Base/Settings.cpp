#include "Base/Settings.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace sardinefold::base {

namespace {

tl::expected<std::int64_t, std::string> ParseCount(std::string const& aText)
{
  std::int64_t value = 0;
  auto const parsed = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  bool const isComplete = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  if (!isComplete || value < 0) {
    return tl::make_unexpected("\"" + aText + "\" is not a non-negative integer");
  }
  return value;
}

tl::expected<std::vector<Endpoint>, std::string> ParseAddresses(std::string const& aText)
{
  std::vector<Endpoint> endpoints;
  std::string_view rest = aText;
  while (!rest.empty()) {
    auto const item = rest.substr(0, rest.find(','));
    auto endpoint = Endpoint::Parse(item);
    if (!endpoint) {
      return tl::make_unexpected(endpoint.error());
    }
    endpoints.push_back(std::move(*endpoint));
    rest.remove_prefix(std::min(item.size() + 1, rest.size()));
  }
  return endpoints;
}

tl::expected<void, std::string> CheckValue(SettingKind aKind, std::string const& aText)
{
  switch (aKind) {
    case SettingKind::Text:
    case SettingKind::Secret:
      return {};
    case SettingKind::Count:
    case SettingKind::Milliseconds:
      return ParseCount(aText).map([](std::int64_t) {});
    case SettingKind::Address:
      return Endpoint::Parse(aText).map([](Endpoint const&) {});
    case SettingKind::Addresses:
      return ParseAddresses(aText).map([](std::vector<Endpoint> const&) {});
    case SettingKind::Flag:
      if (aText != "true" && aText != "false") {
        return tl::make_unexpected("\"" + aText + "\" is neither true nor false");
      }
      return {};
  }
  return {};
}

std::string_view KindText(SettingKind aKind)
{
  switch (aKind) {
    case SettingKind::Text:
      return "text";
    case SettingKind::Secret:
      return "secret text";
    case SettingKind::Count:
      return "whole number";
    case SettingKind::Milliseconds:
      return "milliseconds";
    case SettingKind::Address:
      return "address:port";
    case SettingKind::Addresses:
      return "address:port,...";
    case SettingKind::Flag:
      return "true or false";
  }
  return "";
}

} // namespace

std::int64_t Settings::Count(std::string const& aFlag) const
{
  return *ParseCount(m_values.at(aFlag));
}

Duration Settings::Milliseconds(std::string const& aFlag) const
{
  return std::chrono::milliseconds(Count(aFlag));
}

Endpoint Settings::Address(std::string const& aFlag) const
{
  return *Endpoint::Parse(m_values.at(aFlag));
}

std::vector<Endpoint> Settings::Addresses(std::string const& aFlag) const
{
  return *ParseAddresses(m_values.at(aFlag));
}

SettingsTable::SettingsTable(std::string aProgram, std::string aSummary,
                             std::vector<SettingSpec> aSpecs)
  : m_program(std::move(aProgram))
  , m_summary(std::move(aSummary))
  , m_specs(std::move(aSpecs))
{
}

std::string SettingsTable::VariableName(std::string_view aFlag)
{
  std::string name = "SARDINEFOLD_";
  for (char const character : aFlag) {
    bool const isLower = character >= 'a' && character <= 'z';
    name += isLower ? static_cast<char>(character - 'a' + 'A') : character == '-' ? '_' : character;
  }
  return name;
}

std::string SettingsTable::Help() const
{
  std::string text = "Usage: " + m_program + " [--flag=value ...]\n\n" + m_summary + "\n\n";
  for (auto const& spec : m_specs) {
    text += "  --" + spec.m_flag + "=<" + std::string(KindText(spec.m_kind)) + ">\n";
    text += "      " + spec.m_help + "\n";
    text += "      Environment: " + VariableName(spec.m_flag);
    text += spec.m_default ? "; default: \"" + *spec.m_default + "\"\n" : "; required\n";
  }
  text += "  --help\n      Shows this text.\n  --version\n      Shows the version.\n";
  return text;
}

std::string SettingsTable::Markdown() const
{
  std::string text = "| flag | environment variable | value | default | meaning |\n"
                     "| --- | --- | --- | --- | --- |\n";
  for (auto const& spec : m_specs) {
    auto const fallback = spec.m_default ? "`" + *spec.m_default + "`" : std::string("required");
    text += "| `--" + spec.m_flag + "` | `" + VariableName(spec.m_flag) + "` | " +
            std::string(KindText(spec.m_kind)) + " | " + (fallback == "``" ? "empty" : fallback) +
            " | " + spec.m_help + " |\n";
  }
  return text;
}

tl::expected<Settings, SettingsError> SettingsTable::Parse(
  std::vector<std::string> const& aArguments, Environment const& aEnvironment) const
{
  cxxopts::Options options(m_program);
  for (auto const& spec : m_specs) {
    auto const value = spec.m_kind == SettingKind::Flag
                         ? cxxopts::value<std::string>()->implicit_value("true")
                         : cxxopts::value<std::string>();
    options.add_options()(spec.m_flag, spec.m_help, value);
  }
  options.add_options()("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("arguments");
  std::vector<char const*> pointers{ m_program.c_str() };
  for (auto const& argument : aArguments) {
    pointers.push_back(argument.c_str());
  }
  Settings settings;
  try {
    auto const parsed = options.parse(static_cast<int>(pointers.size()), pointers.data());
    if (parsed.count("arguments")) {
      settings.m_arguments = parsed["arguments"].as<std::vector<std::string>>();
    }
    for (auto const& spec : m_specs) {
      auto const variable = VariableName(spec.m_flag);
      auto value = spec.m_default;
      if (auto const fromEnvironment = aEnvironment(variable)) {
        value = fromEnvironment;
      }
      if (parsed.count(spec.m_flag)) {
        value = parsed[spec.m_flag].as<std::string>();
      }
      auto const name = "--" + spec.m_flag + " (" + variable + ")";
      if (!value) {
        return tl::make_unexpected(SettingsError{ name + " is required: " + spec.m_help });
      }
      if (auto const checked = CheckValue(spec.m_kind, *value); !checked) {
        return tl::make_unexpected(SettingsError{ name + ": " + checked.error() });
      }
      settings.m_values[spec.m_flag] = *value;
    }
  } catch (cxxopts::exceptions::exception const& error) {
    return tl::make_unexpected(SettingsError{ std::string(error.what()) + "; see --help" });
  }
  return settings;
}

} // namespace sardinefold::base
