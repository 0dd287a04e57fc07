#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"

#include <cstddef>
#include <vector>

namespace sardinefold::agent {

/// Returns the loaders that keep the origin of the stream that the request began, the
/// first ones in an order that all processes compute alike. A loader that comes or goes
/// moves few streams to others.
std::vector<base::Endpoint> StreamOriginHolders(std::vector<base::Endpoint> const& aLoaders,
                                                base::RequestId const& aRequest,
                                                std::size_t aCount);

} // namespace sardinefold::agent
