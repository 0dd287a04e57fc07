#pragma once

#include <string>
#include <vector>

namespace sardinefold::operators {

/// One error in a document.
struct DocumentProblem
{
  /// Location as a JSON Pointer (RFC 6901); empty for the whole document.
  std::string m_path;
  /// States what was expected and what was found.
  std::string m_message;
};

using DocumentProblems = std::vector<DocumentProblem>;

/// Returns a name as one token of a JSON Pointer, with "~" and "/" escaped.
std::string PointerToken(std::string const& aName);

/// Renders all problems, one per line.
std::string ToText(DocumentProblems const& aProblems);

} // namespace sardinefold::operators
