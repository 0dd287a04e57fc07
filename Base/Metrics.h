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

/// The metrics of one process, in Prometheus's terms. A metric is created at
/// its first use and lives as long as the registry.
class Metrics
{
public:
  /// Names follow Prometheus's rules, units included: "..._total", "..._seconds".
  prometheus::Counter& Counter(std::string const& aName, std::string const& aHelp,
                               MetricLabels const& aLabels = {});
  prometheus::Gauge& Gauge(std::string const& aName, std::string const& aHelp,
                           MetricLabels const& aLabels = {});
  /// A histogram of seconds, from 1 ms to 2 minutes.
  prometheus::Histogram& Seconds(std::string const& aName, std::string const& aHelp,
                                 MetricLabels const& aLabels = {});
  /// A histogram of token counts.
  prometheus::Histogram& TokenCounts(std::string const& aName, std::string const& aHelp,
                                     MetricLabels const& aLabels = {});

  /// All metrics in Prometheus's text format.
  std::string Render() const;

private:
  prometheus::Registry m_registry;
};

inline void Observe(prometheus::Histogram& aHistogram, Duration aTime)
{
  aHistogram.Observe(ToSeconds(aTime));
}

} // namespace sardinefold::base
