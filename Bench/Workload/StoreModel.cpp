#include "Bench/Workload/StoreModel.h"

#include <algorithm>

namespace sardinefold::bench {

namespace {

/// Transfers with fewer remaining bytes are finished; the rest is rounding error.
constexpr double kNegligibleBytes = 100;

} // namespace

void StoreModel::Load(base::Bytes aWeights, std::function<void()> aDone)
{
  double const grown = kLoadsPerSecond * base::ToSeconds(m_events.Now() - m_refilledAt);
  m_availableStarts = std::min(kFullSpeedLoads, m_availableStarts + grown) - 1;
  m_refilledAt = m_events.Now();
  double const delay = std::max(0.0, -m_availableStarts / kLoadsPerSecond);
  m_events.After(base::FromSeconds(delay), [this, aWeights, done = std::move(aDone)] {
    UpdateTransfers();
    m_transfers.push_back({ static_cast<double>(aWeights.Value()), done });
    ScheduleNextEnd();
  });
}

double StoreModel::SpeedPerTransfer() const
{
  double const loads = std::max(static_cast<double>(m_transfers.size()), 1.0);
  return kStoreBytesPerSecond * std::min(1.0, kFullSpeedLoads / loads);
}

void StoreModel::UpdateTransfers()
{
  double const sent = SpeedPerTransfer() * base::ToSeconds(m_events.Now() - m_changedAt);
  for (Transfer& transfer : m_transfers) {
    transfer.m_bytesLeft -= sent;
  }
  m_changedAt = m_events.Now();
}

void StoreModel::ScheduleNextEnd()
{
  ++m_generation;
  if (m_transfers.empty()) {
    return;
  }
  double least = m_transfers.front().m_bytesLeft;
  for (Transfer const& transfer : m_transfers) {
    least = std::min(least, transfer.m_bytesLeft);
  }
  auto const time = base::FromSeconds(std::max(least, 0.0) / SpeedPerTransfer());
  m_events.After(time + base::Duration(1),
                 [this, generation = m_generation] { CompleteFinished(generation); });
}

void StoreModel::CompleteFinished(std::uint64_t aGeneration)
{
  if (aGeneration != m_generation) {
    return;
  }
  UpdateTransfers();
  std::vector<std::function<void()>> ended;
  for (auto transfer = m_transfers.begin(); transfer != m_transfers.end();) {
    if (transfer->m_bytesLeft > kNegligibleBytes) {
      ++transfer;
      continue;
    }
    ended.push_back(std::move(transfer->m_done));
    transfer = m_transfers.erase(transfer);
  }
  ScheduleNextEnd();
  for (auto const& done : ended) {
    done();
  }
}

} // namespace sardinefold::bench
