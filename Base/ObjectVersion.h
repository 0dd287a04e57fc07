#pragma once

#include "Base/Quantity.h"

#include <compare>
#include <cstdint>
#include <ostream>

namespace sardinefold::base {

/// Counts how often the object store came back from a copy that lacked changes it
/// had acknowledged.
using StoreEra = Ordinal<struct StoreEraTag>;

/// The version of an object, or of the store as a whole. A store that comes back
/// from a copy assigns numbers again, so that a number orders versions of one era
/// only; every version of a later era follows all of the earlier ones.
class ObjectVersion
{
public:
  constexpr ObjectVersion() = default;
  /// A version of a store that has only one era.
  constexpr explicit ObjectVersion(std::uint64_t aNumber)
    : m_number(aNumber)
  {
  }
  constexpr ObjectVersion(StoreEra aEra, std::uint64_t aNumber)
    : m_era(aEra)
    , m_number(aNumber)
  {
  }

  constexpr StoreEra Era() const { return m_era; }
  /// The number within the era.
  constexpr std::uint64_t Value() const { return m_number; }
  constexpr ObjectVersion Next() const { return { m_era, m_number + 1 }; }

  friend constexpr bool operator==(ObjectVersion, ObjectVersion) = default;
  friend constexpr auto operator<=>(ObjectVersion, ObjectVersion) = default;
  friend std::ostream& operator<<(std::ostream& aStream, ObjectVersion aVersion)
  {
    if (aVersion.m_era != StoreEra()) {
      aStream << aVersion.m_era << "/";
    }
    return aStream << aVersion.m_number;
  }

private:
  StoreEra m_era;
  std::uint64_t m_number = 0;
};

} // namespace sardinefold::base
