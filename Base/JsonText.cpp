#include "Base/JsonText.h"

#include <algorithm>
#include <cstddef>

namespace sardinefold::base {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kScalarEnd = " \t\r\n,:]}";

/// Reads the outermost structure of a JSON text.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : m_text(aText)
  {
  }

  bool IsAtEnd()
  {
    SkipWhitespace();
    return m_position == m_text.size();
  }

  bool Take(char aCharacter)
  {
    SkipWhitespace();
    bool const isNext = m_position < m_text.size() && m_text[m_position] == aCharacter;
    m_position += isNext ? 1 : 0;
    return isNext;
  }

  /// Returns the contents of a string without its quotes and with its escapes.
  std::optional<std::string_view> TakeString()
  {
    SkipWhitespace();
    auto const start = m_position;
    if (!SkipString()) {
      return std::nullopt;
    }
    return m_text.substr(start + 1, m_position - start - 2);
  }

  std::optional<std::string_view> TakeValue()
  {
    SkipWhitespace();
    auto const start = m_position;
    if (start == m_text.size() || !SkipValue()) {
      return std::nullopt;
    }
    return m_text.substr(start, m_position - start);
  }

private:
  void SkipWhitespace()
  {
    m_position = std::min(m_text.find_first_not_of(kWhitespace, m_position), m_text.size());
  }

  bool SkipString()
  {
    if (m_position >= m_text.size() || m_text[m_position] != '"') {
      return false;
    }
    ++m_position;
    while (true) {
      m_position = m_text.find_first_of("\"\\", m_position);
      if (m_position == std::string_view::npos) {
        m_position = m_text.size();
        return false;
      }
      if (m_text[m_position] == '"') {
        ++m_position;
        return true;
      }
      m_position += 2;
    }
  }

  bool SkipValue()
  {
    if (m_text[m_position] == '"') {
      return SkipString();
    }
    if (m_text[m_position] == '{' || m_text[m_position] == '[') {
      return SkipBrackets();
    }
    auto const start = m_position;
    m_position = std::min(m_text.find_first_of(kScalarEnd, m_position), m_text.size());
    return m_position > start;
  }

  bool SkipBrackets()
  {
    std::size_t depth = 0;
    while (true) {
      m_position = m_text.find_first_of("\"{}[]", m_position);
      if (m_position == std::string_view::npos) {
        m_position = m_text.size();
        return false;
      }
      auto const character = m_text[m_position];
      if (character == '"') {
        if (!SkipString()) {
          return false;
        }
        continue;
      }
      ++m_position;
      if (character == '{' || character == '[') {
        ++depth;
      } else if (--depth == 0) {
        return true;
      }
    }
  }

  std::string_view m_text;
  std::size_t m_position = 0;
};

} // namespace

std::string_view JsonMembers::Find(std::string_view aName) const
{
  for (auto const& [name, text] : m_members) {
    if (name == aName) {
      return text;
    }
  }
  return {};
}

std::optional<JsonMembers> SplitJsonObject(std::string_view aText)
{
  JsonMembers members;
  Scanner scanner(aText);
  if (!scanner.Take('{')) {
    return std::nullopt;
  }
  if (scanner.Take('}')) {
    return scanner.IsAtEnd() ? std::optional(members) : std::nullopt;
  }
  do {
    auto const name = scanner.TakeString();
    if (!name || !scanner.Take(':')) {
      return std::nullopt;
    }
    auto const value = scanner.TakeValue();
    if (!value) {
      return std::nullopt;
    }
    members.Add(*name, *value);
  } while (scanner.Take(','));
  bool const isComplete = scanner.Take('}') && scanner.IsAtEnd();
  return isComplete ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText)
{
  std::vector<std::string_view> items;
  Scanner scanner(aText);
  if (!scanner.Take('[')) {
    return std::nullopt;
  }
  if (scanner.Take(']')) {
    return scanner.IsAtEnd() ? std::optional(items) : std::nullopt;
  }
  do {
    auto const value = scanner.TakeValue();
    if (!value) {
      return std::nullopt;
    }
    items.push_back(*value);
  } while (scanner.Take(','));
  bool const isComplete = scanner.Take(']') && scanner.IsAtEnd();
  return isComplete ? std::optional(std::move(items)) : std::nullopt;
}

} // namespace sardinefold::base
