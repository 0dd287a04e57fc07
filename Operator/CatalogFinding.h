#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::operators {

enum class FindingSeverity
{
  /// The configuration can be put in force, and something in it has no effect or
  /// contradicts something else.
  Warning,
  /// The configuration, or an entry of it, cannot work.
  Error
};

std::string_view ToText(FindingSeverity aSeverity);

/// The part of a catalog that a finding is about.
enum class CatalogSection
{
  /// The catalog as a whole.
  Whole,
  Routes,
  Deployments,
  Workspaces,
  Limits
};

/// Something that an operator should know of a catalog before it is put in force.
/// Never holds a key.
struct CatalogFinding
{
  FindingSeverity m_severity = FindingSeverity::Warning;
  CatalogSection m_section = CatalogSection::Whole;
  /// Name of the entry; empty for the section as a whole.
  std::string m_entry;
  /// The reason, in one sentence.
  std::string m_message;
};

using CatalogFindings = std::vector<CatalogFinding>;

bool HasErrors(CatalogFindings const& aFindings);

} // namespace sardinefold::operators
