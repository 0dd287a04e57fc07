#pragma once

#include "Bench/Workload/AllowanceChecker.h"
#include "Bench/Workload/AllowanceScenario.h"
#include "Bench/Workload/OracleBucket.h"
#include "Entry/Allowance/AllowanceNode.h"
#include "Entry/Allowance/OwnershipPlan.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace sardinefold::bench {

/// Simulates the allowance decisions of a whole fleet in virtual time, with
/// callers, network, platform and faults derived from a seed.
class AllowanceFleet
{
public:
  explicit AllowanceFleet(AllowanceScenario aScenario);
  ~AllowanceFleet();

  AllowanceResult Run();

private:
  struct Request;
  struct Process;
  struct Workspace;
  using Step = std::function<void()>;
  struct Event
  {
    base::Duration m_at;
    std::uint64_t m_order;
    Step m_step;
    bool operator<(Event const& aOther) const
    {
      return std::pair(m_at, m_order) > std::pair(aOther.m_at, aOther.m_order);
    }
  };

  void At(base::Duration aTime, Step aStep);
  void After(base::Duration aDelay, Step aStep) { At(m_now + aDelay, std::move(aStep)); }
  double Random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
  base::Duration RandomTime(base::Duration aFrom, base::Duration aTo);
  bool Chance(int aPerMille) { return aPerMille > 0 && Random() * 1000 < aPerMille; }

  std::size_t StartProcess(std::string const& aHost, std::size_t aDomain);
  void ScheduleArrivals();
  void ScheduleFaults();
  void ScheduleNextArrival(std::size_t aWorkspace);
  void OnArrival(std::size_t aWorkspace);
  void Attempt(std::shared_ptr<Request> const& aRequest);
  /// Counts a request that was lost with its process, or that its process did
  /// not receive before the deadline.
  void RecordLost(Request const& aRequest);
  void Tick(std::size_t aProcess);
  /// Runs a step on a process. The step is dropped if the process has died or
  /// restarted, and postponed while the process is paused.
  void RunOnProcess(std::size_t aProcess, std::uint64_t aIncarnation,
                    std::function<void(Process&)> aStep);
  void Execute(Process& aProcess, entry::AllowanceActions&& aActions);
  void Dispatch(Process& aProcess, entry::ReservationGranted const& aGranted);
  void Refuse(Process& aProcess, entry::ReservationRefused const& aRefused);
  void Send(Process& aFrom, entry::AllowanceMessage&& aMessage);
  void Finish(Process& aProcess, entry::ReservationId aId, base::Tokens aUsed);

  bool IsPlatformDown() const;
  void ReadList(Process& aProcess);
  void PublishList();
  void TryClaims(Process& aProcess);
  bool ApplyClaim(entry::OwnershipClaim const& aClaim);
  void Announce(entry::ShareSlot aSlot);
  void ReadBack(Process& aProcess);
  void KillRandomEntry();
  void PauseRandomEntry();
  void ApplyChange(AllowanceChange const& aChange);
  std::size_t PickProcess();
  AllowanceResult Summary() const;

  AllowanceScenario m_scenario;
  std::mt19937_64 m_random;
  base::Duration m_now{};
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Process>> m_processes;
  std::unordered_map<std::string, std::size_t> m_byHost;
  std::vector<Workspace> m_workspaces;
  std::vector<entry::ListedEntry> m_list;
  std::map<entry::ShareSlot, entry::StoredBucket> m_store;
  base::ObjectVersion m_storeVersion;
  base::Duration m_warmUp{};
  std::uint64_t m_hostsStarted = 0;
  std::int64_t m_messages = 0;
  std::int64_t m_bytes = 0;
  std::int64_t m_platformCalls = 0;
};

} // namespace sardinefold::bench
