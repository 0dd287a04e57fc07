#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "ObjectStore/PlatformObject.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinefold::service {

/// One attempt to run a request that may not repeat; drawn at random.
using ClaimOwnerId = base::Identifier<struct ClaimOwnerTag>;
/// Hash of method, target and body, to see a key reused for another request.
using ContentHash = base::Identifier<struct ContentHashTag>;

enum class ClaimState
{
  /// Its owner may be running the request.
  Running,
  /// The request ran and its answer is kept.
  Answered,
  /// The request ran and its answer was too large to keep.
  AnswerNotKept,
  /// The request was given to the upstream, which did not answer.
  Lost,
  /// Its owner did not run the request and will not; another may.
  Released
};

/// Largest body of an answer that is kept. An encoded claim of this size stays
/// below the platform's limit of one megabyte.
inline constexpr base::Bytes kMaximumStoredBody{ 256LL * 1024 };

/// The first answer to a request, given again to each resend.
struct StoredResponse
{
  struct Field
  {
    std::string m_name;
    std::string m_value;
    friend bool operator==(Field const&, Field const&) = default;
  };

  unsigned m_status = 200;
  std::vector<Field> m_fields;
  std::string m_body;

  friend bool operator==(StoredResponse const&, StoredResponse const&) = default;
};

/// The platform's record of a request that may not repeat.
struct Claim
{
  ClaimState m_state = ClaimState::Running;
  ClaimOwnerId m_owner;
  /// The agent's life in which the owner lives.
  base::IncarnationId m_incarnation;
  ContentHash m_content;
  /// Set in the state Answered.
  std::optional<StoredResponse> m_response;
};

struct VersionedClaim
{
  base::ObjectVersion m_version;
  Claim m_claim;
};

} // namespace sardinefold::service
