#include "Operator/ChangeKind.h"

namespace sardinefold::operators {

std::string_view ToText(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::Added:
      return "added";
    case ChangeKind::Removed:
      return "removed";
    case ChangeKind::Changed:
      return "changed";
  }
  return "changed";
}

} // namespace sardinefold::operators
