#include "Entry/Allowance/ShareLink.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Reports are held back this long in case another request can carry them.
constexpr base::Duration kReportInterval = 1s;
/// Unused tokens are returned this long before their slice expires.
constexpr base::Duration kReturnMargin = 400ms;
/// A further request for more tokens is sent at the earliest after this time, so
/// that it covers several new requests.
constexpr base::Duration kIncreaseInterval = 20ms;
/// The same while the last request is queued at its owner.
constexpr base::Duration kQueuedIncreaseInterval = 250ms;
/// An owner's estimate of the wait is valid for this time.
constexpr base::Duration kEstimateLifetime = 500ms;
/// Refund entries closer than this are merged into the earlier one.
constexpr base::Duration kRefundMergeInterval = 250ms;
/// Further refunds are sent with the next request.
constexpr std::size_t kRefundsPerRequest = 32;

} // namespace

ShareLink::ShareLink(ShareKey aShare, HolderKey aHolder, TokenRequestNumber aLastNumber)
  : m_share(std::move(aShare))
  , m_holder(std::move(aHolder))
  , m_lastRequest(aLastNumber)
  , m_lastAcknowledged(aLastNumber)
{
  m_sentRefunds.m_number = RefundNumber(aLastNumber.Value());
}

void ShareLink::Receive(TokenGrant const& aGrant, base::Instant aNow)
{
  if (aGrant.m_holder != m_holder || aGrant.m_epoch < m_epoch) {
    return;
  }
  auto const sentRequest =
    std::ranges::find(m_sentRequests, aGrant.m_requestNumber, &SentRequest::m_number);
  if (sentRequest == m_sentRequests.end()) {
    return;
  }
  UpdateOwnerState(aGrant, aNow);
  m_lastAcknowledged = std::max(m_lastAcknowledged, aGrant.m_requestNumber);
  if (aGrant.m_refundsApplied >= m_sentRefunds.m_number) {
    m_sentRefunds.m_entries.clear();
  }
  if (aGrant.m_tokens <= base::Tokens()) {
    return;
  }
  base::Instant const end = sentRequest->m_at + kSliceLifetime;
  if (end <= aNow || Find(aGrant.m_epoch, aGrant.m_number) != nullptr) {
    return;
  }
  m_slices.push_back({ aGrant.m_number, aGrant.m_tokens, {}, {}, {}, {}, {}, end });
  m_available += aGrant.m_tokens;
  if (aGrant.m_tokens >= m_requested.m_wanted) {
    m_requested.m_wanted = base::Tokens();
    m_isQueued = false;
    return;
  }
  m_requested.m_wanted -= aGrant.m_tokens;
}

void ShareLink::UpdateOwnerState(TokenGrant const& aGrant, base::Instant aNow)
{
  if (aGrant.m_epoch > m_epoch) {
    for (Slice const& orphan : m_orphans) {
      m_available -= orphan.m_available;
    }
    m_orphans = std::exchange(m_slices, {});
    m_orphanEpoch = m_epoch;
    m_epoch = aGrant.m_epoch;
    m_refunds.clear();
    m_sentRefunds.m_entries.clear();
    m_ownerTime = aGrant.m_ownerTime;
  }
  if (aGrant.m_ownerTime >= m_ownerTime) {
    m_ownerTime = aGrant.m_ownerTime;
    m_ownerTimeReceivedAt = aNow;
    m_expectedWait = aGrant.m_expectedWait;
  }
  if (aGrant.m_requestNumber == m_lastRequest && aGrant.m_tokens < m_requested.m_wanted) {
    m_isQueued = true;
  }
}

void ShareLink::Advance(base::Instant aNow)
{
  for (auto* slices : { &m_slices, &m_orphans }) {
    for (Slice& slice : *slices) {
      if (slice.m_end <= aNow) {
        m_available -= std::exchange(slice.m_available, base::Tokens());
      }
    }
    std::erase_if(*slices, [aNow](Slice const& aSlice) {
      return aSlice.m_end + kStartLimit <= aNow && aSlice.m_pending == base::Tokens();
    });
  }
  while (!m_sentRequests.empty() && m_sentRequests.front().m_at + kSliceLifetime < aNow) {
    m_sentRequests.pop_front();
  }
}

base::Tokens ShareLink::Take(base::Tokens aTokens, std::vector<ReservationPart>& aParts)
{
  base::Tokens taken;
  for (auto* slices : { &m_orphans, &m_slices }) {
    base::Epoch const epoch = slices == &m_orphans ? m_orphanEpoch : m_epoch;
    for (Slice& slice : *slices) {
      base::Tokens const part = std::min(slice.m_available, aTokens - taken);
      if (part == base::Tokens()) {
        continue;
      }
      slice.m_available -= part;
      slice.m_pending += part;
      taken += part;
      aParts.push_back({ m_share.m_share, epoch, slice.m_number, part });
    }
  }
  m_available -= taken;
  return taken;
}

ShareLink::Slice* ShareLink::Find(base::Epoch aEpoch, GrantNumber aNumber)
{
  auto& slices = aEpoch == m_epoch ? m_slices : m_orphans;
  if (aEpoch != m_epoch && aEpoch != m_orphanEpoch) {
    return nullptr;
  }
  auto const found = std::ranges::find(slices, aNumber, &Slice::m_number);
  return found == slices.end() ? nullptr : &*found;
}

void ShareLink::Spend(ReservationPart const& aPart)
{
  if (Slice* slice = Find(aPart.m_epoch, aPart.m_grant)) {
    slice->m_pending -= aPart.m_tokens;
    slice->m_spent += aPart.m_tokens;
  }
}

void ShareLink::Restore(ReservationPart const& aPart, base::Tokens aTokens)
{
  Slice* slice = Find(aPart.m_epoch, aPart.m_grant);
  if (slice == nullptr) {
    return;
  }
  slice->m_pending -= aTokens;
  slice->m_available += aTokens;
  m_available += aTokens;
}

void ShareLink::Refund(ReservationPart const& aPart, base::Tokens aTokens, base::Instant aSpentAt)
{
  if (aPart.m_epoch != m_epoch) {
    return;
  }
  base::Duration const spentAfter = OwnerTimeNotAfter(aSpentAt);
  if (spentAfter < base::Duration::zero()) {
    return;
  }
  for (RefundEntry& entry : m_refunds) {
    if (entry.m_spentAfter <= spentAfter &&
        spentAfter - entry.m_spentAfter < kRefundMergeInterval) {
      entry.m_tokens += aTokens;
      return;
    }
  }
  m_refunds.push_back({ spentAfter, aTokens });
}

base::Duration ShareLink::OwnerTimeNotAfter(base::Instant aTime) const
{
  // The owner's message took some time to arrive, so the owner's clock was ahead
  // of m_ownerTime at m_ownerTimeReceivedAt. The result is therefore never later
  // than the owner's time at aTime.
  return m_ownerTime + (aTime - m_ownerTimeReceivedAt) - kDriftMargin;
}

void ShareLink::ReturnTokens(base::Tokens aTokens)
{
  base::Tokens left = aTokens;
  for (auto slice = m_slices.rbegin(); slice != m_slices.rend(); ++slice) {
    base::Tokens const part = std::min(slice->m_available, left);
    slice->m_available -= part;
    slice->m_returned += part;
    m_available -= part;
    left -= part;
  }
}

void ShareLink::ReturnExpiringTokens(base::Instant aNow)
{
  for (Slice& slice : m_slices) {
    if (slice.m_end <= aNow + kReturnMargin) {
      slice.m_returned += slice.m_available;
      m_available -= std::exchange(slice.m_available, base::Tokens());
    }
  }
}

bool ShareLink::HasUnreportedChanges() const
{
  bool const hasRefunds = !m_refunds.empty() || !m_sentRefunds.m_entries.empty();
  return hasRefunds || std::ranges::any_of(m_slices, [this](Slice const& aSlice) {
           bool const isReported = aSlice.m_reported == aSlice.m_spent + aSlice.m_returned;
           return !isReported || aSlice.m_reportedIn > m_lastAcknowledged;
         });
}

bool ShareLink::ShouldSendRequest(ShareNeed const& aNeed, base::Instant aNow) const
{
  base::Instant const lastSent =
    m_sentRequests.empty() ? base::Instant::min() : m_sentRequests.back().m_at;
  bool const isFresh = !m_sentRequests.empty();
  if (isFresh && m_lastAcknowledged < m_lastRequest && aNow < lastSent + kTokenRequestTimeout) {
    return false;
  }
  if (aNeed.m_wanted > m_requested.m_wanted || aNeed.m_prefetch > base::Tokens()) {
    return !isFresh ||
           aNow >= lastSent + (m_isQueued ? kQueuedIncreaseInterval : kIncreaseInterval);
  }
  if (aNeed.m_wanted > base::Tokens()) {
    bool const isUnanswered = m_lastAcknowledged < m_lastRequest;
    return isUnanswered || !isFresh || aNow >= lastSent + kTokenRequestLifetime / 2;
  }
  bool const wantsLess = m_isQueued && aNeed.m_wanted == base::Tokens();
  return wantsLess || (HasUnreportedChanges() && (!isFresh || aNow >= lastSent + kReportInterval));
}

TokenRequest ShareLink::MakeRequest(ShareNeed const& aNeed, base::Instant aNow)
{
  m_lastRequest = m_lastRequest.Next();
  m_requested = aNeed;
  m_isQueued = false;
  m_sentRequests.push_back({ m_lastRequest, aNow });
  TokenRequest request{ m_share,          m_holder,        m_epoch,
                        m_lastRequest,    aNeed.m_minimum, aNeed.m_wanted,
                        aNeed.m_prefetch, MakeReports(),   {} };
  FillRefunds(request);
  return request;
}

std::vector<GrantReport> ShareLink::MakeReports()
{
  std::vector<GrantReport> reports;
  for (Slice& slice : m_slices) {
    base::Tokens const total = slice.m_spent + slice.m_returned;
    bool const isAcknowledged =
      slice.m_reported == total && slice.m_reportedIn <= m_lastAcknowledged;
    if (total == base::Tokens() || isAcknowledged) {
      continue;
    }
    slice.m_reported = total;
    slice.m_reportedIn = m_lastRequest;
    reports.push_back({ slice.m_number, slice.m_spent, slice.m_returned });
  }
  return reports;
}

void ShareLink::FillRefunds(TokenRequest& aRequest)
{
  if (m_sentRefunds.m_entries.empty() && !m_refunds.empty()) {
    m_sentRefunds.m_number = m_sentRefunds.m_number.Next();
    std::size_t const count = std::min(m_refunds.size(), kRefundsPerRequest);
    auto const end = m_refunds.begin() + static_cast<std::ptrdiff_t>(count);
    m_sentRefunds.m_entries.assign(m_refunds.begin(), end);
    m_refunds.erase(m_refunds.begin(), end);
  }
  if (!m_sentRefunds.m_entries.empty()) {
    aRequest.m_refunds = m_sentRefunds;
  }
}

bool ShareLink::HasShortage(base::Instant aNow) const
{
  return m_isQueued && m_ownerTimeReceivedAt + kTokenRequestLifetime > aNow;
}

bool ShareLink::IsOwnerUnresponsive(base::Instant aNow) const
{
  return !m_sentRequests.empty() && m_lastAcknowledged < m_lastRequest &&
         m_sentRequests.back().m_at + kTokenRequestTimeout <= aNow;
}

base::Duration ShareLink::ExpectedWait(base::Instant aNow) const
{
  bool const isRecent = m_isQueued && m_ownerTimeReceivedAt + kEstimateLifetime > aNow;
  return isRecent ? m_expectedWait : base::Duration::zero();
}

bool ShareLink::IsIdle() const
{
  return m_slices.empty() && m_orphans.empty() && m_refunds.empty() &&
         m_sentRefunds.m_entries.empty() && m_requested.m_wanted == base::Tokens() &&
         m_sentRequests.empty();
}

} // namespace sardinefold::entry
