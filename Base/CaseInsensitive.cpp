#include "Base/CaseInsensitive.h"

#include <boost/beast/core/string.hpp>

#include <ostream>

namespace sardinefold::base {

bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return boost::beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

void AppendLowerCase(std::string_view aText, std::string& aTo)
{
  for (char const character : aText) {
    bool const isUpper = character >= 'A' && character <= 'Z';
    aTo += isUpper ? static_cast<char>(character - 'A' + 'a') : character;
  }
}

bool StartsWithIgnoringCase(std::string_view aText, std::string_view aPrefix)
{
  return aText.size() >= aPrefix.size() &&
         EqualIgnoringCase(aText.substr(0, aPrefix.size()), aPrefix);
}

} // namespace sardinefold::base
