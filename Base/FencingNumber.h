#pragma once

#include "Base/ObjectVersion.h"
#include "Base/Quantity.h"

#include <cstdint>
#include <optional>

namespace sardinefold::base {

/// A fencing token: each new agent of an upstream gets a higher number, which its
/// orders carry so that the engine can refuse orders of earlier agents.
using FencingNumber = Ordinal<struct FencingTag>;

/// Layout of the fencing number that is made from the version of a registration:
/// the store's era in the bits above kNumberBits, the number within the era below.
/// Both together fit into an integer that a JSON number holds exactly. The number
/// lasts for 29 years of 300 changes a second, the era for 32,767 restorations.
struct FencingLayout
{
  static constexpr unsigned kTotalBits = 53;
  static constexpr unsigned kNumberBits = 38;
  static constexpr std::uint64_t kNumberEnd = std::uint64_t(1) << kNumberBits;
  static constexpr std::uint64_t kEraEnd = std::uint64_t(1) << (kTotalBits - kNumberBits);
};

/// Returns the fencing number of a registration with this version. Numbers are in
/// the order of versions, over all eras. None if the version exceeds the layout.
constexpr std::optional<FencingNumber> ToFencingNumber(ObjectVersion aVersion)
{
  bool const fits =
    aVersion.Era().Value() < FencingLayout::kEraEnd && aVersion.Value() < FencingLayout::kNumberEnd;
  if (!fits) {
    return std::nullopt;
  }
  return FencingNumber((aVersion.Era().Value() << FencingLayout::kNumberBits) + aVersion.Value());
}

} // namespace sardinefold::base
