#include "Base/Metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace sardinefold::base {

namespace {

prometheus::Histogram::BucketBoundaries SecondsBuckets()
{
  return {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 2, 5, 10, 20, 60, 120
  };
}

prometheus::Histogram::BucketBoundaries TokenBuckets()
{
  return { 16, 64, 256, 1024, 4096, 16384, 65536 };
}

} // namespace

prometheus::Counter& Metrics::Counter(std::string const& aName, std::string const& aHelp,
                                      MetricLabels const& aLabels)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(m_registry).Add(aLabels);
}

prometheus::Gauge& Metrics::Gauge(std::string const& aName, std::string const& aHelp,
                                  MetricLabels const& aLabels)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(m_registry).Add(aLabels);
}

prometheus::Histogram& Metrics::Seconds(std::string const& aName, std::string const& aHelp,
                                        MetricLabels const& aLabels)
{
  auto& family = prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(m_registry);
  return family.Add(aLabels, SecondsBuckets());
}

prometheus::Histogram& Metrics::TokenCounts(std::string const& aName, std::string const& aHelp,
                                            MetricLabels const& aLabels)
{
  auto& family = prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(m_registry);
  return family.Add(aLabels, TokenBuckets());
}

std::string Metrics::Render() const
{
  std::ostringstream text;
  prometheus::TextSerializer const serializer;
  serializer.Serialize(text, m_registry.Collect());
  return text.str();
}

} // namespace sardinefold::base
