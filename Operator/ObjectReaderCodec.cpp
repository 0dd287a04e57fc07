#include "Operator/ObjectReaderCodec.h"

#include "Base/Json.h"

#include <cmath>
#include <utility>

namespace sardinefold::operators {

namespace {

/// Longest excerpt of an invalid value in an error message.
constexpr std::size_t kMaximumExcerptBytes = 60;

Json::Value const& EmptyObject()
{
  static Json::Value const kEmpty(Json::objectValue);
  return kEmpty;
}

std::string Excerpt(Json::Value const& aValue)
{
  if (aValue.isObject()) {
    return "an object";
  }
  if (aValue.isArray()) {
    return "an array";
  }
  auto text = base::RenderJson(aValue);
  if (text.size() > kMaximumExcerptBytes) {
    text = text.substr(0, kMaximumExcerptBytes) + "...";
  }
  return text;
}

} // namespace

ObjectReader::ObjectReader(Json::Value const& aValue, std::string aPath,
                           DocumentProblems& aProblems)
  : m_value(aValue.isObject() ? aValue : EmptyObject())
  , m_path(std::move(aPath))
  , m_problems(aProblems)
{
  if (!aValue.isObject()) {
    m_problems.push_back({ m_path, "expected an object, got " + Excerpt(aValue) });
  }
}

std::int64_t ObjectReader::ReadInteger(std::string const& aName, IntegerRange aRange,
                                       std::optional<std::int64_t> aDefault)
{
  auto const* field = Find(aName, !aDefault);
  if (!field) {
    return aDefault.value_or(aRange.m_minimum);
  }
  bool const fits = field->isInt64() && field->asInt64() >= aRange.m_minimum &&
                    field->asInt64() <= aRange.m_maximum;
  if (!fits) {
    ReportType(aName,
               "a whole number from " + std::to_string(aRange.m_minimum) + " to " +
                 std::to_string(aRange.m_maximum),
               *field);
    return aRange.m_minimum;
  }
  return field->asInt64();
}

double ObjectReader::ReadPositiveNumber(std::string const& aName, double aMaximum)
{
  auto const* field = Find(aName, true);
  if (!field) {
    return 0;
  }
  bool const fits = field->isNumeric() && std::isfinite(field->asDouble()) &&
                    field->asDouble() > 0 && field->asDouble() <= aMaximum;
  if (!fits) {
    ReportType(
      aName, "a number above 0 and at most " + std::to_string(static_cast<std::int64_t>(aMaximum)),
      *field);
    return 0;
  }
  return field->asDouble();
}

bool ObjectReader::ReadFlag(std::string const& aName, bool aDefault)
{
  auto const* field = Find(aName, false);
  if (!field) {
    return aDefault;
  }
  if (!field->isBool()) {
    ReportType(aName, "true or false", *field);
    return aDefault;
  }
  return field->asBool();
}

std::optional<std::string> ObjectReader::ReadText(std::string const& aName)
{
  auto const* field = Find(aName, true);
  if (!field) {
    return std::nullopt;
  }
  if (!field->isString()) {
    ReportType(aName, "a string", *field);
    return std::nullopt;
  }
  return field->asString();
}

base::Sha256Value ObjectReader::ReadSha256(std::string const& aName)
{
  base::Sha256Value value{};
  auto const text = ReadText(aName);
  // NOTE: The message omits the text, since an operator may have entered the key
  // itself.
  if (text && !base::FromHex(*text, value)) {
    Report(aName, "expected a SHA-256 value of 64 hexadecimal digits");
  }
  return value;
}

std::size_t ObjectReader::ReadChoice(std::string const& aName,
                                     std::span<std::string_view const> aChoices,
                                     std::optional<std::size_t> aDefault)
{
  auto const* field = Find(aName, !aDefault);
  if (!field) {
    return aDefault.value_or(0);
  }
  std::string expected = "one of";
  for (std::size_t index = 0; index < aChoices.size(); ++index) {
    if (field->isString() && field->asString() == aChoices[index]) {
      return index;
    }
    expected += (index ? ", \"" : " \"") + std::string(aChoices[index]) + "\"";
  }
  ReportType(aName, expected, *field);
  return 0;
}

Json::Value const& ObjectReader::ReadObject(std::string const& aName)
{
  auto const* field = Find(aName, false);
  if (!field) {
    return EmptyObject();
  }
  if (!field->isObject()) {
    ReportType(aName, "an object", *field);
    return EmptyObject();
  }
  return *field;
}

std::string ObjectReader::FieldPath(std::string const& aName) const
{
  return m_path + "/" + PointerToken(aName);
}

void ObjectReader::Report(std::string const& aName, std::string aMessage)
{
  m_problems.push_back({ FieldPath(aName), std::move(aMessage) });
}

void ObjectReader::Finish()
{
  for (auto const& name : m_value.getMemberNames()) {
    if (!m_read.contains(name)) {
      Report(name, "unknown field");
    }
  }
}

Json::Value const* ObjectReader::Find(std::string const& aName, bool aIsRequired)
{
  m_read.insert(aName);
  auto const* field = m_value.find(aName.data(), aName.data() + aName.size());
  if (!field && aIsRequired) {
    Report(aName, "required, and missing");
  }
  return field;
}

void ObjectReader::ReportType(std::string const& aName, std::string const& aExpected,
                              Json::Value const& aFound)
{
  Report(aName, "expected " + aExpected + ", got " + Excerpt(aFound));
}

} // namespace sardinefold::operators
