#include "Base/Json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <array>
#include <charconv>
#include <memory>

namespace sardinefold::base {

namespace {

Json::CharReaderBuilder MakeReaderBuilder()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxJsonDepth;
  return builder;
}

void RenderString(std::string_view aText, std::string& aOutput)
{
  aOutput += '"';
  for (char const character : aText) {
    switch (character) {
      case '"':
        aOutput += "\\\"";
        break;
      case '\\':
        aOutput += "\\\\";
        break;
      case '\b':
        aOutput += "\\b";
        break;
      case '\f':
        aOutput += "\\f";
        break;
      case '\n':
        aOutput += "\\n";
        break;
      case '\r':
        aOutput += "\\r";
        break;
      case '\t':
        aOutput += "\\t";
        break;
      default:
        if (auto const code = static_cast<unsigned char>(character); code < ' ') {
          constexpr std::string_view kDigits = "0123456789abcdef";
          aOutput += "\\u00";
          aOutput += kDigits[code / kDigits.size()];
          aOutput += kDigits[code % kDigits.size()];
        } else {
          aOutput += character;
        }
    }
  }
  aOutput += '"';
}

template<typename Integer>
void RenderInteger(Integer aValue, std::string& aOutput)
{
  constexpr std::size_t kMaximumDigits = 24;
  std::array<char, kMaximumDigits> digits{};
  auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), aValue).ptr;
  aOutput.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
}

void RenderValue(Json::Value const& aValue, std::string& aOutput)
{
  switch (aValue.type()) {
    case Json::nullValue:
      aOutput += "null";
      return;
    case Json::booleanValue:
      aOutput += aValue.asBool() ? "true" : "false";
      return;
    case Json::intValue:
      RenderInteger(aValue.asInt64(), aOutput);
      return;
    case Json::uintValue:
      RenderInteger(aValue.asUInt64(), aOutput);
      return;
    case Json::realValue:
      aOutput += Json::valueToString(aValue.asDouble());
      return;
    case Json::stringValue: {
      char const* begin = nullptr;
      char const* end = nullptr;
      aValue.getString(&begin, &end);
      RenderString({ begin, static_cast<std::size_t>(end - begin) }, aOutput);
      return;
    }
    case Json::arrayValue: {
      char separator = '[';
      for (auto const& item : aValue) {
        aOutput += separator;
        RenderValue(item, aOutput);
        separator = ',';
      }
      aOutput += separator == '[' ? "[]" : "]";
      return;
    }
    case Json::objectValue: {
      char separator = '{';
      for (auto member = aValue.begin(); member != aValue.end(); ++member) {
        char const* end = nullptr;
        char const* const begin = member.memberName(&end);
        aOutput += separator;
        RenderString({ begin, static_cast<std::size_t>(end - begin) }, aOutput);
        aOutput += ':';
        RenderValue(*member, aOutput);
        separator = ',';
      }
      aOutput += separator == '{' ? "{}" : "}";
      return;
    }
  }
}

} // namespace

tl::expected<Json::Value, std::string> ParseJson(std::string_view aText)
{
  static Json::CharReaderBuilder const kBuilder = MakeReaderBuilder();
  std::unique_ptr<Json::CharReader> const reader(kBuilder.newCharReader());
  Json::Value value;
  Json::String errors;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, &errors)) {
      return tl::make_unexpected("not valid JSON: " + errors);
    }
  } catch (Json::Exception const&) {
    return tl::make_unexpected("not valid JSON: nested deeper than 64 levels");
  }
  return value;
}

std::string RenderJson(Json::Value const& aValue)
{
  // The library's writer takes several times as long, and processes exchange thousands
  // of messages a second.
  constexpr std::size_t kTypicalBytes = 1024;
  std::string text;
  text.reserve(kTypicalBytes);
  RenderValue(aValue, text);
  return text;
}

} // namespace sardinefold::base
