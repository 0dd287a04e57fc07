#include "Base/Http/PercentEncoding.h"

#include <charconv>

namespace sardinefold::base {

namespace {

bool IsUnreserved(char aCharacter)
{
  bool const isLetter =
    (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  bool const isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || std::string_view("-._~").find(aCharacter) != std::string_view::npos;
}

} // namespace

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (char const character : aText) {
    if (IsUnreserved(character)) {
      encoded += character;
      continue;
    }
    auto const byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded += aText[i];
      continue;
    }
    if (i + 2 >= aText.size()) {
      return std::nullopt;
    }
    auto const digits = aText.substr(i + 1, 2);
    unsigned value = 0;
    auto const parsed = std::from_chars(digits.data(), digits.data() + 2, value, 16);
    if (parsed.ptr != digits.data() + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

} // namespace sardinefold::base
