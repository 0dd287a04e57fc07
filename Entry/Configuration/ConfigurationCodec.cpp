#include "Entry/Configuration/ConfigurationCodec.h"

#include "Operator/ChunkCodec.h"
#include "Operator/ManifestCodec.h"
#include "Operator/ObjectReaderCodec.h"

#include <limits>
#include <utility>

namespace sardinefold::entry {

namespace {

using operators::DocumentProblems;
using operators::IntegerRange;
using operators::ObjectReader;

constexpr IntegerRange kNotNegative{ 0, std::numeric_limits<std::int64_t>::max() };
/// Ten years in milliseconds, which still fits a Duration.
constexpr IntegerRange kAgeRange{ 0, std::int64_t(10) * 365 * 86'400'000 };

template<typename Message>
Decoded<Message> Result(Message aMessage, DocumentProblems aProblems)
{
  if (!aProblems.empty()) {
    return tl::make_unexpected(std::move(aProblems));
  }
  return aMessage;
}

Json::Value ToJson(base::DocumentVersion aVersion)
{
  return { static_cast<Json::UInt64>(aVersion.Value()) };
}

base::DocumentVersion ReadVersion(ObjectReader& aReader, std::string const& aName)
{
  return base::DocumentVersion(
    static_cast<std::uint64_t>(aReader.ReadInteger(aName, kNotNegative)));
}

std::size_t ReadCount(ObjectReader& aReader, std::string const& aName)
{
  return static_cast<std::size_t>(aReader.ReadInteger(aName, kNotNegative));
}

Laggard ReadLaggard(Json::Value const& aValue, std::string const& aPath,
                    DocumentProblems& aProblems)
{
  ObjectReader reader(aValue, aPath, aProblems);
  Laggard laggard;
  laggard.m_host = reader.ReadId<base::HostId>("host");
  laggard.m_inForce = ReadVersion(reader, "in_force");
  laggard.m_problem = reader.ReadText("problem").value_or("");
  return laggard;
}

Tally ReadTallyAt(Json::Value const& aValue, std::string const& aPath, DocumentProblems& aProblems)
{
  ObjectReader reader(aValue, aPath, aProblems);
  Tally tally;
  tally.m_version = ReadVersion(reader, "version");
  tally.m_processes = ReadCount(reader, "processes");
  tally.m_applied = ReadCount(reader, "applied");
  if (aValue.isObject() && aValue["behind"].isArray()) {
    for (auto const& laggard : aValue["behind"]) {
      tally.m_laggards.push_back(ReadLaggard(laggard, reader.FieldPath("behind"), aProblems));
    }
  }
  return tally;
}

} // namespace

Json::Value WriteAnnouncement(Announcement const& aAnnouncement, base::HostId const& aFrom)
{
  Json::Value value;
  value["from"] = aFrom.Text();
  value["record"] = operators::WriteVersionRecord(aAnnouncement.m_record);
  value["age_ms"] = static_cast<Json::Int64>(base::ToMilliseconds(aAnnouncement.m_age));
  return value;
}

Decoded<SignedAnnouncement> ReadAnnouncement(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  SignedAnnouncement announcement;
  announcement.m_from = reader.ReadId<base::HostId>("from");
  announcement.m_announcement.m_age =
    std::chrono::milliseconds(reader.ReadInteger("age_ms", kAgeRange));
  auto record = operators::ReadVersionRecord(reader.ReadObject("record"), "/record");
  if (!record) {
    problems.insert(problems.end(), record.error().begin(), record.error().end());
  } else {
    announcement.m_announcement.m_record = std::move(*record);
  }
  return Result(std::move(announcement), std::move(problems));
}

Json::Value WriteAcknowledgement(Acknowledgement const& aAcknowledgement)
{
  Json::Value value;
  value["in_force"] = ToJson(aAcknowledgement.m_inForce);
  if (auto const& rejection = aAcknowledgement.m_rejection) {
    value["rejected"]["version"] = ToJson(rejection->m_version);
    value["rejected"]["problem"] = rejection->m_problem;
  }
  value["below"] = WriteTally(aAcknowledgement.m_below);
  return value;
}

Decoded<Acknowledgement> ReadAcknowledgement(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  Acknowledgement acknowledgement;
  acknowledgement.m_inForce = ReadVersion(reader, "in_force");
  auto const& rejected = reader.ReadObject("rejected");
  if (!rejected.empty()) {
    ObjectReader fields(rejected, "/rejected", problems);
    auto const version = ReadVersion(fields, "version");
    acknowledgement.m_rejection = Rejection{ version, fields.ReadText("problem").value_or("") };
  }
  acknowledgement.m_below = ReadTallyAt(reader.ReadObject("below"), "/below", problems);
  return Result(std::move(acknowledgement), std::move(problems));
}

Json::Value WriteChunkRequest(ChunkRequest const& aRequest)
{
  Json::Value value;
  value["wanted"] = aRequest.m_wanted.Text();
  if (!aRequest.m_held.IsEmpty()) {
    value["held"] = aRequest.m_held.Text();
  }
  value["skip"] = static_cast<Json::UInt64>(aRequest.m_skip);
  return value;
}

Decoded<ChunkRequest> ReadChunkRequest(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  ChunkRequest request;
  request.m_wanted = reader.ReadId<operators::ChunkHash>("wanted");
  if (aValue.isObject() && aValue.isMember("held")) {
    request.m_held = reader.ReadId<operators::ChunkHash>("held");
  }
  request.m_skip = ReadCount(reader, "skip");
  return Result(std::move(request), std::move(problems));
}

Json::Value WriteChunks(std::vector<operators::Chunk> const& aChunks)
{
  Json::Value value;
  value["chunks"] = Json::Value(Json::arrayValue);
  for (auto const& chunk : aChunks) {
    value["chunks"].append(chunk.m_text);
  }
  return value;
}

Decoded<std::vector<operators::Chunk>> ReadChunks(Json::Value const& aValue)
{
  DocumentProblems problems;
  std::vector<operators::Chunk> chunks;
  if (!aValue.isObject() || !aValue["chunks"].isArray()) {
    problems.push_back({ "/chunks", "expected an array" });
    return tl::make_unexpected(std::move(problems));
  }
  for (auto const& text : aValue["chunks"]) {
    auto chunk = operators::ParseChunk(text.isString() ? text.asString() : std::string());
    if (!chunk) {
      problems.push_back({ "/chunks", chunk.error() });
      break;
    }
    chunks.push_back(std::move(*chunk));
  }
  return Result(std::move(chunks), std::move(problems));
}

Json::Value WriteTally(Tally const& aTally)
{
  Json::Value value;
  value["version"] = ToJson(aTally.m_version);
  value["processes"] = static_cast<Json::UInt64>(aTally.m_processes);
  value["applied"] = static_cast<Json::UInt64>(aTally.m_applied);
  value["behind"] = Json::Value(Json::arrayValue);
  for (auto const& laggard : aTally.m_laggards) {
    Json::Value entry;
    entry["host"] = laggard.m_host.Text();
    entry["in_force"] = ToJson(laggard.m_inForce);
    entry["problem"] = laggard.m_problem;
    value["behind"].append(std::move(entry));
  }
  return value;
}

Decoded<Tally> ReadTally(Json::Value const& aValue)
{
  DocumentProblems problems;
  auto tally = ReadTallyAt(aValue, "", problems);
  return Result(std::move(tally), std::move(problems));
}

Json::Value WriteCountRequest(base::DocumentVersion aVersion)
{
  Json::Value value;
  value["version"] = ToJson(aVersion);
  return value;
}

Decoded<base::DocumentVersion> ReadCountRequest(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  auto const version = ReadVersion(reader, "version");
  return Result(version, std::move(problems));
}

} // namespace sardinefold::entry
