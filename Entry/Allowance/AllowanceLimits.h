#pragma once

#include "Base/Time.h"

#include <chrono>

namespace sardinefold::entry {

using namespace std::chrono_literals;

/// Lifetime of a slice on its holder's clock, counted from before the request for
/// it was sent.
inline constexpr base::Duration kSliceLifetime = 2s;
/// Time from a request's dispatch to the last moment at which its upstream may
/// start it.
inline constexpr base::Duration kStartLimit = 250ms;
/// Allows for the difference in speed of two hosts' clocks over a slice's
/// lifetime.
inline constexpr base::Duration kDriftMargin = 50ms;
/// After this time since a grant none of its tokens can reach an upstream.
inline constexpr base::Duration kGrantLifetime = kSliceLifetime + kStartLimit + kDriftMargin;
/// How long a token request waits at an owner. Shorter than a slice's lifetime,
/// so that a slice granted late is still usable for a while.
inline constexpr base::Duration kTokenRequestLifetime = 1s;
/// A holder repeats a token request that got no response within this time.
inline constexpr base::Duration kTokenRequestTimeout = 100ms;
/// Tokens that no request has used for this time are returned to the owner.
inline constexpr base::Duration kIdleTokenTimeout = 400ms;
/// Tokens for expected demand are requested this far ahead.
inline constexpr base::Duration kPrefetchHorizon = 300ms;
/// A process whose event loop stalled for longer re-reads its ownership objects
/// before it grants.
inline constexpr base::Duration kStallLimit = 500ms;
/// Longest time after a dispatch at which unused tokens of its reservation are
/// refunded.
inline constexpr base::Duration kRefundWindow = 64s;

} // namespace sardinefold::entry
