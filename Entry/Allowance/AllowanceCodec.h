#pragma once

#include "Entry/Allowance/AllowanceMessages.h"
#include "Entry/Allowance/OwnershipPlan.h"
#include "Operator/DocumentProblem.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::entry {

/// JSON-RPC methods of the allowances, between entries.
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

/// The value of a slot's object in the platform: {host, incarnation, epoch,
/// shares, slots, levels?}; without host and incarnation after a hand-over.
Json::Value WriteBucketRecord(BucketRecord const& aRecord);
DecodedBucket<BucketRecord> ReadBucketRecord(Json::Value const& aValue);

/// Name of a slot's object, such as "share-2/slot-7".
std::string BucketObjectName(ShareSlot aSlot);

} // namespace sardinefold::entry
