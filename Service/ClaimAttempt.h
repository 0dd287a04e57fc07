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
/// in the same turn of the loop, then call OnRan().
struct RunRequest
{};
/// The request has run before; this is its answer.
struct GiveKeptAnswer
{
  KeptAnswer m_answer;
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

using ClaimStep = std::variant<WriteClaim, ReadClaim, WaitForOwner, RunRequest, GiveKeptAnswer,
                               RefuseClaimed, ClaimEnded>;

/// How the run of a claimed request ended.
struct AnswerNotKeptEnd
{};
using RunEnd = std::variant<base::NotRun, KeptAnswer, AnswerNotKeptEnd, base::Unknown>;

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
  /// aOwnerGaveUp tells that this process's own earlier attempt holds the
  /// claim and will never run.
  void OnRead(tl::expected<VersionedClaim, objectstore::ReadError> const& aResult,
              bool aOwnerGaveUp, base::Instant aNow);
  void OnRan(RunEnd aEnd);

  /// Whether the attempt ended without knowing that its claim is not there:
  /// it will not run, and its owner id may be given to OnRead() as given up.
  bool HasGivenUp() const { return m_hasGivenUp; }

private:
  enum class Phase
  {
    Create,
    Read,
    Wait,
    TakeOver,
    Run,
    Record,
    Over
  };

  Claim OwnClaim(ClaimState aState) const;
  void Refuse(ClaimRefusal aReason, std::variant<base::NotRun, base::Unknown> aOutcome);
  void OnClaimed(tl::expected<base::ObjectVersion, objectstore::WriteError> const& aResult);
  void OnOtherOwner(VersionedClaim const& aClaim, bool aOwnerGaveUp, base::Instant aNow);

  Identity m_identity;
  base::Instant m_end;
  Phase m_phase = Phase::Create;
  base::ObjectVersion m_version;
  base::Instant m_nextRead{};
  base::Duration m_pause;
  int m_creations = 0;
  Claim m_record;
  bool m_hasGivenUp = false;
  std::optional<ClaimStep> m_last;
};

} // namespace sardinefold::service
