#pragma once

#include "Base/Quantity.h"
#include "Base/Time.h"

#include <cmath>

namespace sardinefold::base {

/// Prompt plus generated tokens of a language model.
using Tokens = Quantity<struct TokensTag>;
/// A size of memory or of a message.
using Bytes = Quantity<struct BytesTag>;
/// Memory of weights, in units of 10^6 bytes.
using Megabytes = Quantity<struct MegabytesTag, double>;
/// A sustained rate of a workspace.
using TokensPerSecond = Quantity<struct TokensPerSecondTag, double>;

/// Number of one upstream's agents over time, given to each order so that an
/// engine can refuse orders of an earlier agent.
using FencingNumber = Ordinal<struct FencingTag>;
/// Number of one bucket's owners over time.
using Epoch = Ordinal<struct EpochTag>;
/// Version of an object in the platform's object API.
using ObjectVersion = Ordinal<struct ObjectVersionTag>;
/// Version of the catalog of routes and services in force.
using CatalogVersion = Ordinal<struct CatalogVersionTag>;
/// Orders that an engine has accepted since its start.
using OrderCount = Ordinal<struct OrderCountTag>;
/// Version of the operator's document in one environment.
using DocumentVersion = Ordinal<struct DocumentVersionTag>;

/// Tokens that a rate yields within a time, rounded down.
inline Tokens operator*(TokensPerSecond aRate, Duration aTime)
{
  return Tokens(static_cast<std::int64_t>(std::floor(aRate.Value() * ToSeconds(aTime))));
}

} // namespace sardinefold::base
