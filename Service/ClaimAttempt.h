#pragma once

#include "Base/Outcome.h"
#include "Base/Time.h"
#include "ObjectStore/PlatformError.h"
#include "Service/Claim.h"

#include <tl/expected.hpp>

#include <optional>
#include <variant>

namespace sardinefold::service {

/// Write the claim until the result is known; it goes to OnWritten().
struct WriteClaim
{
  objectstore::WriteCondition m_condition;
  Claim m_claim;
};
/// Read the claim; the result goes to OnRead().
struct ReadClaim
{};
/// Nothing to do before this time.
struct WaitForOwner
{
  base::Instant m_until;
};
/// The claim is this attempt's own: check the time bound and send the request
/// in the same turn of the loop, then call OnRunEnded().
struct RunRequest
{};
/// The request has run before; this is its answer.
struct ReturnStoredResponse
{
  StoredResponse m_response;
};

/// Why a request with an idempotency key gets no answer.
enum class ClaimRefusal
{
  /// The claim could not be written.
  NotWritten,
  /// The key was used before for another request.
  KeyReused,
  /// An earlier request with this key may have run.
  EarlierUnknown,
  /// An earlier request with this key ran; its answer was too large to keep.
  AnswerNotKept
};

struct RefuseClaimed
{
  ClaimRefusal m_reason;
  /// NotRun only if no attempt with this key can have run for this caller.
  std::variant<base::NotRun, base::Unknown> m_outcome;
};
/// The request was run and the claim's last write is over.
struct ClaimEnded
{
  bool m_isRecorded;
};

using ClaimStep = std::variant<WriteClaim, ReadClaim, WaitForOwner, RunRequest,
                               ReturnStoredResponse, RefuseClaimed, ClaimEnded>;

/// How the run of a claimed request ended.
struct ResponseNotStored
{};
using RunResult = std::variant<base::NotRun, StoredResponse, ResponseNotStored, base::Unknown>;

/// Decides how one request that may not repeat goes on, from the creation of
/// its claim to the record of its answer. At most one attempt for a key ever
/// gets RunRequest, unless the one before it released the claim by proof that
/// it had not run: the claim is created only if absent and changes hands only
/// by a conditional update of a released one.
class ClaimAttempt
{
public:
  struct Identity
  {
    ClaimOwnerId m_owner;
    base::IncarnationId m_incarnation;
    ContentHash m_content;
  };

  /// After aEnd the attempt no longer waits for another owner's answer.
  ClaimAttempt(Identity aIdentity, base::Instant aEnd);

  ClaimStep Next(base::Instant aNow) const;
  void OnWritten(tl::expected<base::ObjectVersion, objectstore::WriteError> const& aResult);
  /// aIsOwnerAbandoned tells that this process's own earlier attempt holds the
  /// claim and will never run.
  void OnRead(tl::expected<VersionedClaim, objectstore::ReadError> const& aResult,
              bool aIsOwnerAbandoned, base::Instant aNow);
  void OnRunEnded(RunResult aEnd);

  /// Whether the attempt ended without knowing that its claim is not there:
  /// it will not run, and its owner id may be given to OnRead() as given up.
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
