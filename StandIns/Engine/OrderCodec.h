#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Units.h"
#include "StandIns/Engine/EngineMemory.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinefold::standins {

/// An order to an engine.
struct EngineOrder
{
  base::FencingNumber m_fencing;
  ReplicaRecord m_replica;
  /// Whether the order gives the replica's size.
  bool m_hasBytes = false;
  /// "prefill", "decode" or "both"; set in an order to change the role only.
  std::string m_role;
};

/// Decodes an order. The error names the field.
tl::expected<EngineOrder, std::string> ParseOrder(base::HttpRequest const& aRequest);

std::string_view ToText(ReplicaState aState);

} // namespace sardinefold::standins
