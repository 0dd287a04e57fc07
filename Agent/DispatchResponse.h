#pragma once

#include "Agent/DispatchError.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <cstdint>
#include <optional>

namespace sardinefold::agent {

/// Names a reservation of tokens until it is settled. Zero names none.
using ReservationId = base::Ordinal<struct TokenReservationTag>;

/// Tokens held for one attempt.
struct TokenReservation
{
  ReservationId m_reservation;
  base::Tokens m_tokens;
  /// After which the attempt must not start; none if nothing is held.
  std::optional<base::Instant> m_startBy;
};

/// An upstream runs the request; its answer arrives by the reply.
template<typename Reply>
struct DispatchResponse
{
  base::UpstreamId m_upstream;
  /// Tokens held for the request, settled when its answer has ended.
  ReservationId m_reservation;
  base::Tokens m_reserved;
  Reply m_reply;
};

} // namespace sardinefold::agent
