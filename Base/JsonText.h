#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinefold::base {

/// The members of a JSON object as unparsed text, in the object's order.
class JsonMembers
{
public:
  void Add(std::string_view aName, std::string_view aText) { m_members.emplace_back(aName, aText); }
  /// Returns the text of a member's value, or an empty text if there is none.
  std::string_view Find(std::string_view aName) const;
  std::size_t Size() const { return m_members.size(); }
  auto begin() const { return m_members.begin(); }
  auto end() const { return m_members.end(); }

private:
  std::vector<std::pair<std::string_view, std::string_view>> m_members;
};

/// Reads the items of an array as unparsed text, one after the other.
class JsonItemReader
{
public:
  explicit JsonItemReader(std::string_view aText)
    : m_text(aText)
  {
  }
  /// Returns nothing after the last item, or if the text is no complete array.
  std::optional<std::string_view> Next();
  /// Whether the end of a complete array has been read.
  bool IsComplete() const { return m_state == State::Complete; }

private:
  enum class State
  {
    Start,
    Inside,
    Complete,
    Malformed
  };

  std::string_view m_text;
  std::size_t m_position = 0;
  State m_state = State::Start;
};

/// Most members or items of one object or array that is split.
inline constexpr std::size_t kMaximumJsonEntries = 1'000'000;

/// Splits the text of an object into its members, or of an array into its items,
/// without parsing their values, so that a value that cannot be parsed affects no
/// other one. Uses no recursion: values may be nested to any depth. Returns nothing
/// if the text is no complete object or array, or has more than kMaximumJsonEntries
/// entries. The results refer to the text.
std::optional<JsonMembers> SplitJsonObject(std::string_view aText);
std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText);

} // namespace sardinefold::base
