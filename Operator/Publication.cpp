#include "Operator/Publication.h"

#include "Base/Digest.h"

#include <algorithm>
#include <utility>

namespace sardinefold::operators {

namespace {

constexpr base::Duration kInitialRetryDelay = std::chrono::milliseconds(50);
constexpr base::Duration kMaximumRetryDelay = std::chrono::seconds(2);
constexpr unsigned kMaximumDoublings = 6;

/// Returns a delay that doubles with each failure. Up to half of it is jitter, so
/// that operators whose calls failed together do not retry together.
base::Duration RetryDelay(unsigned aFailures, PublicationId const& aId)
{
  auto const doubled = kInitialRetryDelay * (1U << std::min(aFailures, kMaximumDoublings));
  auto const retryDelay = std::min(doubled, kMaximumRetryDelay);
  auto const jitterFraction =
    static_cast<double>(base::FastHash(aId.Text(), aFailures) % 1024) / 1024;
  return base::FromSeconds(base::ToSeconds(retryDelay) * (0.5 + jitterFraction / 2));
}

base::DocumentVersion InForce(std::optional<StoredManifest> const& aStored)
{
  return aStored ? aStored->m_manifest.Current().m_version : base::DocumentVersion(0);
}

} // namespace

Publication::Publication(PublicationRequest aRequest, base::Instant aDeadline)
  : m_request(std::move(aRequest))
  , m_deadline(aDeadline)
{
  m_record.m_version = m_request.m_base.Next();
  m_record.m_root = m_request.m_root;
  m_record.m_publication = m_request.m_id;
  m_record.m_author = m_request.m_author;
  m_record.m_time = m_request.m_time;
  m_record.m_source = m_request.m_source;
}

PublicationStep Publication::Start(base::Instant)
{
  return ReadManifestStep{};
}

PublicationStep Publication::Resume(base::Instant)
{
  return ReadManifestStep{};
}

PublicationStep Publication::OnManifest(std::optional<StoredManifest> aManifest, base::Instant aNow)
{
  m_stored = std::move(aManifest);
  return Decide(aNow);
}

PublicationStep Publication::OnReadFailed(base::Instant aNow)
{
  return Retry(aNow);
}

PublicationStep Publication::OnChunkWritten(WriteResult aResult, base::Instant aNow)
{
  // NOTE: A chunk is named by the hash of its content, so one that already exists
  // is identical, and writing it again is harmless.
  bool const isStored = aResult == WriteResult::Written || aResult == WriteResult::ConditionFailed;
  if (!isStored) {
    return Retry(aNow);
  }
  ++m_nextChunk;
  return NextChunk();
}

PublicationStep Publication::OnManifestWritten(WriteResult aResult, base::Instant aNow)
{
  switch (aResult) {
    case WriteResult::Written:
      return PublishedStep{ m_record, true };
    case WriteResult::ConditionFailed:
    // Either another operator was first, or an earlier write of this publication
    // took effect and its response was lost. The manifest, read back, tells which.
    case WriteResult::Refused:
      return Retry(aNow);
    case WriteResult::Unknown:
      m_isUnresolved = true;
      return Retry(aNow);
  }
  return Retry(aNow);
}

PublicationStep Publication::Decide(base::Instant aNow)
{
  if (m_stored) {
    if (auto const* own = m_stored->m_manifest.Find(m_request.m_id)) {
      return PublishedStep{ *own, true };
    }
  }
  auto const inForce = InForce(m_stored);
  if (inForce != m_request.m_base) {
    bool const mayHaveBeenRemoved =
      m_isUnresolved && m_stored &&
      m_stored->m_manifest.m_history.front().m_version > m_record.m_version;
    if (mayHaveBeenRemoved) {
      return PublicationFailure{ PublicationFailure::Kind::Unknown,
                                 "so many versions followed that this one may be among them",
                                 m_stored->m_manifest.Current() };
    }
    return Conflict();
  }
  if (m_stored && m_stored->m_manifest.Current().m_root == m_request.m_root) {
    return PublishedStep{ m_stored->m_manifest.Current(), false };
  }
  if (aNow >= m_deadline) {
    return Retry(aNow);
  }
  return NextChunk();
}

PublicationStep Publication::NextChunk()
{
  if (m_nextChunk < m_request.m_chunks.size()) {
    return WriteChunkStep{ m_request.m_chunks[m_nextChunk] };
  }
  return WriteManifest();
}

PublicationStep Publication::WriteManifest()
{
  WriteManifestStep step;
  if (m_stored) {
    step.m_manifest = m_stored->m_manifest;
    step.m_expected = m_stored->m_objectVersion;
  }
  step.m_manifest.m_environment = m_request.m_environment;
  step.m_manifest.Append(m_record);
  return step;
}

PublicationStep Publication::Retry(base::Instant aNow)
{
  if (aNow < m_deadline) {
    auto const retryDelay = RetryDelay(m_failures++, m_request.m_id);
    return WaitStep{ std::min(aNow + retryDelay, m_deadline) };
  }
  if (m_isUnresolved) {
    return PublicationFailure{ PublicationFailure::Kind::Unknown,
                               "the platform did not answer; the version may be in force",
                               std::nullopt };
  }
  return PublicationFailure{ PublicationFailure::Kind::NotPublished,
                             "the time ran out; nothing was published", std::nullopt };
}

PublicationFailure Publication::Conflict() const
{
  PublicationFailure failure{ PublicationFailure::Kind::Conflict, "", std::nullopt };
  failure.m_message = "the document is based on version " +
                      std::to_string(m_request.m_base.Value()) + ", but version " +
                      std::to_string(InForce(m_stored).Value()) + " is in force";
  if (m_stored) {
    failure.m_inForce = m_stored->m_manifest.Current();
  }
  return failure;
}

} // namespace sardinefold::operators
