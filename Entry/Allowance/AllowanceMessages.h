#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/ShareKey.h"

#include <vector>

namespace sardinefold::entry {

/// Number of a slice, counted by the owner within a share and epoch.
using GrantNumber = base::Ordinal<struct GrantNumberTag>;
/// Number of a token request, counted by the holder within a share and
/// incarnation.
using TokenRequestNumber = base::Ordinal<struct TokenRequestNumberTag>;
/// Number of a batch of refunds, counted by the holder like its token requests.
using RefundNumber = base::Ordinal<struct RefundNumberTag>;

/// Use of one slice so far. The values are totals, so that a message which
/// arrives twice or late changes nothing.
struct GrantReport
{
  GrantNumber m_grant;
  /// Tokens that upstreams have certainly received or can no longer receive.
  base::Tokens m_spent;
  /// Tokens returned to the owner; the holder has subtracted them already.
  base::Tokens m_returned;
};

/// Tokens of dispatched requests that were reserved and not used.
struct RefundEntry
{
  /// A time on the owner's time scale at which the tokens still counted as
  /// outstanding.
  base::Duration m_spentAfter{};
  base::Tokens m_tokens;
};

/// A numbered batch of refunds; repeated until the owner reports its number as
/// applied.
struct RefundBatch
{
  RefundNumber m_number;
  std::vector<RefundEntry> m_entries;
};

/// A holder's request for tokens to the owner of a share, with reports on earlier
/// slices.
struct TokenRequest
{
  ShareKey m_share;
  HolderKey m_holder;
  /// The owner's epoch that the reports and refunds belong to; 0 if none.
  base::Epoch m_epoch;
  TokenRequestNumber m_number;
  /// The smallest amount that is useful to the first waiting request.
  base::Tokens m_minimum;
  /// The amount that all waiting requests need.
  base::Tokens m_wanted;
  /// Tokens for expected requests; granted only while the share's level is high.
  base::Tokens m_prefetch;
  std::vector<GrantReport> m_reports;
  RefundBatch m_refunds;
};

/// The owner's response; without tokens it only acknowledges. More responses to
/// the same token request may follow while it waits at the owner.
struct TokenGrant
{
  ShareKey m_share;
  HolderKey m_holder;
  base::Epoch m_epoch;
  TokenRequestNumber m_requestNumber;
  GrantNumber m_number;
  base::Tokens m_tokens;
  /// The owner's time at sending, counted from the start of its epoch.
  base::Duration m_ownerTime{};
  RefundNumber m_refundsApplied;
  /// How long a token request that arrives now would wait for tokens.
  base::Duration m_expectedWait{};
};

} // namespace sardinefold::entry
