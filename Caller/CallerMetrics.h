#pragma once

#include "Base/Identifiers.h"
#include "Base/Metrics.h"
#include "Base/Units.h"
#include "Caller/Refusal.h"
#include "Operator/Document.h"

#include <map>
#include <utility>

namespace sardinefold::caller {

/// Metrics of the entry about callers' requests, by workspace and class.
class CallerMetrics
{
public:
  explicit CallerMetrics(base::Metrics& aMetrics)
    : m_metrics(aMetrics)
  {
  }

  void RecordRefused(base::WorkspaceId const& aWorkspace, operators::RequestClass aClass,
                     RefusalCode aCode);
  /// aTime is measured from the request's arrival.
  void RecordFirstByte(base::WorkspaceId const& aWorkspace, operators::RequestClass aClass,
                       base::Duration aTime);
  void RecordServed(base::WorkspaceId const& aWorkspace, operators::RequestClass aClass,
                    base::Duration aTime, base::Tokens aTokens, bool aIsComplete);

private:
  using Series = std::pair<base::WorkspaceId, operators::RequestClass>;

  struct Handles
  {
    prometheus::Histogram* m_firstByte;
    prometheus::Histogram* m_requestTime;
    prometheus::Histogram* m_tokens;
    prometheus::Counter* m_served;
    prometheus::Counter* m_aborted;
  };

  Handles& HandlesOf(base::WorkspaceId const& aWorkspace, operators::RequestClass aClass);

  base::Metrics& m_metrics;
  std::map<Series, Handles> m_handles;
};

} // namespace sardinefold::caller
