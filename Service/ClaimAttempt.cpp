#include "Service/ClaimAttempt.h"

#include <algorithm>

namespace sardinefold::service {

using objectstore::ReadError;
using objectstore::WriteError;

namespace {

/// Interval between two reads while another owner runs the request; doubles
/// each time.
constexpr base::Duration kInitialPollInterval = std::chrono::milliseconds(100);
constexpr base::Duration kMaximumPollInterval = std::chrono::seconds(2);
/// Bounds the retries for a claim that is deleted between the failed creation
/// and the read, which is rare.
constexpr int kMaximumCreations = 3;

} // namespace

ClaimAttempt::ClaimAttempt(Identity aIdentity, base::Instant aEnd)
  : m_identity(std::move(aIdentity))
  , m_end(aEnd)
  , m_pollInterval(kInitialPollInterval)
{
}

Claim ClaimAttempt::OwnClaim(ClaimState aState) const
{
  return { aState, m_identity.m_owner, m_identity.m_incarnation, m_identity.m_content, {} };
}

ClaimStep ClaimAttempt::Next(base::Instant aNow) const
{
  switch (m_phase) {
    case Phase::Create:
      return WriteClaim{ objectstore::IfAbsent{}, OwnClaim(ClaimState::Running) };
    case Phase::TakeOver:
      return WriteClaim{ objectstore::IfVersion{ m_version }, OwnClaim(ClaimState::Running) };
    case Phase::Read:
      return ReadClaim{};
    case Phase::Wait:
      if (aNow >= m_nextRead) {
        return ReadClaim{};
      }
      return WaitForOwner{ m_nextRead };
    case Phase::Run:
      return RunRequest{};
    case Phase::Record:
      return WriteClaim{ objectstore::IfVersion{ m_version }, m_record };
    case Phase::Done:
      return *m_finalStep;
  }
  return *m_finalStep;
}

void ClaimAttempt::Refuse(ClaimRefusal aReason, std::variant<base::NotRun, base::Unknown> aOutcome)
{
  m_phase = Phase::Done;
  m_finalStep = RefuseClaimed{ aReason, std::move(aOutcome) };
}

void ClaimAttempt::OnWritten(tl::expected<base::ObjectVersion, WriteError> const& aResult)
{
  if (m_phase == Phase::Record) {
    m_phase = Phase::Done;
    m_finalStep = ClaimEnded{ aResult.has_value() };
    return;
  }
  OnClaimed(aResult);
}

void ClaimAttempt::OnClaimed(tl::expected<base::ObjectVersion, WriteError> const& aResult)
{
  if (aResult) {
    m_version = *aResult;
    m_phase = Phase::Run;
    return;
  }
  auto const kind = aResult.error().m_kind;
  if (kind == WriteError::Kind::Conflict || kind == WriteError::Kind::Superseded) {
    m_phase = Phase::Read;
    return;
  }
  m_isAbandoned = !objectstore::IsCertainlyNotApplied(kind);
  Refuse(ClaimRefusal::NotWritten, base::NotRun::BeforeSending("claim_not_written"));
}

void ClaimAttempt::OnRead(tl::expected<VersionedClaim, ReadError> const& aResult,
                          bool aIsOwnerAbandoned, base::Instant aNow)
{
  if (!aResult) {
    bool const isAbsent = aResult.error().m_kind == ReadError::Kind::NotFound;
    if (isAbsent && ++m_creations < kMaximumCreations) {
      m_phase = Phase::Create;
      return;
    }
    // A claim exists or existed, so an earlier request may have run.
    Refuse(ClaimRefusal::EarlierUnknown, base::Unknown{ "claim_not_read" });
    return;
  }
  auto const& claim = aResult->m_claim;
  if (claim.m_content != m_identity.m_content) {
    Refuse(ClaimRefusal::KeyReused, base::NotRun::BeforeSending("idempotency_key_reused"));
    return;
  }
  m_version = aResult->m_version;
  if (claim.m_owner == m_identity.m_owner && claim.m_state == ClaimState::Running) {
    m_phase = Phase::Run;
    return;
  }
  OnOtherOwner(*aResult, aIsOwnerAbandoned, aNow);
}

void ClaimAttempt::OnOtherOwner(VersionedClaim const& aClaim, bool aIsOwnerAbandoned,
                                base::Instant aNow)
{
  switch (aClaim.m_claim.m_state) {
    case ClaimState::Answered:
      m_phase = Phase::Done;
      m_finalStep = ReturnStoredResponse{ *aClaim.m_claim.m_response };
      return;
    case ClaimState::AnswerNotKept:
      Refuse(ClaimRefusal::AnswerNotKept, base::Unknown{ "answer_not_kept" });
      return;
    case ClaimState::Lost:
      Refuse(ClaimRefusal::EarlierUnknown, base::Unknown{ "earlier_outcome_unknown" });
      return;
    case ClaimState::Released:
      m_phase = Phase::TakeOver;
      return;
    case ClaimState::Running:
      break;
  }
  if (aIsOwnerAbandoned) {
    m_phase = Phase::TakeOver;
    return;
  }
  if (aNow >= m_end) {
    Refuse(ClaimRefusal::EarlierUnknown, base::Unknown{ "earlier_outcome_unknown" });
    return;
  }
  m_phase = Phase::Wait;
  m_nextRead = std::min(aNow + m_pollInterval, m_end);
  m_pollInterval = std::min(2 * m_pollInterval, kMaximumPollInterval);
}

void ClaimAttempt::OnEarlierClaimLost()
{
  Refuse(ClaimRefusal::EarlierUnknown, base::Unknown{ "earlier_claim_lost" });
}

void ClaimAttempt::OnRunEnded(RunResult aEnd)
{
  m_phase = Phase::Record;
  if (std::holds_alternative<base::NotRun>(aEnd)) {
    m_record = OwnClaim(ClaimState::Released);
  } else if (auto* const response = std::get_if<StoredResponse>(&aEnd)) {
    m_record = OwnClaim(ClaimState::Answered);
    m_record.m_response = std::move(*response);
  } else if (std::holds_alternative<ResponseNotStored>(aEnd)) {
    m_record = OwnClaim(ClaimState::AnswerNotKept);
  } else {
    m_record = OwnClaim(ClaimState::Lost);
  }
}

} // namespace sardinefold::service
