#include "Agent/ExchangeRegistry.h"

#include <algorithm>

namespace sardinefold::agent {

namespace {

/// How long the record of an exchange is kept after the exchange ended.
constexpr base::Duration kRetention = std::chrono::minutes(2);

} // namespace

ExchangeRegistry::Admission ExchangeRegistry::Begin(ExchangeHead const& aHead, base::Instant aNow)
{
  DiscardExpired(aNow);
  auto const [position, isNew] = m_records.try_emplace(aHead.m_correlation);
  if (!isNew) {
    bool const wasDenied = position->second.m_phase == Phase::Denied;
    return wasDenied ? Admission::Denied : Admission::Duplicate;
  }
  position->second.m_startBy = aHead.m_startBy;
  return Admission::Admitted;
}

bool ExchangeRegistry::Start(base::CorrelationId const& aCorrelation)
{
  auto const found = m_records.find(aCorrelation);
  if (found == m_records.end() || found->second.m_phase != Phase::Waiting) {
    return false;
  }
  found->second.m_phase = Phase::Started;
  return true;
}

void ExchangeRegistry::OnHead(base::CorrelationId const& aCorrelation)
{
  auto const found = m_records.find(aCorrelation);
  if (found != m_records.end()) {
    found->second.m_hasHead = true;
  }
}

void ExchangeRegistry::OnWritten(base::CorrelationId const& aCorrelation, base::Bytes aBytes)
{
  auto const found = m_records.find(aCorrelation);
  if (found != m_records.end()) {
    found->second.m_written += aBytes;
  }
}

void ExchangeRegistry::End(base::CorrelationId const& aCorrelation, base::Instant aNow)
{
  auto const found = m_records.find(aCorrelation);
  if (found == m_records.end() || !found->second.m_isOpen) {
    return;
  }
  found->second.m_isOpen = false;
  // An exchange that ends without having started can no longer start.
  bool const hasRun = found->second.m_phase == Phase::Started;
  found->second.m_phase = hasRun ? Phase::Ended : Phase::Denied;
  RecordClosed(aCorrelation, aNow);
}

ExchangeReport ExchangeRegistry::Query(base::CorrelationId const& aCorrelation, AgentClock aStartBy,
                                       bool aDeny, base::Instant aNow)
{
  ExchangeReport report;
  report.m_incarnation = m_incarnation;
  report.m_clock = ToAgentClock(aNow);
  auto const found = m_records.find(aCorrelation);
  if (found == m_records.end()) {
    if (aStartBy <= m_discardedUpTo) {
      report.m_state = ExchangeState::Expired;
      return report;
    }
    if (!aDeny) {
      return report;
    }
    m_records[aCorrelation] = { Phase::Denied, aStartBy, base::Bytes(), false, false };
    RecordClosed(aCorrelation, aNow);
    report.m_state = ExchangeState::Denied;
    return report;
  }
  auto& record = found->second;
  if (aDeny && record.m_phase == Phase::Waiting) {
    record.m_phase = Phase::Denied;
  }
  report.m_written = record.m_written;
  report.m_hasHead = record.m_hasHead;
  switch (record.m_phase) {
    case Phase::Waiting:
    case Phase::Started:
      report.m_state = ExchangeState::Running;
      break;
    case Phase::Ended:
      report.m_state = ExchangeState::Ended;
      break;
    case Phase::Denied:
      report.m_state = ExchangeState::Denied;
      break;
  }
  return report;
}

void ExchangeRegistry::RecordClosed(base::CorrelationId const& aCorrelation, base::Instant aNow)
{
  m_closed.push_back({ aCorrelation, aNow });
}

void ExchangeRegistry::DiscardExpired(base::Instant aNow)
{
  while (!m_closed.empty() && aNow - m_closed.front().m_at >= kRetention) {
    auto const found = m_records.find(m_closed.front().m_correlation);
    if (found != m_records.end()) {
      if (found->second.m_startBy >= ToAgentClock(aNow)) {
        // The exchange could still be queried, or arrive, in time to start.
        m_closed.push_back({ m_closed.front().m_correlation, aNow });
        m_closed.pop_front();
        continue;
      }
      m_discardedUpTo = std::max(m_discardedUpTo, found->second.m_startBy);
      m_records.erase(found);
    }
    m_closed.pop_front();
  }
}

} // namespace sardinefold::agent
