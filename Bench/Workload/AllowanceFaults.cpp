#include "Bench/Workload/AllowanceFleetParts.h"
#include "Entry/Allowance/AllowanceLimits.h"

#include <algorithm>

namespace sardinefold::bench {

namespace {

constexpr base::Duration kListInterval = 1s;
constexpr base::Duration kPlatformDelay = 5ms;
/// Time from a change of the hosts until the platform's list contains it.
constexpr base::Duration kMinimumListLag = 2s;
constexpr base::Duration kMaximumListLag = 5s;
/// Time from a host's failure to the start of its replacement.
constexpr base::Duration kReplacementTime = 3s;
constexpr base::Duration kMaximumPause = 3s;
/// Longest time from an update of an object until all processes have received
/// it.
constexpr base::Duration kMaximumUpdateDelay = 1s;
/// Time after which an accepted configuration is in force in all processes.
constexpr base::Duration kConfigurationDelay = 4s;

} // namespace

bool AllowanceFleet::IsPlatformDown() const
{
  return m_scenario.m_platformOutage && m_now >= m_warmUp &&
         m_scenario.m_platformOutage->Contains(m_now);
}

void AllowanceFleet::PublishList()
{
  m_list.clear();
  for (auto const& process : m_processes) {
    if (process->m_isAlive) {
      auto const domain = "domain-" + std::to_string(process->m_domain);
      m_list.push_back(
        { process->m_key.m_host, base::FailureDomainId::FromValidated(domain), false });
    }
  }
}

void AllowanceFleet::ReadList(Process& aProcess)
{
  RunOnProcess(aProcess.m_index, aProcess.m_incarnation, [this](Process& aSelf) {
    if (!IsPlatformDown()) {
      aSelf.m_plan.SetEntries(m_list, aSelf.Clock(m_now));
    }
    After(kListInterval, [this, index = aSelf.m_index] { ReadList(*m_processes[index]); });
  });
}

void AllowanceFleet::TryClaims(Process& aProcess)
{
  if (aProcess.m_nextClaims > m_now || IsPlatformDown()) {
    return;
  }
  aProcess.m_nextClaims = m_now + 250ms;
  for (entry::OwnershipClaim const& claim : aProcess.m_plan.Claims(aProcess.Clock(m_now))) {
    ++m_platformCalls;
    base::Duration const startedAt = m_now;
    After(kPlatformDelay, [this, claim, startedAt, index = aProcess.m_index,
                           incarnation = aProcess.m_incarnation] {
      bool const isWritten = ApplyClaim(claim);
      After(kPlatformDelay, [this, claim, startedAt, index, incarnation, isWritten] {
        RunOnProcess(index, incarnation, [this, claim, startedAt, isWritten](Process& aSelf) {
          aSelf.m_plan.SetRecord(claim.m_slot, m_store.at(claim.m_slot), aSelf.Clock(m_now));
          if (isWritten) {
            entry::OwnedSlot owned{
              claim.m_slot, claim.m_record.m_epoch, claim.m_record.m_epoch > base::Epoch(1), {}
            };
            aSelf.m_node.TakeOwnership(std::move(owned), aSelf.Clock(startedAt),
                                       aSelf.Clock(m_now));
          }
        });
      });
    });
  }
}

bool AllowanceFleet::ApplyClaim(entry::OwnershipClaim const& aClaim)
{
  auto const stored = m_store.find(aClaim.m_slot);
  bool const matches = stored == m_store.end() ? !aClaim.m_expected.has_value()
                                               : aClaim.m_expected == stored->second.m_version;
  if (!matches || IsPlatformDown()) {
    return false;
  }
  m_storeVersion = m_storeVersion.Next();
  m_store[aClaim.m_slot] = { aClaim.m_record, m_storeVersion };
  Announce(aClaim.m_slot);
  return true;
}

void AllowanceFleet::Announce(entry::ShareSlot aSlot)
{
  entry::StoredBucket const stored = m_store.at(aSlot);
  for (auto const& process : m_processes) {
    After(RandomTime(0s, kMaximumUpdateDelay),
          [this, aSlot, stored, index = process->m_index, incarnation = process->m_incarnation] {
            RunOnProcess(index, incarnation, [this, aSlot, stored](Process& aSelf) {
              entry::BucketRecord const& record = stored.m_record;
              aSelf.m_plan.SetRecord(aSlot, stored, aSelf.Clock(m_now));
              aSelf.m_node.SetOwner(aSlot, record.m_owner.m_host, record.m_epoch);
            });
          });
  }
}

void AllowanceFleet::ReadBack(Process& aProcess)
{
  if (IsPlatformDown() || aProcess.m_nextReadBack > m_now) {
    return;
  }
  aProcess.m_nextReadBack = m_now + 250ms;
  for (entry::ShareSlot const slot : aProcess.m_node.UnconfirmedSlots()) {
    ++m_platformCalls;
    base::Duration const startedAt = m_now;
    After(2 * kPlatformDelay,
          [this, slot, startedAt, index = aProcess.m_index, incarnation = aProcess.m_incarnation] {
            RunOnProcess(index, incarnation, [this, slot, startedAt](Process& aSelf) {
              entry::BucketRecord const& record = m_store.at(slot).m_record;
              if (record.m_owner == aSelf.m_key) {
                aSelf.m_node.ConfirmOwnership(slot, record.m_epoch, aSelf.Clock(startedAt),
                                              aSelf.Clock(m_now));
                return;
              }
              aSelf.m_node.SetOwner(slot, record.m_owner.m_host, record.m_epoch);
            });
          });
  }
}

void AllowanceFleet::ScheduleFaults()
{
  if (m_scenario.m_crashInterval) {
    After(*m_scenario.m_crashInterval / 2, [this] { KillRandomEntry(); });
  }
  if (m_scenario.m_pauseInterval) {
    After(*m_scenario.m_pauseInterval / 2, [this] { PauseRandomEntry(); });
  }
  for (AllowanceChange const& change : m_scenario.m_changes) {
    After(change.m_at, [this, change] { ApplyChange(change); });
  }
}

void AllowanceFleet::KillRandomEntry()
{
  Process& victim = *m_processes[PickProcess()];
  victim.m_isAlive = false;
  ++victim.m_incarnation;
  for (auto const& [id, request] : victim.m_requests) {
    if (!request->m_isDispatched) {
      RecordLost(*request);
    }
  }
  victim.m_requests.clear();
  After(RandomTime(kMinimumListLag, kMaximumListLag), [this] { PublishList(); });
  After(kReplacementTime, [this, domain = victim.m_domain] {
    StartProcess("entry-" + std::to_string(m_hostsStarted++), domain);
    After(RandomTime(kMinimumListLag, kMaximumListLag), [this] { PublishList(); });
  });
  After(*m_scenario.m_crashInterval, [this] { KillRandomEntry(); });
}

void AllowanceFleet::PauseRandomEntry()
{
  m_processes[PickProcess()]->m_pausedUntil = m_now + RandomTime(0s, kMaximumPause);
  After(*m_scenario.m_pauseInterval, [this] { PauseRandomEntry(); });
}

void AllowanceFleet::ApplyChange(AllowanceChange const& aChange)
{
  Workspace& workspace = m_workspaces[aChange.m_workspace];
  workspace.m_load.m_allowance = aChange.m_allowance;
  // A higher rate applies from the time at which the first process may know it,
  // a lower one from that at which the last must know it.
  bool const isRaise = workspace.m_rate < aChange.m_allowance.m_rate.Value();
  workspace.m_rate = aChange.m_allowance.m_rate.Value();
  After(isRaise ? 0s : kMaximumUpdateDelay, [this, aChange] {
    base::Instant const now(m_now);
    m_workspaces[aChange.m_workspace].m_checker.SetAllowance(
      aChange.m_allowance, now, now + kConfigurationDelay + entry::kGrantLifetime);
  });
  workspace.m_oracle.SetAllowance(aChange.m_allowance, base::Instant(m_now));
  for (auto const& process : m_processes) {
    After(RandomTime(0s, kMaximumUpdateDelay),
          [this, aChange, index = process->m_index, incarnation = process->m_incarnation] {
            RunOnProcess(index, incarnation, [this, aChange](Process& aSelf) {
              aSelf.m_node.SetWorkspace(m_workspaces[aChange.m_workspace].m_load.m_id,
                                        aChange.m_allowance, aSelf.Clock(m_now));
            });
          });
  }
}

} // namespace sardinefold::bench
