#include "Operator/ManifestCodec.h"

#include "Base/Json.h"
#include "Operator/ObjectReaderCodec.h"

#include <limits>

namespace sardinefold::operators {

namespace {

constexpr IntegerRange kVersionRange{ 1, std::numeric_limits<std::int64_t>::max() };
constexpr IntegerRange kTimeRange{ 0, std::numeric_limits<std::int64_t>::max() };

base::DocumentVersion ReadVersion(ObjectReader& aReader)
{
  auto const version = aReader.ReadInteger("version", kVersionRange);
  return base::DocumentVersion(static_cast<std::uint64_t>(version));
}

VersionRecord ReadRecord(Json::Value const& aValue, std::string const& aPath,
                         DocumentProblems& aProblems)
{
  ObjectReader reader(aValue, aPath, aProblems);
  VersionRecord record;
  record.m_version = ReadVersion(reader);
  record.m_root = reader.ReadId<ChunkHash>("root");
  record.m_publication = reader.ReadId<PublicationId>("publication");
  record.m_author = reader.ReadId<AuthorId>("author");
  record.m_time.m_milliseconds = reader.ReadInteger("time_ms", kTimeRange);
  auto const& source = reader.ReadObject("source");
  if (!source.empty()) {
    ObjectReader fields(source, reader.FieldPath("source"), aProblems);
    auto environment = fields.ReadId<base::EnvironmentId>("environment");
    record.m_source = VersionSource{ std::move(environment), ReadVersion(fields) };
    fields.Finish();
  }
  reader.Finish();
  return record;
}

} // namespace

Json::Value WriteVersionRecord(VersionRecord const& aRecord)
{
  Json::Value value;
  value["version"] = static_cast<Json::UInt64>(aRecord.m_version.Value());
  value["root"] = aRecord.m_root.Text();
  value["publication"] = aRecord.m_publication.Text();
  value["author"] = aRecord.m_author.Text();
  value["time_ms"] = static_cast<Json::Int64>(aRecord.m_time.m_milliseconds);
  if (aRecord.m_source) {
    value["source"]["environment"] = aRecord.m_source->m_environment.Text();
    value["source"]["version"] = static_cast<Json::UInt64>(aRecord.m_source->m_version.Value());
  }
  return value;
}

tl::expected<VersionRecord, DocumentProblems> ReadVersionRecord(Json::Value const& aValue,
                                                                std::string const& aPath)
{
  DocumentProblems problems;
  auto record = ReadRecord(aValue, aPath, problems);
  if (!problems.empty()) {
    return tl::make_unexpected(std::move(problems));
  }
  return record;
}

std::string RenderManifest(Manifest const& aManifest)
{
  Json::Value value;
  value["environment"] = aManifest.m_environment.Text();
  value["history"] = Json::Value(Json::arrayValue);
  for (auto const& record : aManifest.m_history) {
    value["history"].append(WriteVersionRecord(record));
  }
  return base::RenderJson(value);
}

tl::expected<Manifest, DocumentProblems> ParseManifest(std::string_view aText)
{
  DocumentProblems problems;
  auto const value = base::ParseJson(aText);
  if (!value || !value->isObject() || !(*value)["history"].isArray()) {
    problems.push_back({ "/history", "expected an object with an array of versions" });
    return tl::make_unexpected(std::move(problems));
  }
  Manifest manifest;
  ObjectReader reader(*value, "", problems);
  manifest.m_environment = reader.ReadId<base::EnvironmentId>("environment");
  auto const& history = (*value)["history"];
  for (Json::ArrayIndex index = 0; index < history.size(); ++index) {
    auto const path = "/history/" + std::to_string(index);
    auto record = ReadRecord(history[index], path, problems);
    bool const isIncreasing =
      manifest.m_history.empty() || manifest.Current().m_version < record.m_version;
    if (!isIncreasing) {
      problems.push_back({ path + "/version", "expected a version above the one before" });
    }
    manifest.m_history.push_back(std::move(record));
  }
  if (manifest.m_history.empty()) {
    problems.push_back({ "/history", "expected at least one version" });
  }
  if (!problems.empty()) {
    return tl::make_unexpected(std::move(problems));
  }
  return manifest;
}

} // namespace sardinefold::operators
