#pragma once

#include "Agent/DispatchError.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <cstdint>
#include <optional>

namespace sardinefold::agent {

/// Identifies a reservation of tokens until it is settled. Zero identifies no
/// reservation.
using ReservationId = base::Ordinal<struct TokenReservationTag>;

/// Tokens of the workspace's allowance that are reserved for one attempt.
struct TokenReservation
{
  ReservationId m_reservation;
  base::Tokens m_tokens;
  /// Time after which the attempt must not start; empty if nothing is reserved.
  std::optional<base::Instant> m_startBy;
};

/// An upstream is running the request. Its response arrives through m_reply.
template<typename Reply>
struct DispatchResponse
{
  base::UpstreamId m_upstream;
  /// Tokens reserved for the request; settled when its response has ended.
  ReservationId m_reservation;
  base::Tokens m_reserved;
  Reply m_reply;
};

} // namespace sardinefold::agent
