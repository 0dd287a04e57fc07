#pragma once

#include "Base/Time.h"

#include <optional>

namespace sardinefold::engine {

/// The number of processes to share an upstream's warm-up rate with. Reports may miss
/// processes that are isolated or have just started, so the highest one counts.
class WarmUpFleetSize
{
public:
  /// The least number assumed: processes that count only themselves may each be one of
  /// several.
  static constexpr unsigned kLeast = 4;
  /// Time after the first report in which the number is not relied on. Processes
  /// announce themselves once a second, and single messages are lost.
  static constexpr base::Duration kSettleTime = std::chrono::seconds(3);
  /// A report counts for at least this long, and for at most twice as long.
  static constexpr base::Duration kMemory = std::chrono::minutes(10);

  void OnReport(unsigned aProcesses, base::Instant aNow);
  unsigned Size() const;
  /// When the number can be relied on; nothing before the first report.
  std::optional<base::Instant> SettlesAt() const;
  bool IsSettled(base::Instant aNow) const { return SettlesAt() && aNow >= *SettlesAt(); }

private:
  std::optional<base::Instant> m_firstAt;
  base::Instant m_periodStart{};
  unsigned m_highest = 0;
  unsigned m_highestBefore = 0;
};

} // namespace sardinefold::engine
