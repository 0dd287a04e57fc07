#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::agent {

/// Removes the changes of objects that a later change of the update replaces.
StoreUpdate WithoutSuperseded(StoreUpdate aUpdate);
/// Splits a batch of changes into messages that fit into datagrams.
std::vector<StoreUpdate> SplitStoreUpdate(StoreUpdate const& aUpdate);

/// Reassembles batches from their parts. Only the newest batch of each sender
/// is kept, and none of an earlier era than the newest.
class StoreUpdateAssembler
{
public:
  /// Adds a part. Returns the complete batch once all of its parts have
  /// arrived.
  std::optional<StoreUpdate> Add(StoreUpdate aPart);

private:
  struct BatchId
  {
    std::optional<base::ObjectVersion> m_from;
    base::ObjectVersion m_to;
    unsigned m_parts = 0;
    bool operator==(BatchId const&) const = default;
  };

  struct Batch
  {
    BatchId m_id;
    std::map<unsigned, StoreUpdate> m_parts;
  };

  std::map<base::HostId, Batch> m_batches;
};

} // namespace sardinefold::agent
