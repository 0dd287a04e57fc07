#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/ShareKey.h"

#include <vector>

namespace sardinefold::entry {

/// Number of a slice, counted by the owner within a share and epoch.
using GrantNumber = base::Ordinal<struct GrantNumberTag>;
/// Number of an ask, counted by the holder within a share and incarnation.
using TokenRequestNumber = base::Ordinal<struct TokenRequestNumberTag>;
/// Number of a batch of refunds, counted by the holder like its asks.
using RefundNumber = base::Ordinal<struct RefundNumberTag>;

/// What became of one slice so far. Totals, so that a message which arrives
/// twice or late changes nothing.
struct GrantReport
{
  GrantNumber m_grant;
  /// Tokens that upstreams have certainly received or never will.
  base::Tokens m_spent;
  /// Tokens given back; the holder has subtracted them already.
  base::Tokens m_returned;
};

/// Tokens of dispatched requests that were reserved and not used.
struct RefundEntry
{
  /// A time on the owner's scale at which the tokens still counted as
  /// outstanding.
  base::Duration m_spentAfter{};
  base::Tokens m_tokens;
};

/// Refunds of one number; repeated until the owner names the number as applied.
struct RefundBatch
{
  RefundNumber m_number;
  std::vector<RefundEntry> m_entries;
};

/// A holder asks the owner of a share for tokens and reports on earlier ones.
struct TokenRequest
{
  ShareKey m_share;
  HolderKey m_holder;
  /// The owner's epoch that the reports and refunds belong to; 0 if none.
  base::Epoch m_epoch;
  TokenRequestNumber m_number;
  /// The smallest amount that helps the first waiting request.
  base::Tokens m_minimum;
  /// For all waiting requests.
  base::Tokens m_wanted;
  /// For requests that are expected; given only out of plenty.
  base::Tokens m_prefetch;
  std::vector<GrantReport> m_reports;
  RefundBatch m_refunds;
};

/// The owner's answer; without tokens it only acknowledges. More answers to
/// the same ask may follow while it waits at the owner.
struct TokenGrant
{
  ShareKey m_share;
  HolderKey m_holder;
  base::Epoch m_epoch;
  TokenRequestNumber m_requestNumber;
  GrantNumber m_number;
  base::Tokens m_tokens;
  /// The owner's time scale at sending, counted from its epoch's start.
  base::Duration m_ownerTime{};
  RefundNumber m_refundsApplied;
  /// How long an ask that arrives now would wait for tokens.
  base::Duration m_expectedWait{};
};

} // namespace sardinefold::entry
