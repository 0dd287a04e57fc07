#pragma once

#include "Base/Outcome.h"
#include "Base/Time.h"
#include "ObjectStore/PlatformError.h"
#include "Service/Claim.h"

#include <tl/expected.hpp>

#include <optional>
#include <variant>

namespace sardinefold::service {

/// Write the claim until the result is known, and report it to OnWritten().
struct WriteClaim
{
  objectstore::WriteCondition m_condition;
  Claim m_claim;
};
/// Read the claim, and report the result to OnRead().
struct ReadClaim
{};
/// Wait until this time while another owner runs the request.
struct WaitForOwner
{
  base::Instant m_until;
};
/// Run the request, as the attempt owns the claim: check the time bound and
/// send the request in the same iteration of the event loop, then call
/// OnRunEnded().
struct RunRequest
{};
/// Return the stored response of an earlier run of the request.
struct ReturnStoredResponse
{
  StoredResponse m_response;
};

/// Why a request with an idempotency key is refused.
enum class ClaimRefusal
{
  /// The claim could not be written.
  NotWritten,
  /// The key was used before for another request.
  KeyReused,
  /// An earlier request with this key may have run.
  EarlierUnknown,
  /// An earlier request with this key ran; its response was too large to store.
  AnswerNotKept
};

struct RefuseClaimed
{
  ClaimRefusal m_reason;
  /// NotRun only if no attempt with this key can have run for this caller;
  /// otherwise Unknown.
  std::variant<base::NotRun, base::Unknown> m_outcome;
};
/// The request ran, and the final write of its claim has completed.
struct ClaimEnded
{
  bool m_isRecorded;
};

using ClaimStep = std::variant<WriteClaim, ReadClaim, WaitForOwner, RunRequest,
                               ReturnStoredResponse, RefuseClaimed, ClaimEnded>;

/// The result of running a claimed request.
struct ResponseNotStored
{};
using RunResult = std::variant<base::NotRun, StoredResponse, ResponseNotStored, base::Unknown>;

/// Decides the steps of one request that must not be repeated, from creating
/// its claim to recording its response. At most one attempt for a key ever gets
/// RunRequest, unless the previous one released the claim with proof that it
/// had not run: the claim is created only if absent, and its owner changes only
/// by a conditional update of a claim that is released or whose owner is
/// abandoned and will never run.
class ClaimAttempt
{
public:
  struct Identity
  {
    ClaimOwnerId m_owner;
    base::IncarnationId m_incarnation;
    ContentHash m_content;
  };

  /// After aEnd the attempt no longer waits for another owner's response.
  ClaimAttempt(Identity aIdentity, base::Instant aEnd);

  ClaimStep Next(base::Instant aNow) const;
  void OnWritten(tl::expected<base::ObjectVersion, objectstore::WriteError> const& aResult);
  /// aIsOwnerAbandoned states that the claim's owner is an earlier attempt of
  /// this process that will never run.
  void OnRead(tl::expected<VersionedClaim, objectstore::ReadError> const& aResult,
              bool aIsOwnerAbandoned, base::Instant aNow);
  void OnRunEnded(RunResult aEnd);
  /// Called when a claim of this key was known before and the store has lost it. An
  /// earlier request may have run, so that this one does not.
  void OnEarlierClaimLost();

  /// Whether the attempt ended without knowing that its claim was not written.
  /// It will not run, so OnRead() may be told that its owner id is abandoned.
  bool IsAbandoned() const { return m_isAbandoned; }

private:
  enum class Phase
  {
    Create,
    Read,
    Wait,
    TakeOver,
    Run,
    Record,
    Done
  };

  Claim OwnClaim(ClaimState aState) const;
  void Refuse(ClaimRefusal aReason, std::variant<base::NotRun, base::Unknown> aOutcome);
  void OnClaimed(tl::expected<base::ObjectVersion, objectstore::WriteError> const& aResult);
  void OnOtherOwner(VersionedClaim const& aClaim, bool aIsOwnerAbandoned, base::Instant aNow);

  Identity m_identity;
  base::Instant m_end;
  Phase m_phase = Phase::Create;
  base::ObjectVersion m_version;
  base::Instant m_nextRead{};
  base::Duration m_pollInterval;
  int m_creations = 0;
  Claim m_record;
  bool m_isAbandoned = false;
  std::optional<ClaimStep> m_finalStep;
};

} // namespace sardinefold::service
