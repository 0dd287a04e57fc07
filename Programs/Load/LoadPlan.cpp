#include "Programs/Load/LoadPlan.h"

#include "Base/Json.h"

#include <set>
#include <stdexcept>

namespace sardinefold::programs {

namespace {

/// A field that is missing, unknown or of the wrong type. Thrown only within
/// this file.
struct PlanError
{
  std::string m_message;
};

void CheckFields(Json::Value const& aObject, std::string const& aPath,
                 std::set<std::string> const& aKnown)
{
  if (!aObject.isObject()) {
    throw PlanError{ aPath + ": expected an object" };
  }
  for (auto const& name : aObject.getMemberNames()) {
    if (!aKnown.contains(name)) {
      throw PlanError{ std::string(aPath).append(".").append(name).append(": unknown field") };
    }
  }
}

std::string Text(Json::Value const& aObject, std::string const& aPath, char const* aField)
{
  if (!aObject[aField].isString()) {
    throw PlanError{ aPath + "." + aField + ": expected text" };
  }
  return aObject[aField].asString();
}

double Number(Json::Value const& aObject, std::string const& aPath, char const* aField,
              double aDefault)
{
  auto const& value = aObject[aField];
  if (value.isNull() && aDefault > 0) {
    return aDefault;
  }
  if (!value.isNumeric() || value.asDouble() <= 0) {
    throw PlanError{ aPath + "." + aField + ": expected a number above 0" };
  }
  return value.asDouble();
}

bool Flag(Json::Value const& aObject, std::string const& aPath, char const* aField, bool aDefault)
{
  auto const& value = aObject[aField];
  if (value.isNull()) {
    return aDefault;
  }
  if (!value.isBool()) {
    throw PlanError{ aPath + "." + aField + ": expected true or false" };
  }
  return value.asBool();
}

std::vector<std::string> Names(Json::Value const& aObject, std::string const& aPath)
{
  std::vector<std::string> names;
  auto const& list = aObject["models"];
  if (list.isNull()) {
    return names;
  }
  if (!list.isArray()) {
    throw PlanError{ aPath + ".models: expected a list of names" };
  }
  for (auto const& name : list) {
    if (!name.isString()) {
      throw PlanError{ aPath + ".models: expected a list of names" };
    }
    names.push_back(name.asString());
  }
  return names;
}

LoadStream ReadStream(Json::Value const& aValue, std::string const& aPath)
{
  CheckFields(aValue, aPath,
              { "workspace", "class", "path", "key", "models", "requests_per_second",
                "prompt_words", "max_tokens", "stream", "idempotency_keys" });
  LoadStream stream;
  stream.m_workspace = Text(aValue, aPath, "workspace");
  stream.m_class = Text(aValue, aPath, "class");
  stream.m_path = Text(aValue, aPath, "path");
  stream.m_key = aValue.isMember("key") ? Text(aValue, aPath, "key") : std::string();
  stream.m_models = Names(aValue, aPath);
  stream.m_requestsPerSecond = Number(aValue, aPath, "requests_per_second", 0);
  stream.m_promptWords = static_cast<unsigned>(Number(aValue, aPath, "prompt_words", 20));
  stream.m_maximumTokens = static_cast<unsigned>(Number(aValue, aPath, "max_tokens", 32));
  stream.m_isStream = Flag(aValue, aPath, "stream", true);
  stream.m_hasIdempotencyKeys = Flag(aValue, aPath, "idempotency_keys", false);
  return stream;
}

} // namespace

tl::expected<LoadPlan, std::string> ParseLoadPlan(std::string_view aText)
{
  auto const root = base::ParseJson(aText);
  if (!root) {
    return tl::make_unexpected(root.error());
  }
  try {
    CheckFields(*root, "plan", { "seconds", "streams" });
    LoadPlan plan;
    plan.m_duration = base::FromSeconds(Number(*root, "plan", "seconds", 0));
    auto const& streams = (*root)["streams"];
    if (!streams.isArray() || streams.empty()) {
      throw PlanError{ "plan.streams: expected a list with at least one stream" };
    }
    for (Json::ArrayIndex index = 0; index < streams.size(); ++index) {
      auto const path = "plan.streams[" + std::to_string(index) + "]";
      plan.m_streams.push_back(ReadStream(streams[index], path));
    }
    return plan;
  } catch (PlanError const& error) {
    return tl::make_unexpected(error.m_message);
  }
}

} // namespace sardinefold::programs
