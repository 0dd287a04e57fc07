#include "Programs/Check/CheckReport.h"

#include "Base/Json.h"

#include <json/value.h>

namespace sardinefold::programs {

CheckStatus StatusOf(CheckReport const& aReport)
{
  if (operators::HasErrors(aReport.m_findings)) {
    return CheckStatus::Errors;
  }
  return aReport.m_findings.empty() ? CheckStatus::Clean : CheckStatus::Warnings;
}

std::string RenderText(CheckReport const& aReport, PlaceNamer aNamePlace)
{
  std::string text;
  for (auto const& finding : aReport.m_findings) {
    text += std::string(ToText(finding.m_severity)) + " " +
            aNamePlace(finding.m_section, finding.m_entry) + ": " + finding.m_message + "\n";
  }
  for (auto const& change : aReport.m_changes) {
    text += std::string(ToText(change.m_kind)) + " " +
            aNamePlace(change.m_section, change.m_entry) + "\n";
    for (auto const& effect : change.m_effects) {
      text += "  " + effect + "\n";
    }
  }
  return text;
}

std::string RenderJsonLines(CheckReport const& aReport, PlaceNamer aNamePlace)
{
  std::string text;
  for (auto const& finding : aReport.m_findings) {
    Json::Value line;
    line["severity"] = std::string(ToText(finding.m_severity));
    line["path"] = aNamePlace(finding.m_section, finding.m_entry);
    line["message"] = finding.m_message;
    text += base::RenderJson(line) + "\n";
  }
  for (auto const& change : aReport.m_changes) {
    Json::Value line;
    line["change"] = std::string(ToText(change.m_kind));
    line["path"] = aNamePlace(change.m_section, change.m_entry);
    line["effects"] = Json::Value(Json::arrayValue);
    for (auto const& effect : change.m_effects) {
      line["effects"].append(effect);
    }
    text += base::RenderJson(line) + "\n";
  }
  return text;
}

} // namespace sardinefold::programs
