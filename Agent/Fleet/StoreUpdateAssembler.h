#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::agent {

/// Cuts a batch of update into messages that fit into datagrams.
std::vector<StoreUpdate> SplitStoreUpdate(StoreUpdate const& aUpdate);

/// Puts the parts of a batch together again. Of each sender only the newest
/// batch is kept.
class StoreUpdateAssembler
{
public:
  /// The whole batch once its last part has come.
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
