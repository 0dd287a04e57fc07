#define BOOST_TEST_MODULE Version
#include "Operator/ChunkCodec.h"
#include "Operator/DocumentCodec.h"
#include "Operator/ManifestCodec.h"
#include "Operator/Promotion.h"
#include "Operator/Publication.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <set>

using namespace sardinefold;
using namespace sardinefold::operators;

namespace {

Document ReadExample(std::string const& aName)
{
  std::ifstream file("docs/examples/" + aName);
  std::string const text{ std::istreambuf_iterator<char>(file), {} };
  return *ParseDocument(text);
}

std::map<ChunkHash, Chunk> ByHash(ChunkedDocument const& aChunked)
{
  std::map<ChunkHash, Chunk> chunks;
  for (auto const& chunk : aChunked.m_chunks) {
    chunks.emplace(chunk.m_hash, chunk);
  }
  return chunks;
}

ChunkLookup LookupIn(std::map<ChunkHash, Chunk> const& aChunks)
{
  return [&aChunks](ChunkHash const& aHash) {
    auto const chunk = aChunks.find(aHash);
    return chunk == aChunks.end() ? nullptr : &chunk->second;
  };
}

void AddAdapters(Document& aDocument, unsigned aCount)
{
  for (unsigned index = 0; index < aCount; ++index) {
    auto const id = base::AdapterId::FromValidated("adapter-" + std::to_string(index));
    aDocument.m_adapters[id] = { id, aDocument.m_models.begin()->first, base::Bytes(50'000'000) };
  }
}

/// A platform that stores one manifest. It may refuse a write, lose the request,
/// or apply the write and lose the response.
class FaultyStore
{
public:
  explicit FaultyStore(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  std::optional<StoredManifest> const& Stored() const { return m_stored; }

  WriteResult Write(WriteManifestStep const& aStep)
  {
    auto const outcome = m_random() % 10;
    if (outcome == 0) {
      return WriteResult::Refused;
    }
    if (outcome == 1) {
      return WriteResult::Unknown;
    }
    bool const matches =
      aStep.m_expected ? m_stored && m_stored->m_objectVersion == *aStep.m_expected : !m_stored;
    if (matches) {
      auto const next = m_stored ? m_stored->m_objectVersion.Next() : base::ObjectVersion(1);
      m_stored = StoredManifest{ aStep.m_manifest, next };
    }
    if (outcome == 2) {
      return WriteResult::Unknown;
    }
    return matches ? WriteResult::Written : WriteResult::ConditionFailed;
  }

private:
  std::mt19937_64 m_random;
  std::optional<StoredManifest> m_stored;
};

PublicationRequest Request(std::string const& aId, std::uint64_t aBase)
{
  PublicationRequest request;
  request.m_environment = base::EnvironmentId::FromValidated("trial");
  request.m_base = base::DocumentVersion(aBase);
  request.m_root = HashChunk(aId);
  request.m_chunks = { { request.m_root, aId, {} } };
  request.m_id = PublicationId::FromValidated(aId);
  request.m_author = AuthorId::FromValidated("tester");
  return request;
}

bool IsFinal(PublicationStep const& aStep)
{
  return std::holds_alternative<PublishedStep>(aStep) ||
         std::holds_alternative<PublicationFailure>(aStep);
}

/// Executes one step of a publication and returns the next.
PublicationStep Advance(Publication& aPublication, PublicationStep const& aStep,
                        FaultyStore& aStore, base::Instant& aNow)
{
  if (auto const* wait = std::get_if<WaitStep>(&aStep)) {
    aNow = std::max(aNow, wait->m_until);
    return aPublication.Resume(aNow);
  }
  if (std::holds_alternative<ReadManifestStep>(aStep)) {
    return aPublication.OnManifest(aStore.Stored(), aNow);
  }
  if (std::holds_alternative<WriteChunkStep>(aStep)) {
    return aPublication.OnChunkWritten(WriteResult::Written, aNow);
  }
  auto const result = aStore.Write(std::get<WriteManifestStep>(aStep));
  return aPublication.OnManifestWritten(result, aNow);
}

} // namespace

BOOST_AUTO_TEST_CASE(SplittingAndJoiningGivesTheSameDocument)
{
  auto document = ReadExample("bavaria.json");
  document.m_version = base::DocumentVersion(7);
  auto const chunked = SplitDocument(document);
  auto const chunks = ByHash(chunked);
  VersionRecord record;
  record.m_version = document.m_version;
  record.m_root = chunked.m_root;
  auto const joined = JoinDocument(document.m_environment, record, LookupIn(chunks));
  BOOST_REQUIRE(joined);
  BOOST_TEST(RenderDocument(*joined) == RenderDocument(document));
  for (auto const& chunk : chunked.m_chunks) {
    auto const parsed = ParseChunk(chunk.m_text);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->m_hash == chunk.m_hash);
    BOOST_TEST((parsed->m_children == chunk.m_children));
  }
}

BOOST_AUTO_TEST_CASE(AMissingChunkIsReportedAndNothingIsJoined)
{
  auto const document = ReadExample("demo.json");
  auto const chunked = SplitDocument(document);
  for (auto const& missing : chunked.m_chunks) {
    auto chunks = ByHash(chunked);
    chunks.erase(missing.m_hash);
    VersionRecord record;
    record.m_root = chunked.m_root;
    auto const joined = JoinDocument(document.m_environment, record, LookupIn(chunks));
    BOOST_REQUIRE(!joined);
    BOOST_TEST(joined.error()[0].m_message.find("missing") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(AChangedAdapterAmong52000ChangesAFewKilobytes)
{
  auto document = ReadExample("almaty.json");
  AddAdapters(document, 52'000);
  auto const before = SplitDocument(document);
  auto const known = ByHash(before);
  std::size_t largest = 0;
  for (auto const& chunk : before.m_chunks) {
    largest = std::max(largest, chunk.m_text.size());
  }
  BOOST_TEST(largest < 100'000U); // The platform limits a value to 1 MB.
  document.m_adapters.begin()->second.m_weights = base::Bytes(51'000'000);
  document.m_adapters.erase(std::next(document.m_adapters.begin(), 30'000));
  std::size_t changed = 0;
  for (auto const& chunk : SplitDocument(document).m_chunks) {
    changed += known.contains(chunk.m_hash) ? 0 : chunk.m_text.size();
  }
  BOOST_TEST_MESSAGE("changed bytes: " << changed);
  BOOST_TEST(changed < 40'000U);
}

BOOST_AUTO_TEST_CASE(ManifestSurvivesRenderingAndDropsTheOldestRecords)
{
  Manifest manifest;
  manifest.m_environment = base::EnvironmentId::FromValidated("trial");
  for (std::uint64_t version = 1; version <= kMaximumHistory + 5; ++version) {
    VersionRecord record;
    record.m_version = base::DocumentVersion(version);
    record.m_root = HashChunk(std::to_string(version));
    record.m_publication = PublicationId::FromValidated("p" + std::to_string(version));
    record.m_author = AuthorId::FromValidated("tester");
    if (version % 2 == 0) {
      record.m_source =
        VersionSource{ base::EnvironmentId::FromValidated("x"), base::DocumentVersion(3) };
    }
    manifest.Append(record);
  }
  BOOST_TEST(manifest.m_history.size() == kMaximumHistory);
  auto const text = RenderManifest(manifest);
  auto const parsed = ParseManifest(text);
  BOOST_REQUIRE(parsed);
  BOOST_TEST(RenderManifest(*parsed) == text);
  std::swap(manifest.m_history[3], manifest.m_history[4]);
  BOOST_TEST(!ParseManifest(RenderManifest(manifest)));
  BOOST_TEST(!ParseManifest("{\"environment\":\"trial\",\"history\":[]}"));
}

BOOST_AUTO_TEST_CASE(AtMostOneRacingOperatorPublishesEachVersion)
{
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    FaultyStore store(seed + 1000);
    base::Instant now{};
    std::vector<Publication> publications;
    std::vector<PublicationStep> steps;
    constexpr std::size_t kOperators = 4;
    for (std::size_t index = 0; index < kOperators; ++index) {
      publications.emplace_back(Request("p" + std::to_string(index), 0),
                                now + std::chrono::seconds(10));
      steps.push_back(publications.back().Start(now));
    }
    std::size_t open = kOperators;
    while (open > 0) {
      auto const index = random() % kOperators;
      if (IsFinal(steps[index])) {
        continue;
      }
      steps[index] = Advance(publications[index], steps[index], store, now);
      open -= IsFinal(steps[index]) ? 1 : 0;
    }
    std::size_t published = 0;
    for (std::size_t index = 0; index < kOperators; ++index) {
      auto const id = PublicationId::FromValidated("p" + std::to_string(index));
      bool const isStored = store.Stored() && store.Stored()->m_manifest.Find(id);
      if (std::holds_alternative<PublishedStep>(steps[index])) {
        ++published;
        BOOST_TEST(isStored);
        continue;
      }
      if (std::get<PublicationFailure>(steps[index]).m_kind != PublicationFailure::Kind::Unknown) {
        BOOST_TEST(!isStored);
      }
    }
    BOOST_TEST(published <= 1U);
    BOOST_TEST((!store.Stored() || store.Stored()->m_manifest.m_history.size() == 1U));
  }
}

BOOST_AUTO_TEST_CASE(OutageEndsWithACorrectResult)
{
  base::Instant now{};
  Publication unreachable(Request("p", 0), now + std::chrono::seconds(5));
  auto step = unreachable.Start(now);
  while (!IsFinal(step)) {
    if (auto const* wait = std::get_if<WaitStep>(&step)) {
      now = wait->m_until;
      step = unreachable.Resume(now);
    } else {
      step = unreachable.OnReadFailed(now);
    }
  }
  BOOST_TEST((std::get<PublicationFailure>(step).m_kind == PublicationFailure::Kind::NotPublished));

  Publication uncertain(Request("q", 0), now + std::chrono::seconds(5));
  step = uncertain.OnManifest(std::nullopt, now);
  step = uncertain.OnChunkWritten(WriteResult::Written, now);
  step = uncertain.OnManifestWritten(WriteResult::Unknown, now);
  while (!IsFinal(step)) {
    if (auto const* wait = std::get_if<WaitStep>(&step)) {
      now = wait->m_until;
      step = uncertain.Resume(now);
    } else {
      step = uncertain.OnReadFailed(now);
    }
  }
  BOOST_TEST((std::get<PublicationFailure>(step).m_kind == PublicationFailure::Kind::Unknown));
}

BOOST_AUTO_TEST_CASE(RollbackCreatesAHigherVersion)
{
  FaultyStore store(3);
  base::Instant now{};
  for (std::uint64_t version = 0; version < 3; ++version) {
    auto request = Request("p" + std::to_string(version), version);
    if (version == 2) {
      request.m_root = store.Stored()->m_manifest.m_history[0].m_root;
    }
    Publication publication(request, now + std::chrono::seconds(60));
    auto step = publication.Start(now);
    while (!IsFinal(step)) {
      step = Advance(publication, step, store, now);
    }
    BOOST_REQUIRE(std::holds_alternative<PublishedStep>(step));
  }
  auto const& history = store.Stored()->m_manifest.m_history;
  BOOST_TEST(history[2].m_version.Value() == 3U);
  BOOST_TEST(history[2].m_root == history[0].m_root);
}

BOOST_AUTO_TEST_CASE(PromotionCarriesModelsAndKeepsTheTargetsKeys)
{
  auto const target = ReadExample("demo.json");
  auto source = target;
  source.m_environment = base::EnvironmentId::FromValidated("trial");
  source.m_workspaces.begin()->second.m_rate = base::TokensPerSecond(1);
  source.m_keys.clear();
  auto const promoted = Promote(source, target);
  BOOST_REQUIRE(promoted);
  BOOST_TEST(promoted->m_environment == target.m_environment);
  BOOST_TEST(promoted->m_workspaces.begin()->second.m_rate.Value() == 1);
  BOOST_TEST(promoted->m_keys.size() == target.m_keys.size());
  source.m_workspaces.erase(source.m_workspaces.begin());
  auto const refused = Promote(source, target);
  BOOST_REQUIRE(!refused);
  BOOST_TEST(refused.error()[0].m_path == "/keys/curtains-demo/workspace");
}
