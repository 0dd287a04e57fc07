#pragma once

#include "Base/Quantity.h"

namespace sardinefold::engine {

/// What a request costs its upstream until it is answered, in units of a usual request of
/// the deployment at an upstream of usual pace.
using RequestWork = base::Quantity<struct RequestWorkTag, double>;

} // namespace sardinefold::engine
