#pragma once

#include "Operator/CatalogCheck.h"
#include "Programs/Check/CheckReport.h"
#include "Programs/ProgramLifecycle.h"

#include <tl/expected.hpp>

#include <concepts>
#include <fstream>
#include <iostream>
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
    Format::FindUnread(aText)
    } -> std::same_as<operators::CatalogFindings>;
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
    auto const text = Read(files.front());
    auto const catalog =
      text.and_then([&](std::string const& aText) { return Decode(files.front(), aText); });
    if (!catalog) {
      return Fail(catalog.error(), CheckStatus::Unreadable);
    }
    auto const site = SiteOf(*start.m_settings);
    if (!site) {
      return Fail(site.error(), CheckStatus::Usage);
    }
    CheckReport report{ Format::FindUnread(*text), {} };
    Append(operators::CheckCatalog(*catalog, *site), report);
    if (files.size() == 2) {
      auto const former = Read(files.back());
      auto const inForce =
        former.and_then([&](std::string const& aText) { return Decode(files.back(), aText); });
      if (!inForce) {
        return Fail(inForce.error(), CheckStatus::Unreadable);
      }
      Append(operators::CheckReplacement(*inForce, *catalog), report);
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

  static tl::expected<operators::SiteCapacity, std::string> SiteOf(base::Settings const& aSettings)
  {
    constexpr std::int64_t kMegabyte = 1024 * 1024;
    operators::SiteCapacity site;
    if (auto const memory = aSettings.Count("gateway-memory-mb"); memory > 0) {
      site.m_gatewayMemory = base::Bytes(memory * kMegabyte);
    }
    std::istringstream regions(aSettings.Text("regions"));
    for (std::string region; std::getline(regions >> std::ws, region, ',');) {
      region.erase(region.find_last_not_of(' ') + 1);
      auto id = base::RegionId::Create(region);
      if (!id) {
        return tl::make_unexpected("--regions: \"" + region + "\" is no name of a region");
      }
      site.m_regions.insert(std::move(*id));
    }
    return site;
  }

  static tl::expected<std::string, std::string> Read(std::string const& aPath)
  {
    std::ifstream const file(aPath);
    std::stringstream text;
    // Fails for a directory, too, and for an empty file.
    if (!file || !(text << file.rdbuf())) {
      return tl::make_unexpected(aPath + " cannot be read");
    }
    return text.str();
  }

  static tl::expected<operators::ServingCatalog, std::string> Decode(std::string const& aPath,
                                                                     std::string const& aText)
  {
    auto catalog = Format::Decode(aText);
    if (!catalog) {
      return tl::make_unexpected(aPath + ": " + catalog.error());
    }
    return catalog;
  }

  static void Append(operators::CatalogFindings const& aFindings, CheckReport& aReport)
  {
    aReport.m_findings.insert(aReport.m_findings.end(), aFindings.begin(), aFindings.end());
  }

  static int Fail(std::string const& aMessage, CheckStatus aStatus)
  {
    std::cerr << kName << ": " << aMessage << "\n";
    return static_cast<int>(aStatus);
  }
};

} // namespace sardinefold::programs
