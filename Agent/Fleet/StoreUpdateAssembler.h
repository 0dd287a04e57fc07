#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::agent {

/// Splits a batch of changes into messages that fit into datagrams.
std::vector<StoreUpdate> SplitStoreUpdate(StoreUpdate const& aUpdate);

/// Reassembles batches from their parts. Only the newest batch of each sender
/// is kept.
class StoreUpdateAssembler
{
public:
  /// Adds a part. Returns the complete batch once all of its parts have
  /// arrived.
  std::optional<StoreUpdate> Add(StoreUpdate aPart);

private:
  struct Batch
  {
    base::ObjectVersion m_from;
    base::ObjectVersion m_to;
    std::map<unsigned, StoreUpdate> m_parts;
  };

  std::map<base::HostId, Batch> m_batches;
};

} // namespace sardinefold::agent
