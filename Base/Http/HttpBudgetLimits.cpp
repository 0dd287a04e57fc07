#include "Base/Http/HttpBudgetLimits.h"

namespace sardinefold::base {

namespace {

constexpr std::int64_t kMemoryShare = 3;
/// Descriptors that the platform reserves for files.
constexpr std::size_t kFileDescriptors = 200;
/// Listeners, signals, and connections to the store and to peers.
constexpr std::size_t kOwnDescriptors = 64;
/// Share of the descriptors that idle connections to upstreams may take.
constexpr std::size_t kIdleUpstreamShare = 4;
/// So that a low limit does not shut everybody out.
constexpr std::size_t kMinimumDescriptors = 16;

} // namespace

HttpBudgetLimits HttpBudgetLimits::Of(Bytes aProcessMemory, std::size_t aProcessDescriptors)
{
  HttpBudgetLimits limits;
  limits.m_memory = Bytes(aProcessMemory.Value() / kMemoryShare);
  auto const reserved =
    kFileDescriptors + kOwnDescriptors + aProcessDescriptors / kIdleUpstreamShare;
  limits.m_descriptors = aProcessDescriptors > reserved + kMinimumDescriptors
                           ? aProcessDescriptors - reserved
                           : kMinimumDescriptors;
  return limits;
}

} // namespace sardinefold::base
