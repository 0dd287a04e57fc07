#pragma once

#include "Base/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::caller {

/// Finds the token usage that an engine states at the end of its answer, from
/// the answer's last bytes, so that a stream needs no further memory.
class UsageScanner
{
public:
  /// Takes the next piece of the answer.
  void Feed(std::string_view aPiece);
  /// Prompt plus generated tokens, if the answer's end stated them.
  std::optional<base::Tokens> Total() const;

private:
  std::string m_tail;
};

} // namespace sardinefold::caller
