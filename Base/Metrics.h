#pragma once

#include "Base/Time.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace sardinefold::base {

using MetricLabels = std::map<std::string, std::string>;

/// The Prometheus metrics of one process. A metric is created when it is first
/// requested and lives as long as the registry.
class Metrics
{
public:
  /// Names follow the Prometheus naming rules, with units, such as "..._total" and
  /// "..._seconds".
  prometheus::Counter& Counter(std::string const& aName, std::string const& aHelp,
                               MetricLabels const& aLabels = {});
  prometheus::Gauge& Gauge(std::string const& aName, std::string const& aHelp,
                           MetricLabels const& aLabels = {});
  /// Returns a histogram of durations in seconds, with buckets from 1 ms to 2 min.
  prometheus::Histogram& Seconds(std::string const& aName, std::string const& aHelp,
                                 MetricLabels const& aLabels = {});
  /// Returns a histogram of token counts, with buckets from 16 to 65,536.
  prometheus::Histogram& TokenCounts(std::string const& aName, std::string const& aHelp,
                                     MetricLabels const& aLabels = {});

  /// Renders all metrics in the Prometheus text format.
  std::string Render() const;

private:
  prometheus::Registry m_registry;
};

inline void Observe(prometheus::Histogram& aHistogram, Duration aTime)
{
  aHistogram.Observe(ToSeconds(aTime));
}

} // namespace sardinefold::base
