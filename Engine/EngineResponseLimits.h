#pragma once

#include "Base/Units.h"

namespace sardinefold::engine {

/// Largest status report that is read from an engine. Parsed, it may take fifty times as
/// much memory.
inline constexpr base::Bytes kMaximumReportBytes{ 256 * 1024 };

} // namespace sardinefold::engine
