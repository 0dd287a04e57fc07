#include "Operator/ChunkCodec.h"

#include "Base/Digest.h"
#include "Base/Json.h"
#include "Operator/DocumentCheck.h"
#include "Operator/SpecCodec.h"

#include <utility>

namespace sardinefold::operators {

namespace {

constexpr std::size_t kHashDigits = 32;
/// Mean number of entries, or of children, between two chunk boundaries.
constexpr std::uint64_t kMeanEntries = 16;
constexpr std::uint64_t kMeanChildren = 64;
/// Size limits of a chunk whose names mark no boundary.
constexpr std::size_t kMaximumEntries = 64;
constexpr std::size_t kMaximumChildren = 256;
/// More levels of chunks than any document within kMaximumDocumentBytes has.
constexpr int kMaximumLevels = 16;

Chunk MakeChunk(Json::Value const& aValue, std::vector<ChunkHash> aChildren)
{
  Chunk chunk;
  chunk.m_text = base::RenderJson(aValue);
  chunk.m_hash = HashChunk(chunk.m_text);
  chunk.m_children = std::move(aChildren);
  return chunk;
}

Chunk MakeInnerChunk(std::vector<ChunkHash> aChildren)
{
  Json::Value value;
  value["children"] = Json::Value(Json::arrayValue);
  for (auto const& child : aChildren) {
    value["children"].append(child.Text());
  }
  return MakeChunk(value, std::move(aChildren));
}

bool IsChunkBoundary(std::string const& aName, std::uint64_t aMean, std::size_t aCount,
                     std::size_t aMaximum)
{
  return base::FastHash(aName) % aMean == 0 || aCount >= aMaximum;
}

/// Builds the chunks of one section. Finish() returns the hash of the top one.
class SectionBuilder
{
public:
  explicit SectionBuilder(std::vector<Chunk>& aChunks)
    : m_chunks(aChunks)
  {
  }

  void Add(std::string const& aName, Json::Value aEntry)
  {
    m_entries[aName] = std::move(aEntry);
    if (IsChunkBoundary(aName, kMeanEntries, m_entries.size(), kMaximumEntries)) {
      FinishLeaf();
    }
  }

  ChunkHash Finish()
  {
    if (!m_entries.empty() || m_topLevel.empty()) {
      FinishLeaf();
    }
    while (m_topLevel.size() > 1) {
      m_topLevel = BuildLevel(m_topLevel);
    }
    return m_topLevel.front();
  }

private:
  void FinishLeaf()
  {
    Json::Value value;
    value["entries"] = std::exchange(m_entries, Json::Value(Json::objectValue));
    m_topLevel.push_back(AddChunk(MakeChunk(value, {})));
  }

  std::vector<ChunkHash> BuildLevel(std::vector<ChunkHash> const& aLevelBelow)
  {
    std::vector<ChunkHash> level;
    std::vector<ChunkHash> children;
    for (auto const& child : aLevelBelow) {
      children.push_back(child);
      bool const hasTwo = children.size() > 1;
      if (hasTwo &&
          IsChunkBoundary(child.Text(), kMeanChildren, children.size(), kMaximumChildren)) {
        level.push_back(AddChunk(MakeInnerChunk(std::exchange(children, {}))));
      }
    }
    if (!children.empty()) {
      level.push_back(AddChunk(MakeInnerChunk(std::move(children))));
    }
    return level;
  }

  ChunkHash AddChunk(Chunk aChunk)
  {
    m_chunks.push_back(std::move(aChunk));
    return m_chunks.back().m_hash;
  }

  std::vector<Chunk>& m_chunks;
  Json::Value m_entries{ Json::objectValue };
  std::vector<ChunkHash> m_topLevel;
};

class SectionReader
{
public:
  SectionReader(ChunkLookup const& aLookup, DocumentProblems& aProblems)
    : m_lookup(aLookup)
    , m_problems(aProblems)
  {
  }

  template<typename Id, typename Spec>
  void JoinSection(ChunkHash const& aHash, std::string const& aPath, std::map<Id, Spec>& aSection,
                   int aLevel)
  {
    auto const value = Load(aHash, aPath);
    if (aLevel > kMaximumLevels) {
      m_problems.push_back({ aPath, "its chunks are nested too deeply" });
      return;
    }
    if (value.isMember("entries")) {
      ReadSection(value["entries"], aPath, m_problems, aSection);
      return;
    }
    for (auto const& child : value["children"]) {
      JoinSection(ChunkHash::FromValidated(child.asString()), aPath, aSection, aLevel + 1);
    }
  }

  Json::Value Load(ChunkHash const& aHash, std::string const& aPath)
  {
    auto const* chunk = m_lookup(aHash);
    if (!chunk) {
      m_problems.push_back({ aPath, "chunk " + aHash.Text() + " is missing" });
      return Json::Value(Json::objectValue);
    }
    auto value = base::ParseJson(chunk->m_text);
    if (!value || !value->isObject()) {
      m_problems.push_back({ aPath, "chunk " + aHash.Text() + " is not a JSON object" });
      return Json::Value(Json::objectValue);
    }
    return std::move(*value);
  }

private:
  ChunkLookup const& m_lookup;
  DocumentProblems& m_problems;
};

tl::expected<ChunkHash, std::string> ReadHash(Json::Value const& aValue)
{
  auto const text = aValue.isString() ? aValue.asString() : std::string();
  bool const isHex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (text.size() != kHashDigits || !isHex) {
    return tl::make_unexpected("a chunk's name is not 32 hexadecimal digits");
  }
  return ChunkHash::FromValidated(text);
}

} // namespace

ChunkHash HashChunk(std::string_view aText)
{
  return ChunkHash::FromValidated(base::ToHex(base::Sha256(aText)).substr(0, kHashDigits));
}

ChunkedDocument SplitDocument(Document const& aDocument)
{
  ChunkedDocument result;
  Json::Value root;
  ForEachSection(aDocument, [&](char const* aName, auto const& aSection) {
    SectionBuilder builder(result.m_chunks);
    for (auto const& [id, spec] : aSection) {
      builder.Add(id.Text(), WriteSpec(spec));
    }
    root["sections"][aName] = builder.Finish().Text();
  });
  result.m_chunks.push_back(*ParseChunk(base::RenderJson(root)));
  result.m_root = result.m_chunks.back().m_hash;
  return result;
}

tl::expected<Chunk, std::string> ParseChunk(std::string_view aText)
{
  auto const value = base::ParseJson(aText);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  if (!value->isObject() || value->size() != 1) {
    return tl::make_unexpected("expected an object with one of sections, children, entries");
  }
  Chunk chunk{ HashChunk(aText), std::string(aText), {} };
  if (value->isMember("entries")) {
    return chunk;
  }
  auto const& references =
    value->isMember("sections") ? (*value)["sections"] : (*value)["children"];
  if (!references.isObject() && !references.isArray()) {
    return tl::make_unexpected("expected sections, children or entries");
  }
  for (auto const& reference : references) {
    auto hash = ReadHash(reference);
    if (!hash) {
      return tl::make_unexpected(hash.error());
    }
    chunk.m_children.push_back(std::move(*hash));
  }
  return chunk;
}

tl::expected<Document, DocumentProblems> JoinDocument(base::EnvironmentId const& aEnvironment,
                                                      VersionRecord const& aRecord,
                                                      ChunkLookup const& aLookup)
{
  DocumentProblems problems;
  Document document;
  document.m_environment = aEnvironment;
  document.m_version = aRecord.m_version;
  SectionReader sectionReader(aLookup, problems);
  auto const root = sectionReader.Load(aRecord.m_root, "");
  ObjectReader reader(root["sections"], "", problems);
  ForEachSection(document, [&](char const* aName, auto& aSection) {
    if (auto const hash = reader.ReadText(aName)) {
      sectionReader.JoinSection(ChunkHash::FromValidated(*hash), reader.FieldPath(aName), aSection,
                                0);
    }
  });
  reader.Finish();
  if (problems.empty()) {
    problems = CheckDocument(document);
  }
  if (!problems.empty()) {
    return tl::make_unexpected(std::move(problems));
  }
  return document;
}

} // namespace sardinefold::operators
