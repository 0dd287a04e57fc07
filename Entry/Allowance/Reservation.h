#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceMessages.h"

#include <vector>

namespace sardinefold::entry {

/// One reservation of one process, in the order of asking.
using ReservationId = base::Ordinal<struct ReservationTag>;

/// Tokens of one reservation that came from one slice.
struct ReservationPart
{
  ShareIndex m_share;
  base::Epoch m_epoch;
  GrantNumber m_grant;
  base::Tokens m_tokens;
};

/// Tokens of one request, from its dispatch until its use is known.
struct Reservation
{
  base::Tokens m_tokens;
  base::Instant m_dispatched;
  /// Whether the tokens count as spent, since the request has been received or
  /// can be no longer.
  bool m_isSpent = false;
  std::vector<ReservationPart> m_parts;
};

} // namespace sardinefold::entry
