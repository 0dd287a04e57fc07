#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"
#include "ObjectStore/WriteSession.h"
#include "Service/ClaimAttempt.h"
#include "Service/ClaimCodec.h"
#include "Service/ClaimRetention.h"

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace sardinefold::service {

/// A request that must not be repeated, with the state of its claim.
struct ClaimTicket
{
  objectstore::ObjectKey m_key;
  ClaimOwnerId m_owner;
  ClaimAttempt m_attempt;
};

/// Reads and writes the claims of one agent on the platform, and deletes claims
/// that are due.
template<objectstore::ObjectStore Store>
class ClaimSession
{
public:
  ClaimSession(Store& aStore, base::EventLoop& aLoop, base::IncarnationId aIncarnation,
               ClaimRetentionLimits aLimits)
    : m_store(aStore)
    , m_loop(aLoop)
    , m_incarnation(std::move(aIncarnation))
    , m_limits(aLimits)
    , m_retention(aLimits)
  {
  }

  /// Creates the ticket of a request, which waits for another owner's response
  /// until aEnd.
  ClaimTicket Open(base::ClaimId const& aClaim, ContentHash aContent, base::Instant aEnd)
  {
    constexpr std::size_t kOwnerBytes = 12;
    auto owner = ClaimOwnerId::FromValidated(base::RandomHex(kOwnerBytes));
    ClaimAttempt attempt({ owner, m_incarnation, std::move(aContent) }, aEnd);
    objectstore::ObjectKey key{ objectstore::ObjectKind::Claim,
                                objectstore::ObjectName::FromValidated(aClaim.Text()) };
    return { std::move(key), std::move(owner), std::move(attempt) };
  }

  /// Performs steps until the request has to run (RunRequest) or the attempt
  /// has ended. aWriteLimit bounds each write, until its result is known, and
  /// each read.
  boost::asio::awaitable<ClaimStep> Advance(ClaimTicket& aTicket, base::Duration aWriteLimit)
  {
    while (true) {
      auto const step = aTicket.m_attempt.Next(m_loop.Now());
      if (auto const* const write = std::get_if<WriteClaim>(&step)) {
        co_await Write(aTicket, *write, aWriteLimit);
      } else if (std::holds_alternative<ReadClaim>(step)) {
        co_await Read(aTicket, aWriteLimit);
      } else if (auto const* const wait = std::get_if<WaitForOwner>(&step)) {
        co_await m_loop.Sleep(wait->m_until - m_loop.Now());
      } else {
        if (aTicket.m_attempt.IsAbandoned()) {
          RecordAbandoned(aTicket.m_owner);
        }
        co_return step;
      }
    }
  }

  /// Deletes due claims and looks for orphaned claims of crashed agents, one
  /// partition of the names at a time, for as long as the program runs.
  boost::asio::awaitable<void> CleanUp()
  {
    for (unsigned partition = 0;; partition = (partition + 1) % kNamePartitions) {
      co_await m_loop.Sleep(m_limits.m_ended / kNamePartitions);
      co_await FindOrphanedClaims(partition);
      for (auto const& deletion : m_retention.TakeDue(m_loop.Now())) {
        co_await Delete(deletion);
      }
    }
  }

  std::size_t CountKnown() const { return m_retention.Size(); }

private:
  /// Names are hexadecimal; a partition is all names with the same first two
  /// digits.
  static constexpr unsigned kNamePartitions = 256;
  static constexpr std::size_t kMaximumAbandonedOwners = 4096;
  static constexpr base::Duration kCleanUpLimit = std::chrono::seconds(5);

  boost::asio::awaitable<void> Write(ClaimTicket& aTicket, WriteClaim const& aStep,
                                     base::Duration aLimit)
  {
    objectstore::ObjectWrite write{ aTicket.m_key, aStep.m_condition, EncodeClaim(aStep.m_claim),
                                    objectstore::NewWriteNonce() };
    auto const result = co_await objectstore::WriteUntilKnown(
      m_store, m_loop, std::move(write), aLimit, objectstore::CallPurpose::Claim);
    auto const* const expected = std::get_if<objectstore::IfVersion>(&aStep.m_condition);
    auto const known = m_retention.Version(aTicket.m_key.m_name);
    // The store's copy holds the latest claim known here only under the same number.
    bool const isLost = result && known && known->Era() < result->Era() &&
                        !(expected && expected->m_version.Value() == known->Value());
    if (result) {
      m_retention.Record(aTicket.m_key.m_name, *result, aStep.m_claim.m_state, m_loop.Now());
    } else {
      base::log::Warning("claim not written",
                         { { "claim", aTicket.m_key.m_name.Text() },
                           { "error", std::string(objectstore::ToText(result.error().m_kind)) } });
    }
    aTicket.m_attempt.OnWritten(result);
    if (isLost) {
      base::log::Warning("the store has lost the claim of an earlier request",
                         { { "claim", aTicket.m_key.m_name.Text() } });
      aTicket.m_attempt.OnEarlierClaimLost();
    }
  }

  boost::asio::awaitable<void> Read(ClaimTicket& aTicket, base::Duration aLimit)
  {
    using Result = tl::expected<VersionedClaim, objectstore::ReadError>;
    auto key = aTicket.m_key;
    auto const object =
      co_await m_store.Get(std::move(key), aLimit, objectstore::CallPurpose::Claim);
    if (!object) {
      Result const failed = tl::make_unexpected(object.error());
      aTicket.m_attempt.OnRead(failed, false, m_loop.Now());
      co_return;
    }
    auto claim = DecodeClaim(object->m_value);
    if (!claim) {
      Result const malformed = tl::make_unexpected(
        objectstore::ReadError{ objectstore::ReadError::Kind::Malformed, claim.error() });
      aTicket.m_attempt.OnRead(malformed, false, m_loop.Now());
      co_return;
    }
    bool const isAbandoned = m_abandonedOwners.contains(claim->m_owner);
    Result const read = VersionedClaim{ object->m_version, std::move(*claim) };
    aTicket.m_attempt.OnRead(read, isAbandoned, m_loop.Now());
  }

  void RecordAbandoned(ClaimOwnerId const& aOwner)
  {
    if (!m_abandonedOwners.insert(aOwner).second) {
      return;
    }
    m_abandonedOwnerOrder.push_back(aOwner);
    if (m_abandonedOwnerOrder.size() > kMaximumAbandonedOwners) {
      m_abandonedOwners.erase(m_abandonedOwnerOrder.front());
      m_abandonedOwnerOrder.pop_front();
    }
  }

  boost::asio::awaitable<void> FindOrphanedClaims(unsigned aPartition)
  {
    constexpr char kDigits[] = "0123456789abcdef";
    std::string const text{ kDigits[aPartition / 16], kDigits[aPartition % 16] };
    auto prefix = objectstore::ObjectName::FromValidated(text);
    auto const list = co_await m_store.List(objectstore::ObjectKind::Claim, std::move(prefix),
                                            kCleanUpLimit, objectstore::CallPurpose::Status);
    if (!list) {
      co_return;
    }
    for (auto const& object : list->m_objects) {
      auto const claim = DecodeClaim(object.m_value);
      // A claim that can't be decoded may have been written by a later version
      // of the system.
      auto const state = claim ? claim->m_state : ClaimState::Running;
      m_retention.Record(object.m_key.m_name, object.m_version, state, m_loop.Now());
    }
  }

  boost::asio::awaitable<void> Delete(ClaimDeletion aDeletion)
  {
    objectstore::ObjectKey key{ objectstore::ObjectKind::Claim, aDeletion.m_name };
    // A claim whose deletion fails is found again by FindOrphanedClaims().
    co_await m_store.Delete(std::move(key), aDeletion.m_version, kCleanUpLimit,
                            objectstore::CallPurpose::Status);
  }

  Store& m_store;
  base::EventLoop& m_loop;
  base::IncarnationId m_incarnation;
  ClaimRetentionLimits m_limits;
  ClaimRetention m_retention;
  std::set<ClaimOwnerId> m_abandonedOwners;
  std::deque<ClaimOwnerId> m_abandonedOwnerOrder;
};

} // namespace sardinefold::service
