#pragma once

#include <string>
#include <vector>

namespace sardinefold::operators {

/// One thing wrong with a document.
struct DocumentProblem
{
  /// Where, as a JSON Pointer (RFC 6901); empty for the whole document.
  std::string m_path;
  /// What was expected, and what was found.
  std::string m_message;
};

using DocumentProblems = std::vector<DocumentProblem>;

/// One token of a JSON Pointer, with "~" and "/" escaped.
std::string PointerToken(std::string const& aName);

/// All problems, one a line.
std::string ToText(DocumentProblems const& aProblems);

} // namespace sardinefold::operators
