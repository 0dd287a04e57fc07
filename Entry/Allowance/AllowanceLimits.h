#pragma once

#include "Base/Time.h"

#include <chrono>

namespace sardinefold::entry {

using namespace std::chrono_literals;

/// Life of a slice, by its holder's clock from before it asked.
inline constexpr base::Duration kSliceLifetime = 2s;
/// From a dispatch to the last moment at which its upstream may start it.
inline constexpr base::Duration kStartLimit = 250ms;
/// Covers the difference in speed of two hosts' clocks over a slice's life.
inline constexpr base::Duration kDriftMargin = 50ms;
/// After this time since a grant none of its tokens can reach an upstream.
inline constexpr base::Duration kGrantLifetime = kSliceLifetime + kStartLimit + kDriftMargin;
/// How long an ask waits at an owner. Shorter than a slice's life, so that a
/// slice which answers it lives for a while.
inline constexpr base::Duration kTokenRequestLifetime = 1s;
/// A holder repeats an unanswered ask after this time.
inline constexpr base::Duration kTokenRequestTimeout = 100ms;
/// Tokens that no request used for this time go back.
inline constexpr base::Duration kIdleTokenTimeout = 400ms;
/// Expected demand is fetched this far ahead.
inline constexpr base::Duration kPrefetchHorizon = 300ms;
/// A process whose loop stood still for longer re-reads what it owns before
/// it grants.
inline constexpr base::Duration kStallLimit = 500ms;
/// Longest time after its dispatch that an unused reservation is refunded.
inline constexpr base::Duration kRefundWindow = 64s;

} // namespace sardinefold::entry
