#include "Operator/DocumentProblem.h"

namespace sardinefold::operators {

std::string PointerToken(std::string const& aName)
{
  std::string token;
  for (char const character : aName) {
    if (character == '~') {
      token += "~0";
    } else if (character == '/') {
      token += "~1";
    } else {
      token += character;
    }
  }
  return token;
}

std::string ToText(DocumentProblems const& aProblems)
{
  std::string text;
  for (auto const& problem : aProblems) {
    text +=
      (problem.m_path.empty() ? "document" : problem.m_path) + ": " + problem.m_message + "\n";
  }
  return text;
}

} // namespace sardinefold::operators
