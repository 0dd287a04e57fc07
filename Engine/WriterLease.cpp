#include "Engine/WriterLease.h"

#include <algorithm>

namespace sardinefold::engine {

void WriterLease::Acquire(base::FencingNumber aNumber, base::Instant aRequestedAt,
                          base::Instant aNow)
{
  if (m_isLost || (m_number && aNumber <= *m_number)) {
    return;
  }
  m_number = aNumber;
  m_end = aRequestedAt + m_limits.m_duration;
  if (m_support == FencingSupport::Checked) {
    m_earliestOrder.reset();
    return;
  }
  // The predecessor may send orders until its last proof expires, and the last
  // order may run for its time bound. Its proof is older than this update.
  bool const isFirst = aNumber == base::FencingNumber(1);
  m_earliestOrder = isFirst ? aNow : aNow + m_limits.m_duration + m_limits.m_orderBound;
}

void WriterLease::Renew(base::FencingNumber aNumberInForce, base::Instant aRequestedAt)
{
  if (!m_number) {
    return;
  }
  if (aNumberInForce != *m_number) {
    m_isLost = true;
    return;
  }
  m_end = std::max(m_end, aRequestedAt + m_limits.m_duration);
}

void WriterLease::RenewBySlot(base::Instant aNow)
{
  if (m_number) {
    m_end = std::max(m_end, aNow + m_limits.m_duration);
  }
}

void WriterLease::ConfirmFence(base::Instant aNow)
{
  if (MustRaiseFence()) {
    m_earliestOrder = aNow;
  }
}

bool WriterLease::MustRaiseFence() const
{
  return m_support == FencingSupport::Checked && m_number && !m_isLost && !m_earliestOrder;
}

bool WriterLease::MayOrder(base::Instant aNow) const
{
  if (m_isLost || !m_number || !m_earliestOrder || aNow < *m_earliestOrder) {
    return false;
  }
  return m_support == FencingSupport::Checked || aNow < m_end;
}

} // namespace sardinefold::engine
