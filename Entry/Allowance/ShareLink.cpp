#include "Entry/Allowance/ShareLink.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Reports that nothing else carries wait this long for company.
constexpr base::Duration kReportInterval = 1s;
/// Unused tokens go back this long before they end.
constexpr base::Duration kReturnBeforeEnd = 400ms;
/// An ask that has to grow waits this long for further requests.
constexpr base::Duration kGrowInterval = 20ms;
/// So does one that already waits at its owner.
constexpr base::Duration kGrowQueuedInterval = 250ms;
/// An owner's estimate holds this long.
constexpr base::Duration kEstimateLife = 500ms;
/// Refund entries closer than this are merged into the earlier one.
constexpr base::Duration kRefundMerge = 250ms;
/// Refunds beyond this number in one message wait for the next.
constexpr std::size_t kRefundsPerAsk = 32;

} // namespace

ShareLink::ShareLink(ShareKey aShare, HolderKey aHolder, AskNumber aLastNumber)
  : m_share(std::move(aShare))
  , m_holder(std::move(aHolder))
  , m_lastAsk(aLastNumber)
  , m_lastAnswered(aLastNumber)
{
  m_sentRefunds.m_number = RefundNumber(aLastNumber.Value());
}

void ShareLink::Receive(TokenGrant const& aGrant, base::Instant aNow)
{
  if (aGrant.m_holder != m_holder || aGrant.m_epoch < m_epoch) {
    return;
  }
  auto const asked = std::ranges::find(m_asks, aGrant.m_answers, &SentAsk::m_number);
  if (asked == m_asks.end()) {
    return;
  }
  Follow(aGrant, aNow);
  m_lastAnswered = std::max(m_lastAnswered, aGrant.m_answers);
  if (aGrant.m_refundsApplied >= m_sentRefunds.m_number) {
    m_sentRefunds.m_entries.clear();
  }
  if (aGrant.m_tokens <= base::Tokens()) {
    return;
  }
  base::Instant const end = asked->m_at + kSliceLife;
  if (end <= aNow || Find(aGrant.m_epoch, aGrant.m_number) != nullptr) {
    return;
  }
  m_slices.push_back({ aGrant.m_number, aGrant.m_tokens, {}, {}, {}, {}, {}, end });
  m_available += aGrant.m_tokens;
  if (aGrant.m_tokens >= m_asked.m_want) {
    m_asked.m_want = base::Tokens();
    m_isQueued = false;
    return;
  }
  m_asked.m_want -= aGrant.m_tokens;
}

void ShareLink::Follow(TokenGrant const& aGrant, base::Instant aNow)
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
    m_ownerHeard = aNow;
    m_expectedWait = aGrant.m_expectedWait;
  }
  if (aGrant.m_answers == m_lastAsk && aGrant.m_tokens < m_asked.m_want) {
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
  while (!m_asks.empty() && m_asks.front().m_at + kSliceLife < aNow) {
    m_asks.pop_front();
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
    if (entry.m_spentAfter <= spentAfter && spentAfter - entry.m_spentAfter < kRefundMerge) {
      entry.m_tokens += aTokens;
      return;
    }
  }
  m_refunds.push_back({ spentAfter, aTokens });
}

base::Duration ShareLink::OwnerTimeNotAfter(base::Instant aTime) const
{
  // The owner's message took some time to arrive, so that the owner's clock
  // was ahead of this at m_ownerHeard, and by the same amount at other times.
  return m_ownerTime + (aTime - m_ownerHeard) - kDriftMargin;
}

void ShareLink::GiveBack(base::Tokens aTokens)
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

void ShareLink::GiveBackEnding(base::Instant aNow)
{
  for (Slice& slice : m_slices) {
    if (slice.m_end <= aNow + kReturnBeforeEnd) {
      slice.m_returned += slice.m_available;
      m_available -= std::exchange(slice.m_available, base::Tokens());
    }
  }
}

bool ShareLink::HasNews() const
{
  bool const hasRefunds = !m_refunds.empty() || !m_sentRefunds.m_entries.empty();
  return hasRefunds || std::ranges::any_of(m_slices, [this](Slice const& aSlice) {
           bool const isTold = aSlice.m_told == aSlice.m_spent + aSlice.m_returned;
           return !isTold || aSlice.m_toldIn > m_lastAnswered;
         });
}

bool ShareLink::ShouldAsk(ShareNeed const& aNeed, base::Instant aNow) const
{
  base::Instant const lastAsk = m_asks.empty() ? base::Instant::min() : m_asks.back().m_at;
  bool const isFresh = !m_asks.empty();
  if (isFresh && m_lastAnswered < m_lastAsk && aNow < lastAsk + kAskTimeout) {
    return false;
  }
  if (aNeed.m_want > m_asked.m_want || aNeed.m_prefetch > base::Tokens()) {
    return !isFresh || aNow >= lastAsk + (m_isQueued ? kGrowQueuedInterval : kGrowInterval);
  }
  if (aNeed.m_want > base::Tokens()) {
    bool const isUnanswered = m_lastAnswered < m_lastAsk;
    return isUnanswered || !isFresh || aNow >= lastAsk + kAskLife / 2;
  }
  bool const wantsLess = m_isQueued && aNeed.m_want == base::Tokens();
  return wantsLess || (HasNews() && (!isFresh || aNow >= lastAsk + kReportInterval));
}

TokenAsk ShareLink::MakeAsk(ShareNeed const& aNeed, base::Instant aNow)
{
  m_lastAsk = m_lastAsk.Next();
  m_asked = aNeed;
  m_isQueued = false;
  m_asks.push_back({ m_lastAsk, aNow });
  TokenAsk ask{ m_share,      m_holder,         m_epoch,       m_lastAsk, aNeed.m_first,
                aNeed.m_want, aNeed.m_prefetch, MakeReports(), {} };
  FillRefunds(ask);
  return ask;
}

std::vector<GrantReport> ShareLink::MakeReports()
{
  std::vector<GrantReport> reports;
  for (Slice& slice : m_slices) {
    base::Tokens const total = slice.m_spent + slice.m_returned;
    bool const isHeard = slice.m_told == total && slice.m_toldIn <= m_lastAnswered;
    if (total == base::Tokens() || isHeard) {
      continue;
    }
    slice.m_told = total;
    slice.m_toldIn = m_lastAsk;
    reports.push_back({ slice.m_number, slice.m_spent, slice.m_returned });
  }
  return reports;
}

void ShareLink::FillRefunds(TokenAsk& aAsk)
{
  if (m_sentRefunds.m_entries.empty() && !m_refunds.empty()) {
    m_sentRefunds.m_number = m_sentRefunds.m_number.Next();
    std::size_t const count = std::min(m_refunds.size(), kRefundsPerAsk);
    auto const end = m_refunds.begin() + static_cast<std::ptrdiff_t>(count);
    m_sentRefunds.m_entries.assign(m_refunds.begin(), end);
    m_refunds.erase(m_refunds.begin(), end);
  }
  if (!m_sentRefunds.m_entries.empty()) {
    aAsk.m_refunds = m_sentRefunds;
  }
}

bool ShareLink::IsShort(base::Instant aNow) const
{
  return m_isQueued && m_ownerHeard + kAskLife > aNow;
}

bool ShareLink::IsSilent(base::Instant aNow) const
{
  return !m_asks.empty() && m_lastAnswered < m_lastAsk && m_asks.back().m_at + kAskTimeout <= aNow;
}

base::Duration ShareLink::ExpectedWait(base::Instant aNow) const
{
  bool const isRecent = m_isQueued && m_ownerHeard + kEstimateLife > aNow;
  return isRecent ? m_expectedWait : base::Duration::zero();
}

bool ShareLink::IsIdle() const
{
  return m_slices.empty() && m_orphans.empty() && m_refunds.empty() &&
         m_sentRefunds.m_entries.empty() && m_asked.m_want == base::Tokens() && m_asks.empty();
}

} // namespace sardinefold::entry
