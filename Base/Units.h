#pragma once

#include "Base/FencingNumber.h"
#include "Base/ObjectVersion.h"
#include "Base/Quantity.h"
#include "Base/Time.h"

#include <cmath>

namespace sardinefold::base {

/// A number of a language model's tokens, prompt and output together.
using Tokens = Quantity<struct TokensTag>;
/// A size of memory or of a message.
using Bytes = Quantity<struct BytesTag>;
/// A size of model weights, in units of 10^6 bytes.
using Megabytes = Quantity<struct MegabytesTag, double>;
/// The sustained rate that a workspace is allowed.
using TokensPerSecond = Quantity<struct TokensPerSecondTag, double>;
/// A rate of requests, for example the one that an upstream takes.
using RequestsPerSecond = Quantity<struct RequestsPerSecondTag, double>;

/// The epoch of a bucket's owner. Each new owner gets a higher one.
using Epoch = Ordinal<struct EpochTag>;
/// The version of the catalog of routes and services in force.
using CatalogVersion = Ordinal<struct CatalogVersionTag>;
/// The number of orders that an engine has accepted since its start.
using OrderCount = Ordinal<struct OrderCountTag>;
/// The version of the operator's document in one environment.
using DocumentVersion = Ordinal<struct DocumentVersionTag>;

/// Returns the tokens that a rate yields within a time, rounded down.
inline Tokens operator*(TokensPerSecond aRate, Duration aTime)
{
  return Tokens(static_cast<std::int64_t>(std::floor(aRate.Value() * ToSeconds(aTime))));
}

} // namespace sardinefold::base
