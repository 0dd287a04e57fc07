#pragma once

#include "Operator/CatalogDifference.h"
#include "Operator/CatalogFinding.h"

#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::programs {

/// Exit statuses of sardinefold-check.
enum class CheckStatus
{
  Clean = 0,
  /// A file cannot be read or is no configuration.
  Unreadable = 1,
  Usage = 2,
  Errors = 3,
  Warnings = 4
};

/// What was found about one configuration.
struct CheckReport
{
  operators::CatalogFindings m_findings;
  /// Against the version in force, if that was given.
  std::vector<operators::CatalogChange> m_changes;
};

CheckStatus StatusOf(CheckReport const& aReport);

/// Names the place of an entry in the configuration's own format.
using PlaceNamer = std::string (*)(operators::CatalogSection aSection, std::string const& aEntry);

/// One line for a finding or an effect, for people.
std::string RenderText(CheckReport const& aReport, PlaceNamer aNamePlace);
/// One JSON object a line.
std::string RenderJsonLines(CheckReport const& aReport, PlaceNamer aNamePlace);

} // namespace sardinefold::programs
