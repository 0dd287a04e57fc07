#include "Operator/CatalogFinding.h"

#include <algorithm>

namespace sardinefold::operators {

std::string_view ToText(FindingSeverity aSeverity)
{
  switch (aSeverity) {
    case FindingSeverity::Warning:
      return "warning";
    case FindingSeverity::Error:
      return "error";
  }
  return "unknown";
}

bool HasErrors(CatalogFindings const& aFindings)
{
  return std::ranges::find(aFindings, FindingSeverity::Error, &CatalogFinding::m_severity) !=
         aFindings.end();
}

} // namespace sardinefold::operators
