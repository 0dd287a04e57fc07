#pragma once

#include "Operator/Version.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sardinefold::operators {

/// A manifest as stored in the platform.
struct StoredManifest
{
  Manifest m_manifest;
  base::ObjectVersion m_objectVersion;
};

/// A version to publish and the version that it is based on.
struct PublicationRequest
{
  base::EnvironmentId m_environment;
  /// The version that the document is based on; 0 if there was none.
  base::DocumentVersion m_base;
  ChunkHash m_root;
  std::vector<Chunk> m_chunks;
  PublicationId m_id;
  AuthorId m_author;
  base::WallTime m_time;
  std::optional<VersionSource> m_source;
};

/// Outcome of one attempt to write, as far as the platform's client knows it.
enum class WriteResult
{
  Written,
  /// The object has another version, or exists already.
  ConditionFailed,
  /// The write was not applied, because of an outage or too many calls.
  Refused,
  /// No response arrived; the write may have taken effect or may still do so.
  Unknown
};

/// Steps that the I/O code performs for a publication.
struct ReadManifestStep
{};
struct WriteChunkStep
{
  Chunk m_chunk;
};
struct WriteManifestStep
{
  Manifest m_manifest;
  /// The object version to replace; none to create the object.
  std::optional<base::ObjectVersion> m_expected;
};
/// Resume() is to be called at m_until.
struct WaitStep
{
  base::Instant m_until;
};
struct PublishedStep
{
  VersionRecord m_record;
  /// False if the version in force already had the same content.
  bool m_isNew;
};
struct PublicationFailure
{
  enum class Kind
  {
    /// The version in force is not the one that the document is based on.
    /// Nothing changed.
    Conflict,
    /// The deadline passed before anything was sent that could take effect.
    NotPublished,
    /// The deadline passed while a write may still take effect.
    Unknown
  };
  Kind m_kind;
  std::string m_message;
  /// The version in force, if it prevented the publication.
  std::optional<VersionRecord> m_inForce;
};

using PublicationStep = std::variant<ReadManifestStep, WriteChunkStep, WriteManifestStep, WaitStep,
                                     PublishedStep, PublicationFailure>;

/// Decides the steps that publish a version: its chunks are written first, then
/// one conditional update of the manifest puts it in force. After a lost
/// response the manifest is read back, so that no version is published twice or
/// on top of one that the operator has not seen.
class Publication
{
public:
  Publication(PublicationRequest aRequest, base::Instant aDeadline);

  PublicationStep Start(base::Instant aNow);
  /// Continues after a WaitStep.
  PublicationStep Resume(base::Instant aNow);
  /// Continues after the manifest was read; none if the environment has no
  /// document yet.
  PublicationStep OnManifest(std::optional<StoredManifest> aManifest, base::Instant aNow);
  /// Continues after the manifest could not be read.
  PublicationStep OnReadFailed(base::Instant aNow);
  PublicationStep OnChunkWritten(WriteResult aResult, base::Instant aNow);
  PublicationStep OnManifestWritten(WriteResult aResult, base::Instant aNow);

private:
  PublicationStep Decide(base::Instant aNow);
  PublicationStep NextChunk();
  PublicationStep WriteManifest();
  PublicationStep Retry(base::Instant aNow);
  PublicationFailure Conflict() const;

  PublicationRequest m_request;
  base::Instant m_deadline;
  std::optional<StoredManifest> m_stored;
  VersionRecord m_record;
  std::size_t m_nextChunk = 0;
  unsigned m_failures = 0;
  /// Whether an earlier write of the manifest has an unknown outcome.
  bool m_isUnresolved = false;
};

} // namespace sardinefold::operators
