#include "Base/Json.h"

#include <json/reader.h>
#include <json/writer.h>

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

Json::StreamWriterBuilder MakeWriterBuilder()
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
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
  static Json::StreamWriterBuilder const kBuilder = MakeWriterBuilder();
  return Json::writeString(kBuilder, aValue);
}

} // namespace sardinefold::base
