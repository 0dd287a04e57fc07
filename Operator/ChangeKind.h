#pragma once

#include <string_view>

namespace sardinefold::operators {

/// How an entry differs between two versions of a configuration.
enum class ChangeKind
{
  Added,
  Removed,
  Changed
};

std::string_view ToText(ChangeKind aKind);

} // namespace sardinefold::operators
