#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceMessages.h"

#include <vector>

namespace sardinefold::entry {

/// Number of a reservation within a process, in the order in which they were
/// made.
using ReservationId = base::Ordinal<struct ReservationTag>;

/// Tokens of one reservation that came from one slice.
struct ReservationPart
{
  ShareIndex m_share;
  base::Epoch m_epoch;
  GrantNumber m_grant;
  base::Tokens m_tokens;
};

/// Tokens of one request, from its dispatch until its usage is known.
struct Reservation
{
  base::Tokens m_tokens;
  base::Instant m_dispatched;
  /// Whether the tokens count as spent, because the upstream has received the
  /// request or can no longer receive it.
  bool m_isSpent = false;
  std::vector<ReservationPart> m_parts;
};

} // namespace sardinefold::entry
