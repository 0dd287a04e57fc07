#include "Entry/Configuration/VersionFollower.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// A fetch without a response within this time counts as lost.
constexpr base::Duration kFetchTimeout = 400ms;
constexpr base::Duration kRetryDelay = 50ms;
/// Chunks read from the platform in one batch, within the rate allowed to one
/// process.
constexpr std::size_t kChunksPerBatch = 16;
constexpr std::size_t kMaxSources = 4;
/// Number of versions whose chunks are kept, so that a process that has one of
/// them can be sent the difference only.
constexpr std::size_t kRetainedVersions = 16;

} // namespace

bool VersionFollower::OnVersion(operators::VersionRecord const& aRecord, ChunkSource const& aSource)
{
  auto const newest = m_newest ? m_newest->m_version : base::DocumentVersion(0);
  if (aRecord.m_version < newest) {
    return false;
  }
  if (aRecord.m_version == newest) {
    bool const isKnown = std::ranges::find(m_sources, aSource) != m_sources.end();
    if (!isKnown && m_sources.size() < kMaxSources) {
      m_sources.push_back(aSource);
    }
    return false;
  }
  m_newest = aRecord;
  m_sources = { aSource };
  m_source = 0;
  m_received = 0;
  m_fetchDeadline.reset();
  m_nextAttempt = {};
  m_isApplying = false;
  m_isComplete = m_chunks.IsComplete(aRecord.m_root);
  return true;
}

void VersionFollower::Collect(base::Instant aNow, ConfigurationActions& aActions)
{
  if (!m_newest || IsSettled() || m_isApplying) {
    return;
  }
  if (m_isComplete) {
    m_isApplying = true;
    aActions.push_back(ApplyAction{ *m_newest });
    return;
  }
  if (m_fetchDeadline && aNow >= *m_fetchDeadline) {
    m_fetchDeadline.reset();
    NextSource();
  }
  if (!m_fetchDeadline && aNow >= m_nextAttempt) {
    Fetch(aNow, aActions);
  }
}

void VersionFollower::OnChunks(ChunkSource const& aSource, std::vector<operators::Chunk> aChunks,
                               base::Instant aNow)
{
  if (!m_newest || IsSettled()) {
    return;
  }
  bool const isAwaited = m_fetchDeadline && m_sources[m_source] == aSource;
  if (aChunks.empty() && isAwaited) {
    OnFetchFailed(aSource, aNow);
    return;
  }
  m_received += aChunks.size();
  for (auto& chunk : aChunks) {
    m_chunks.Insert(std::move(chunk));
  }
  m_isComplete = m_chunks.IsComplete(m_newest->m_root);
  if (isAwaited) {
    m_fetchDeadline.reset();
  }
}

void VersionFollower::OnFetchFailed(ChunkSource const& aSource, base::Instant aNow)
{
  bool const isAwaited = m_fetchDeadline && m_sources[m_source] == aSource;
  if (!isAwaited) {
    return;
  }
  m_fetchDeadline.reset();
  m_nextAttempt = aNow + kRetryDelay;
  NextSource();
}

void VersionFollower::OnApplied(base::DocumentVersion aVersion)
{
  if (!m_newest || m_newest->m_version != aVersion) {
    return;
  }
  m_inForce = m_newest;
  m_isApplying = false;
  m_rejection.reset();
  m_retainedRoots.push_back(m_inForce->m_root);
  if (m_retainedRoots.size() > kRetainedVersions) {
    m_retainedRoots.pop_front();
  }
  m_chunks.Retain({ m_retainedRoots.begin(), m_retainedRoots.end() });
}

void VersionFollower::OnRejected(base::DocumentVersion aVersion, std::string aProblem)
{
  if (!m_newest || m_newest->m_version != aVersion) {
    return;
  }
  m_isApplying = false;
  m_rejection = Rejection{ aVersion, std::move(aProblem) };
}

base::DocumentVersion VersionFollower::InForce() const
{
  return m_inForce ? m_inForce->m_version : base::DocumentVersion(0);
}

std::optional<operators::VersionRecord> const& VersionFollower::NewestServable() const
{
  return m_newest && m_isComplete ? m_newest : m_inForce;
}

bool VersionFollower::IsSettled() const
{
  bool const isRejected = m_rejection && m_rejection->m_version == m_newest->m_version;
  return isRejected || InForce() == m_newest->m_version;
}

void VersionFollower::Fetch(base::Instant aNow, ConfigurationActions& aActions)
{
  m_fetchDeadline = aNow + kFetchTimeout;
  auto const& source = m_sources[m_source];
  if (auto const* peer = std::get_if<base::HostId>(&source)) {
    ChunkRequest request;
    request.m_wanted = m_newest->m_root;
    request.m_held = m_inForce ? m_inForce->m_root : operators::ChunkHash();
    request.m_skip = m_received;
    aActions.push_back(FetchFromPeerAction{ *peer, std::move(request) });
    return;
  }
  aActions.push_back(
    FetchFromPlatformAction{ m_chunks.Missing(m_newest->m_root, kChunksPerBatch) });
}

void VersionFollower::NextSource()
{
  // NOTE: Each source sends the chunks in its own order, so the count restarts
  // with each.
  m_received = 0;
  m_source = (m_source + 1) % m_sources.size();
}

} // namespace sardinefold::entry
