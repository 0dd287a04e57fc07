#pragma once

#include "Base/Http/HttpBudgetLimits.h"
#include "Base/Settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <vector>

namespace sardinefold::programs {

inline constexpr char kMemoryFlag[] = "memory-mb";
inline constexpr char kDescriptorsFlag[] = "maximum-descriptors";

/// Returns the settings of what a process may use, for programs without a profile.
inline std::vector<base::SettingSpec> ProcessLimitSettings()
{
  using base::SettingKind;
  return {
    { kMemoryFlag, SettingKind::Count,
      "Memory that the process may use, in MB; a third of it is for callers' connections", "1024" },
    { kDescriptorsFlag, SettingKind::Count,
      "Descriptors that the process may have open; 0 for the operating system's limit", "0" }
  };
}

/// Returns how many descriptors the operating system lets the process open.
inline std::size_t SystemDescriptorLimit()
{
  constexpr rlim_t kMost = 1024UL * 1024;
  rlimit limit{};
  bool const isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return static_cast<std::size_t>(isKnown ? std::min(limit.rlim_cur, kMost) : kMost);
}

inline base::Bytes ReadMemoryLimit(base::Settings const& aSettings)
{
  constexpr std::int64_t kMegabyte = 1024LL * 1024;
  return base::Bytes(aSettings.Count(kMemoryFlag) * kMegabyte);
}

/// Returns the budget of the process's servers by its settings.
inline base::HttpBudgetLimits ReadBudget(base::Settings const& aSettings)
{
  auto const descriptors = static_cast<std::size_t>(aSettings.Count(kDescriptorsFlag));
  return base::HttpBudgetLimits::Of(ReadMemoryLimit(aSettings),
                                    descriptors > 0 ? descriptors : SystemDescriptorLimit());
}

} // namespace sardinefold::programs
