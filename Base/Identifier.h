#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace sardinefold::base {

/// Longest accepted identifier, in bytes.
inline constexpr std::size_t kMaxIdentifierBytes = 200;

/// Reasons for which a text is rejected as an identifier.
enum class IdentifierError
{
  Empty,
  TooLong,
  ForbiddenCharacter
};

std::string_view ToText(IdentifierError aError);

/// Checks that a text has 1 to kMaxIdentifierBytes bytes, all of them
/// letters, digits or one of "._:/-".
tl::expected<void, IdentifierError> CheckIdentifier(std::string_view aText);

/// A strongly typed name. Identifiers with different tags are distinct types that
/// neither compare with nor convert to one another.
template<typename Tag>
class Identifier
{
public:
  Identifier() = default;

  /// Validates the text and returns the identifier, or the reason for rejection.
  static tl::expected<Identifier, IdentifierError> Create(std::string_view aText)
  {
    auto checked = CheckIdentifier(aText);
    if (!checked) {
      return tl::make_unexpected(checked.error());
    }
    return Identifier(std::string(aText));
  }

  /// Wraps a text that was validated before or that the program generated, without
  /// checking it again.
  static Identifier FromValidated(std::string aText) { return Identifier(std::move(aText)); }

  std::string const& Text() const { return m_text; }
  bool IsEmpty() const { return m_text.empty(); }

  friend bool operator==(Identifier const&, Identifier const&) = default;
  friend auto operator<=>(Identifier const&, Identifier const&) = default;
  friend std::ostream& operator<<(std::ostream& aStream, Identifier const& aIdentifier)
  {
    return aStream << aIdentifier.m_text;
  }

private:
  explicit Identifier(std::string aText)
    : m_text(std::move(aText))
  {
  }

  std::string m_text;
};

} // namespace sardinefold::base

template<typename Tag>
struct std::hash<sardinefold::base::Identifier<Tag>>
{
  std::size_t operator()(sardinefold::base::Identifier<Tag> const& aIdentifier) const noexcept
  {
    return std::hash<std::string>()(aIdentifier.Text());
  }
};
