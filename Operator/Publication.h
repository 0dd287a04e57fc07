#pragma once

#include "Operator/Version.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sardinefold::operators {

/// A manifest as it stands in the platform.
struct StoredManifest
{
  Manifest m_manifest;
  base::ObjectVersion m_objectVersion;
};

/// What is to be published, and on top of what.
struct PublicationRequest
{
  base::EnvironmentId m_environment;
  /// The version that the operator saw; 0 if there was none.
  base::DocumentVersion m_base;
  ChunkHash m_root;
  std::vector<Chunk> m_chunks;
  PublicationId m_id;
  AuthorId m_author;
  base::WallTime m_time;
  std::optional<VersionSource> m_source;
};

/// How an attempt at a write ended, as the platform's client knows it.
enum class WriteResult
{
  Written,
  /// The object has another version, or exists already.
  ConditionFailed,
  /// The platform refused before it acted: an outage, or too many calls.
  Refused,
  /// No answer came; the write may have taken effect or may still do so.
  Unknown
};

/// Steps that the I/O edge carries out for a publication.
struct ReadManifestStep
{};
struct WriteChunkStep
{
  Chunk m_chunk;
};
struct WriteManifestStep
{
  Manifest m_manifest;
  /// The version to replace; none to create the object.
  std::optional<base::ObjectVersion> m_expected;
};
/// Call Resume() at the time given.
struct WaitStep
{
  base::Instant m_until;
};
struct PublishedStep
{
  VersionRecord m_record;
  /// False if the version in force had this very content already.
  bool m_isNew;
};
struct PublicationFailure
{
  enum class Kind
  {
    /// Another version is in force than the operator saw. Nothing changed.
    Conflict,
    /// The time ran out before anything was sent that could take effect.
    NotPublished,
    /// The time ran out while a write may still take effect.
    Unknown
  };
  Kind m_kind;
  std::string m_message;
  /// In a conflict, the version that is in force.
  std::optional<VersionRecord> m_inForce;
};

using PublicationStep = std::variant<ReadManifestStep, WriteChunkStep, WriteManifestStep, WaitStep,
                                     PublishedStep, PublicationFailure>;

/// Decides how a version gets into the platform: writes its chunks, then puts
/// it in force by one conditional update of the manifest. An answer that was
/// lost is resolved by reading the manifest back, so that no version is
/// published twice and none over one that the operator did not see.
class Publication
{
public:
  Publication(PublicationRequest aRequest, base::Instant aDeadline);

  PublicationStep Start(base::Instant aNow);
  /// Continues after a WaitStep.
  PublicationStep Resume(base::Instant aNow);
  /// The manifest was read; none if the environment has no document yet.
  PublicationStep OnManifest(std::optional<StoredManifest> aManifest, base::Instant aNow);
  /// The manifest could not be read.
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
  /// Whether a write of the manifest may have taken effect unseen.
  bool m_isUnresolved = false;
};

} // namespace sardinefold::operators
