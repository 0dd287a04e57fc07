#include "Operator/Document.h"

namespace sardinefold::operators {

std::string_view ToText(RequestClass aClass)
{
  switch (aClass) {
    case RequestClass::Interactive:
      return "interactive";
    case RequestClass::Standard:
      return "standard";
    case RequestClass::Batch:
      return "batch";
  }
  return "standard";
}

std::string_view ToText(UpstreamKind aKind)
{
  return aKind == UpstreamKind::Engine ? "engine" : "service";
}

} // namespace sardinefold::operators
