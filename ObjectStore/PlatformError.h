#pragma once

#include "Base/Time.h"

#include <string>
#include <string_view>

namespace sardinefold::objectstore {

/// Why a read or a watch returned nothing.
struct ReadError
{
  enum class Kind
  {
    NotFound,
    /// The platform could not be reached or did not respond in time.
    Unavailable,
    /// The platform's rate is exceeded.
    Throttled,
    /// The process's own share of the platform's rate is used up; nothing was
    /// sent.
    OverBudget,
    /// Too many recent calls failed; nothing was sent.
    CircuitOpen,
    /// The platform no longer has the changes since the given version; list again.
    Compacted,
    Malformed
  };

  Kind m_kind = Kind::Unavailable;
  std::string m_detail;
};

/// Why a write is not known to have been applied. Only Unknown and Superseded
/// leave open whether it was applied.
struct WriteError
{
  enum class Kind
  {
    /// The object has another version; the write was not applied.
    Conflict,
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied, or may still be.
    Unknown,
    /// The object now has another writer's value; the write may have been applied
    /// before it.
    Superseded,
    TooLarge,
    /// The platform's rate is exceeded; not applied.
    Throttled,
    /// The process's own share of the platform's rate is used up; not sent.
    OverBudget,
    /// Too many recent calls failed; not sent.
    CircuitOpen
  };

  Kind m_kind = Kind::Unknown;
  std::string m_detail;
};

std::string_view ToText(ReadError::Kind aKind);
std::string_view ToText(WriteError::Kind aKind);

/// Whether the error proves that the write had and will have no effect.
constexpr bool IsCertainlyNotApplied(WriteError::Kind aKind)
{
  return aKind != WriteError::Kind::Unknown && aKind != WriteError::Kind::Superseded;
}

/// Whether the failure indicates an outage of the platform.
constexpr bool IndicatesOutage(ReadError::Kind aKind)
{
  return aKind == ReadError::Kind::Unavailable;
}

} // namespace sardinefold::objectstore
