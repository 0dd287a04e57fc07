#pragma once

#include "Base/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::caller {

/// Finds the token usage that an engine reports at the end of its response.
/// Keeps only the last bytes of the response, so that memory use is bounded for
/// streams.
class UsageScanner
{
public:
  /// Takes the next piece of the response.
  void Feed(std::string_view aPiece);
  /// Prompt plus generated tokens; nullopt if the end of the response does not
  /// report them.
  std::optional<base::Tokens> Total() const;

private:
  std::string m_tail;
};

} // namespace sardinefold::caller
