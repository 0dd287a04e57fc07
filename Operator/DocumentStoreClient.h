#pragma once

#include "Base/Digest.h"
#include "Base/EventLoop.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "Operator/ChunkCodec.h"
#include "Operator/ManifestCodec.h"
#include "Operator/Publication.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace sardinefold::operators {

/// Reason why a document could not be read from the platform.
struct DocumentStoreError
{
  std::string m_message;
};

/// Reads and publishes documents through the platform's object API.
template<objectstore::ObjectStore Store>
class DocumentStoreClient
{
public:
  template<typename Value>
  using Result = tl::expected<Value, DocumentStoreError>;
  template<typename Value>
  using Task = boost::asio::awaitable<Result<Value>>;

  DocumentStoreClient(base::EventLoop& aLoop, Store& aStore)
    : m_loop(aLoop)
    , m_store(aStore)
  {
  }

  /// Returns none if the environment has no document.
  Task<std::optional<StoredManifest>> ReadManifest(base::EnvironmentId aEnvironment)
  {
    objectstore::ObjectKey key{ objectstore::ObjectKind::Document,
                                objectstore::ObjectName::FromValidated(aEnvironment.Text()) };
    auto const object =
      co_await m_store.Get(std::move(key), kCallTimeout, objectstore::CallPurpose::Configuration);
    if (!object) {
      if (object.error().m_kind == objectstore::ReadError::Kind::NotFound) {
        co_return std::optional<StoredManifest>();
      }
      co_return Fail("the manifest cannot be read: " + object.error().m_detail);
    }
    auto manifest = ParseManifest(object->m_value);
    if (!manifest) {
      co_return Fail("the manifest is malformed: " + ToText(manifest.error()));
    }
    co_return StoredManifest{ std::move(*manifest), object->m_version };
  }

  Task<Chunk> ReadChunk(ChunkHash aHash)
  {
    objectstore::ObjectKey key{ objectstore::ObjectKind::Chunk,
                                objectstore::ObjectName::FromValidated(aHash.Text()) };
    auto const object =
      co_await m_store.Get(std::move(key), kCallTimeout, objectstore::CallPurpose::Configuration);
    if (!object) {
      co_return Fail("chunk " + aHash.Text() + " cannot be read: " + object.error().m_detail);
    }
    auto chunk = ParseChunk(object->m_value);
    if (!chunk || chunk->m_hash != aHash) {
      co_return Fail("chunk " + aHash.Text() + " does not have the content of its name");
    }
    co_return std::move(*chunk);
  }

  /// Reads a complete version. Chunks of the version read last are not fetched
  /// again.
  Task<Document> ReadDocument(base::EnvironmentId aEnvironment, VersionRecord aRecord)
  {
    std::vector<ChunkHash> pending{ aRecord.m_root };
    std::map<ChunkHash, Chunk> chunks;
    while (!pending.empty()) {
      auto const hash = pending.back();
      pending.pop_back();
      auto known = m_chunks.find(hash);
      if (known == m_chunks.end()) {
        auto read = co_await ReadChunk(hash);
        if (!read) {
          co_return tl::make_unexpected(read.error());
        }
        known = m_chunks.emplace(hash, std::move(*read)).first;
      }
      auto const& chunk = chunks.emplace(hash, known->second).first->second;
      pending.insert(pending.end(), chunk.m_children.begin(), chunk.m_children.end());
    }
    auto const find = [&chunks](ChunkHash const& aHash) -> Chunk const* {
      auto const chunk = chunks.find(aHash);
      return chunk == chunks.end() ? nullptr : &chunk->second;
    };
    auto document = JoinDocument(aEnvironment, aRecord, find);
    m_chunks = std::move(chunks);
    if (!document) {
      co_return Fail("the document in the platform is not valid: " + ToText(document.error()));
    }
    co_return std::move(*document);
  }

  /// Runs a publication until it succeeds or fails. Chunks known to be in the
  /// platform are not written again.
  boost::asio::awaitable<tl::expected<PublishedStep, PublicationFailure>> Publish(
    PublicationRequest aRequest, base::Duration aTimeout)
  {
    std::erase_if(aRequest.m_chunks,
                  [this](Chunk const& aChunk) { return m_chunks.contains(aChunk.m_hash); });
    auto const environment = aRequest.m_environment;
    Publication publication(std::move(aRequest), m_loop.Now() + aTimeout);
    auto step = publication.Start(m_loop.Now());
    while (true) {
      if (auto const* published = std::get_if<PublishedStep>(&step)) {
        co_return *published;
      }
      if (auto const* failure = std::get_if<PublicationFailure>(&step)) {
        co_return tl::make_unexpected(*failure);
      }
      if (auto const* wait = std::get_if<WaitStep>(&step)) {
        co_await m_loop.Sleep(wait->m_until - m_loop.Now());
        step = publication.Resume(m_loop.Now());
      } else if (auto const* chunk = std::get_if<WriteChunkStep>(&step)) {
        auto write = ChunkWrite(chunk->m_chunk);
        auto const result = co_await Write(std::move(write));
        step = publication.OnChunkWritten(result, m_loop.Now());
      } else if (auto const* manifest = std::get_if<WriteManifestStep>(&step)) {
        auto write = ManifestWrite(*manifest);
        auto const result = co_await Write(std::move(write));
        step = publication.OnManifestWritten(result, m_loop.Now());
      } else {
        auto read = co_await ReadManifest(environment);
        step = read ? publication.OnManifest(std::move(*read), m_loop.Now())
                    : publication.OnReadFailed(m_loop.Now());
      }
    }
  }

private:
  static constexpr base::Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr std::size_t kNonceBytes = 12;

  static tl::unexpected<DocumentStoreError> Fail(std::string aMessage)
  {
    return tl::make_unexpected(DocumentStoreError{ std::move(aMessage) });
  }

  static objectstore::ObjectWrite ChunkWrite(Chunk const& aChunk)
  {
    objectstore::ObjectWrite write;
    write.m_key = { objectstore::ObjectKind::Chunk,
                    objectstore::ObjectName::FromValidated(aChunk.m_hash.Text()) };
    write.m_condition = objectstore::IfAbsent{};
    write.m_value = aChunk.m_text;
    return write;
  }

  static objectstore::ObjectWrite ManifestWrite(WriteManifestStep const& aStep)
  {
    objectstore::ObjectWrite write;
    auto const& name = aStep.m_manifest.m_environment.Text();
    write.m_key = { objectstore::ObjectKind::Document,
                    objectstore::ObjectName::FromValidated(name) };
    write.m_condition = objectstore::IfAbsent{};
    if (aStep.m_expected) {
      write.m_condition = objectstore::IfVersion{ *aStep.m_expected };
    }
    write.m_value = RenderManifest(aStep.m_manifest);
    return write;
  }

  /// Makes one attempt. The publication resolves an unknown outcome.
  boost::asio::awaitable<WriteResult> Write(objectstore::ObjectWrite aWrite)
  {
    aWrite.m_nonce = objectstore::WriteNonce::FromValidated(base::RandomHex(kNonceBytes));
    auto const written = co_await m_store.Write(std::move(aWrite), kCallTimeout,
                                                objectstore::CallPurpose::Configuration);
    if (written) {
      co_return WriteResult::Written;
    }
    auto const kind = written.error().m_kind;
    if (kind == objectstore::WriteError::Kind::Conflict) {
      co_return WriteResult::ConditionFailed;
    }
    co_return objectstore::IsCertainlyNotApplied(kind) ? WriteResult::Refused
                                                       : WriteResult::Unknown;
  }

  base::EventLoop& m_loop;
  Store& m_store;
  /// Chunks of the version read last, which are known to be in the platform.
  std::map<ChunkHash, Chunk> m_chunks;
};

} // namespace sardinefold::operators
