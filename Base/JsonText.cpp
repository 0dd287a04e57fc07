#include "Base/JsonText.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace sardinefold::base {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kScalarEnd = " \t\r\n,:]}";

/// A set of characters. Faster than std::string_view::find_first_of for texts in which
/// they are frequent.
class CharacterSet
{
public:
  explicit constexpr CharacterSet(std::string_view aCharacters)
  {
    for (unsigned char const character : aCharacters) {
      m_contains.at(character) = true;
    }
  }

  /// Returns the position of the first member from aStart, or the end of the text.
  std::size_t FindIn(std::string_view aText, std::size_t aStart) const
  {
    while (aStart < aText.size() && !m_contains[static_cast<unsigned char>(aText[aStart])]) {
      ++aStart;
    }
    return std::min(aStart, aText.size());
  }

private:
  std::array<bool, 256> m_contains{};
};

constexpr CharacterSet kStringSpecials{ "\"\\" };
constexpr CharacterSet kBracketsAndQuotes{ "\"{}[]" };

/// Reads the outermost structure of a JSON text.
class Scanner
{
public:
  explicit Scanner(std::string_view aText, std::size_t aPosition = 0)
    : m_text(aText)
    , m_position(aPosition)
  {
  }

  std::size_t Position() const { return m_position; }

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
      m_position = kStringSpecials.FindIn(m_text, m_position);
      if (m_position == m_text.size()) {
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
      m_position = kBracketsAndQuotes.FindIn(m_text, m_position);
      if (m_position == m_text.size()) {
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
    if (!value || members.Size() == kMaximumJsonEntries) {
      return std::nullopt;
    }
    members.Add(*name, *value);
  } while (scanner.Take(','));
  bool const isComplete = scanner.Take('}') && scanner.IsAtEnd();
  return isComplete ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::string_view> JsonItemReader::Next()
{
  if (m_state == State::Complete || m_state == State::Malformed) {
    return std::nullopt;
  }
  Scanner scanner(m_text, m_position);
  bool const isFirst = m_state == State::Start;
  m_state = State::Malformed;
  if (isFirst && !scanner.Take('[')) {
    return std::nullopt;
  }
  if (scanner.Take(']')) {
    m_state = scanner.IsAtEnd() ? State::Complete : State::Malformed;
    return std::nullopt;
  }
  if (!isFirst && !scanner.Take(',')) {
    return std::nullopt;
  }
  auto const item = scanner.TakeValue();
  if (item) {
    m_position = scanner.Position();
    m_state = State::Inside;
  }
  return item;
}

std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText)
{
  std::vector<std::string_view> items;
  JsonItemReader reader(aText);
  while (auto const item = reader.Next()) {
    if (items.size() == kMaximumJsonEntries) {
      return std::nullopt;
    }
    items.push_back(*item);
  }
  return reader.IsComplete() ? std::optional(std::move(items)) : std::nullopt;
}

} // namespace sardinefold::base
