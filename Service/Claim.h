#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "ObjectStore/PlatformObject.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinefold::service {

/// Random identifier of one attempt to run a request that must not be repeated.
using ClaimOwnerId = base::Identifier<struct ClaimOwnerTag>;
/// Hash of method, target and body, to detect a key that is reused for another
/// request.
using ContentHash = base::Identifier<struct ContentHashTag>;

enum class ClaimState
{
  /// The owner may be running the request.
  Running,
  /// The request ran and its response is stored.
  Answered,
  /// The request ran and its response was too large to store.
  AnswerNotKept,
  /// The request was sent to the upstream, which did not respond.
  Lost,
  /// The owner did not run the request and will not; another owner may.
  Released
};

/// Maximum size of a response body that is stored. An encoded claim with a body
/// of this size stays below the platform's limit of one megabyte.
inline constexpr base::Bytes kMaximumStoredBody{ 256LL * 1024 };

/// The first response to a request, returned again for each resend.
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

/// The record on the platform of a request that must not be repeated.
struct Claim
{
  ClaimState m_state = ClaimState::Running;
  ClaimOwnerId m_owner;
  /// The incarnation of the agent that the owner belongs to.
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
