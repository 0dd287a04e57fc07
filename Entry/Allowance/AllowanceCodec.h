#pragma once

#include "Entry/Allowance/AllowanceMessages.h"
#include "Entry/Allowance/OwnershipPlan.h"
#include "Operator/DocumentProblem.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::entry {

/// JSON-RPC methods between entries for allowances.
/// bucket.ask: {workspace, share, host, incarnation, epoch, number, first, want,
/// prefetch, reports?, refunds?}.
inline constexpr char kBucketAskMethod[] = "bucket.ask";
/// bucket.grant: {workspace, share, host, incarnation, epoch, answers, number,
/// tokens, owner_ns, refunds_applied, expected_wait_ns}.
inline constexpr char kBucketGrantMethod[] = "bucket.grant";

template<typename Message>
using DecodedBucket = tl::expected<Message, operators::DocumentProblems>;

Json::Value WriteTokenRequest(TokenRequest const& aRequest);
DecodedBucket<TokenRequest> ReadTokenRequest(Json::Value const& aValue);

Json::Value WriteTokenGrant(TokenGrant const& aGrant);
DecodedBucket<TokenGrant> ReadTokenGrant(Json::Value const& aValue);

/// Encodes the value of a slot's object in the platform: {host, incarnation,
/// epoch, shares, slots, levels?}; host and incarnation are absent after a
/// hand-over.
Json::Value WriteBucketRecord(BucketRecord const& aRecord);
DecodedBucket<BucketRecord> ReadBucketRecord(Json::Value const& aValue);

/// Returns the name of a slot's object, such as "share-2/slot-7".
std::string BucketObjectName(ShareSlot aSlot);

} // namespace sardinefold::entry
