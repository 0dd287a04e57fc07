#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace sardinefold::objectstore {

/// What a call to the platform is for, the most important first.
enum class CallPurpose
{
  /// Claims of requests that may not be repeated, which are refused without one.
  Claim,
  /// Fencing numbers, without which an agent accepts no work.
  Fencing,
  Allowance,
  Configuration,
  Placement,
  Membership,
  /// Calls that may wait, such as clean-up.
  Status
};

inline constexpr std::array kCallPurposes = { CallPurpose::Claim,     CallPurpose::Fencing,
                                              CallPurpose::Allowance, CallPurpose::Configuration,
                                              CallPurpose::Placement, CallPurpose::Membership,
                                              CallPurpose::Status };

constexpr std::size_t IndexOf(CallPurpose aPurpose)
{
  return static_cast<std::size_t>(aPurpose);
}

std::string_view ToText(CallPurpose aPurpose);

/// Whether a call spends the platform's write rate or its read rate; a watch
/// counts as one read.
enum class CallKind
{
  Read,
  Write
};

} // namespace sardinefold::objectstore
