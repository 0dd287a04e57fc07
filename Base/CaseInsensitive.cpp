#include "Base/CaseInsensitive.h"

#include <algorithm>

namespace sardinefold::base {

namespace {

constexpr char ToLowerCase(char aCharacter)
{
  bool const isUpper = aCharacter >= 'A' && aCharacter <= 'Z';
  return isUpper ? static_cast<char>(aCharacter - 'A' + 'a') : aCharacter;
}

} // namespace

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](char aOne, char aOther) { return ToLowerCase(aOne) == ToLowerCase(aOther); });
}

void AppendLowerCase(std::string_view aText, std::string& aOutput)
{
  for (char const character : aText) {
    aOutput += ToLowerCase(character);
  }
}

bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix)
{
  return aText.size() >= aPrefix.size() &&
         EqualIgnoringCase(aText.substr(0, aPrefix.size()), aPrefix);
}

} // namespace sardinefold::base
