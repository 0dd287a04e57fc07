#pragma once

#include "Base/Identifiers.h"
#include "Base/ObjectVersion.h"

#include <set>

namespace sardinefold::entry {

/// The failure domains that the object store names as evacuated, as of a version of
/// the store.
struct EvacuationState
{
  base::ObjectVersion m_version;
  std::set<base::FailureDomainId> m_domains;

  friend bool operator==(EvacuationState const&, EvacuationState const&) = default;
};

} // namespace sardinefold::entry
