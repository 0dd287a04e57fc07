#include "Operator/DocumentCodec.h"

#include "Base/Json.h"
#include "Operator/DocumentCheck.h"
#include "Operator/SpecCodec.h"

#include <json/writer.h>

#include <limits>

namespace sardinefold::operators {

namespace {

constexpr IntegerRange kVersionRange{ 0, std::numeric_limits<std::int64_t>::max() };

Document ReadDocument(Json::Value const& aRoot, DocumentProblems& aProblems)
{
  Document document;
  ObjectReader reader(aRoot, "", aProblems);
  document.m_environment = reader.ReadId<base::EnvironmentId>("environment");
  auto const version = reader.ReadInteger("version", kVersionRange, 0);
  document.m_version = base::DocumentVersion(static_cast<std::uint64_t>(version));
  ForEachSection(document, [&](char const* aName, auto& aSection) {
    ReadSection(reader.ReadObject(aName), reader.FieldPath(aName), aProblems, aSection);
  });
  reader.Finish();
  return document;
}

} // namespace

tl::expected<Document, DocumentProblems> ParseDocument(std::string_view aText)
{
  DocumentProblems problems;
  if (aText.size() > kMaximumDocumentBytes) {
    problems.push_back({ "", "expected at most " + std::to_string(kMaximumDocumentBytes) +
                               " bytes, got " + std::to_string(aText.size()) });
    return tl::make_unexpected(std::move(problems));
  }
  auto const root = base::ParseJson(aText);
  if (!root) {
    problems.push_back({ "", root.error() });
    return tl::make_unexpected(std::move(problems));
  }
  auto document = ReadDocument(*root, problems);
  // NOTE: References are checked only if all fields are valid: a field that
  // could not be read would cause false problems.
  if (problems.empty()) {
    problems = CheckDocument(document);
  }
  if (!problems.empty()) {
    return tl::make_unexpected(std::move(problems));
  }
  return document;
}

std::string RenderDocument(Document const& aDocument)
{
  Json::Value root;
  root["environment"] = aDocument.m_environment.Text();
  root["version"] = static_cast<Json::UInt64>(aDocument.m_version.Value());
  ForEachSection(aDocument, [&](char const* aName, auto const& aSection) {
    Json::Value& object = root[aName] = Json::Value(Json::objectValue);
    for (auto const& [id, spec] : aSection) {
      object[id.Text()] = WriteSpec(spec);
    }
  });
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, root) + "\n";
}

} // namespace sardinefold::operators
