#pragma once

#include "Operator/CatalogCheck.h"
#include "Programs/Check/CheckReport.h"
#include "Programs/ProgramLifecycle.h"

#include <tl/expected.hpp>

#include <concepts>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Reads configurations in the format of one front end.
template<typename Format>
concept ConfigurationFormat = requires(std::string const& aText, operators::CatalogSection aSection)
{
  {
    Format::Decode(aText)
    } -> std::same_as<tl::expected<operators::ServingCatalog, std::string>>;
  {
    Format::NamePlace(aSection, aText)
    } -> std::same_as<std::string>;
};

/// Checks a configuration before it is sent, and compares it with the one in force.
template<ConfigurationFormat Format>
class CheckProgram
{
public:
  static int Run(int aArgumentCount, char** aArguments)
  {
    auto const start = StartProgram(Table(), kName, aArgumentCount, aArguments);
    if (!start.m_settings) {
      return start.m_exitStatus;
    }
    auto const& files = start.m_settings->Arguments();
    auto const& output = start.m_settings->Text("output");
    if (files.empty() || files.size() > 2 || (output != "text" && output != "json")) {
      return Fail("usage: sardinefold-check [--output text|json] FILE [FILE IN FORCE]",
                  CheckStatus::Usage);
    }
    auto const catalog = Read(files.front());
    if (!catalog) {
      return Fail(catalog.error(), CheckStatus::Unreadable);
    }
    CheckReport report{ operators::CheckCatalog(*catalog, SiteOf(*start.m_settings)), {} };
    if (files.size() == 2) {
      auto const inForce = Read(files.back());
      if (!inForce) {
        return Fail(inForce.error(), CheckStatus::Unreadable);
      }
      auto replacement = operators::CheckReplacement(*inForce, *catalog);
      report.m_findings.insert(report.m_findings.end(), replacement.begin(), replacement.end());
      report.m_changes = operators::CompareCatalogs(*inForce, *catalog);
    }
    std::cout << (output == "json" ? RenderJsonLines(report, Format::NamePlace)
                                   : RenderText(report, Format::NamePlace));
    return static_cast<int>(StatusOf(report));
  }

private:
  static constexpr char kName[] = "sardinefold-check";

  static base::SettingsTable Table()
  {
    using base::SettingKind;
    return {
      kName,
      "Checks a configuration before it is sent: FILE [FILE IN FORCE].\n\nExit status: 0 "
      "clean, 1 a file cannot be read, 2 wrong usage, 3 errors, 4 warnings only.",
      { { "output", SettingKind::Text, "Output format: text or json, one object a line", "text" },
        { "gateway-memory-mb", SettingKind::Count,
          "Memory of the smallest gateway in MB; 0 if it is not to be checked", "0" },
        { "regions", SettingKind::Text,
          "Regions of the site, separated by commas; empty if they are not to be checked", "" },
        { "log-level", SettingKind::Text, "Lowest level logged: debug, info, warning, error",
          "warning" } }
    };
  }

  static operators::SiteCapacity SiteOf(base::Settings const& aSettings)
  {
    constexpr std::int64_t kMegabyte = 1024 * 1024;
    operators::SiteCapacity site;
    if (auto const memory = aSettings.Count("gateway-memory-mb"); memory > 0) {
      site.m_gatewayMemory = base::Bytes(static_cast<std::int64_t>(memory) * kMegabyte);
    }
    std::istringstream regions(aSettings.Text("regions"));
    for (std::string region; std::getline(regions, region, ',');) {
      if (auto id = base::RegionId::Create(region)) {
        site.m_regions.insert(std::move(*id));
      }
    }
    return site;
  }

  static tl::expected<operators::ServingCatalog, std::string> Read(std::string const& aPath)
  {
    std::ifstream file(aPath);
    std::string const text(std::istreambuf_iterator<char>(file), {});
    if (!file) {
      return tl::make_unexpected(aPath + " cannot be read");
    }
    auto catalog = Format::Decode(text);
    if (!catalog) {
      return tl::make_unexpected(aPath + ": " + catalog.error());
    }
    return catalog;
  }

  static int Fail(std::string const& aMessage, CheckStatus aStatus)
  {
    std::cerr << kName << ": " << aMessage << "\n";
    return static_cast<int>(aStatus);
  }
};

} // namespace sardinefold::programs
