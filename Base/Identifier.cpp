#include "Base/Identifier.h"

#include <algorithm>

namespace sardinefold::base {

namespace {

bool IsAllowed(char aCharacter)
{
  bool const isLetter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  bool const isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit ||
         std::string_view("._:/-").find(aCharacter) != std::string_view::npos;
}

} // namespace

std::string_view ToText(IdentifierError aError)
{
  switch (aError) {
    case IdentifierError::Empty:
      return "is empty";
    case IdentifierError::TooLong:
      return "is longer than 200 bytes";
    case IdentifierError::ForbiddenCharacter:
      return "may only contain letters, digits and the characters . _ : / -";
  }
  return "is not an identifier";
}

tl::expected<void, IdentifierError> CheckIdentifier(std::string_view aText)
{
  if (aText.empty()) {
    return tl::make_unexpected(IdentifierError::Empty);
  }
  if (aText.size() > kMaxIdentifierBytes) {
    return tl::make_unexpected(IdentifierError::TooLong);
  }
  if (!std::ranges::all_of(aText, IsAllowed)) {
    return tl::make_unexpected(IdentifierError::ForbiddenCharacter);
  }
  return {};
}

} // namespace sardinefold::base
