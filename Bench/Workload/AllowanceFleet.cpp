#include "Bench/Workload/AllowanceFleet.h"

#include "Bench/Workload/AllowanceFleetParts.h"
#include "Entry/Allowance/AllowanceLimits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinefold::bench {

namespace {

constexpr base::Duration kTick = 10ms;
constexpr base::Duration kListInterval = 1s;
constexpr base::Duration kWaveLength = 8s;
/// Estimated sizes of a request and a grant, with HTTP head, signature and
/// envelope, and of each report or refund in a request.
constexpr std::int64_t kRequestBytes = 420;
constexpr std::int64_t kGrantBytes = 400;
constexpr std::int64_t kReportBytes = 40;

} // namespace

AllowanceFleet::AllowanceFleet(AllowanceScenario aScenario)
  : m_scenario(std::move(aScenario))
  , m_random(m_scenario.m_seed)
{
  for (WorkspaceLoad const& load : m_scenario.m_workspaces) {
    m_workspaces.push_back({ load, AllowanceChecker(load.m_allowance),
                             OracleBucket(load.m_allowance), load.m_allowance.m_rate.Value() });
    double const fill =
      static_cast<double>(load.m_allowance.m_burst.Value()) / load.m_allowance.m_rate.Value();
    m_warmUp = std::max(m_warmUp, base::FromSeconds(fill) + 10s);
  }
}

AllowanceFleet::~AllowanceFleet() = default;

void AllowanceFleet::At(base::Duration aTime, Step aStep)
{
  m_events.push({ aTime, m_order++, std::move(aStep) });
}

base::Duration AllowanceFleet::RandomTime(base::Duration aFrom, base::Duration aTo)
{
  return aFrom + base::FromSeconds(Random() * base::ToSeconds(aTo - aFrom));
}

std::size_t AllowanceFleet::StartProcess(std::string const& aHost, std::size_t aDomain)
{
  entry::HolderKey const key{ base::HostId::FromValidated(aHost),
                              base::IncarnationId::FromValidated(std::to_string(m_order++)) };
  base::Duration const shift = RandomTime(0s, 1000s);
  entry::ShareIndex const localShare(aDomain % m_scenario.m_layout.m_shares);
  double const speed = 1 + (Random() - 0.5) * 2e-4;
  base::Instant const start(shift + base::FromSeconds(base::ToSeconds(m_now) * speed));
  auto process = std::make_unique<Process>(key, m_scenario.m_layout, localShare, start);
  process->m_index = m_processes.size();
  process->m_domain = aDomain;
  process->m_clockShift = shift;
  process->m_clockSpeed = speed;
  for (Workspace const& workspace : m_workspaces) {
    process->m_node.SetWorkspace(workspace.m_load.m_id, workspace.m_load.m_allowance, start);
  }
  for (std::uint64_t share = 0; share < m_scenario.m_layout.m_shares; ++share) {
    for (std::uint64_t slot = 0; slot < m_scenario.m_layout.m_slots; ++slot) {
      entry::ShareSlot const shareSlot{ entry::ShareIndex(share), entry::SlotIndex(slot) };
      auto const stored = m_store.find(shareSlot);
      if (stored == m_store.end()) {
        process->m_plan.SetRecord(shareSlot, std::nullopt, start);
        continue;
      }
      process->m_plan.SetRecord(shareSlot, stored->second, start);
      entry::BucketRecord const& record = stored->second.m_record;
      process->m_node.SetOwner(shareSlot, record.m_owner.m_host, record.m_epoch);
    }
  }
  m_byHost[aHost] = process->m_index;
  m_processes.push_back(std::move(process));
  std::size_t const index = m_processes.size() - 1;
  After(RandomTime(0s, kTick), [this, index] { Tick(index); });
  After(RandomTime(0s, kListInterval), [this, index] { ReadList(*m_processes[index]); });
  return index;
}

void AllowanceFleet::RunOnProcess(std::size_t aProcess, std::uint64_t aIncarnation,
                                  std::function<void(Process&)> aStep)
{
  Process& process = *m_processes[aProcess];
  if (!process.m_isAlive || process.m_incarnation != aIncarnation) {
    return;
  }
  if (m_now < process.m_pausedUntil) {
    At(process.m_pausedUntil, [this, aProcess, aIncarnation, step = std::move(aStep)] {
      RunOnProcess(aProcess, aIncarnation, step);
    });
    return;
  }
  aStep(process);
}

void AllowanceFleet::Tick(std::size_t aProcess)
{
  Process& process = *m_processes[aProcess];
  RunOnProcess(aProcess, process.m_incarnation, [this, aProcess](Process& aSelf) {
    Execute(aSelf, aSelf.m_node.Advance(aSelf.Clock(m_now)));
    if (!aSelf.m_node.UnconfirmedSlots().empty()) {
      ReadBack(aSelf);
    }
    TryClaims(aSelf);
    After(aSelf.m_node.AdvanceInterval(), [this, aProcess] { Tick(aProcess); });
  });
}

void AllowanceFleet::Execute(Process& aProcess, entry::AllowanceActions&& aActions)
{
  for (entry::ReservationGranted const& granted : aActions.m_granted) {
    Dispatch(aProcess, granted);
  }
  for (entry::ReservationRefused const& refused : aActions.m_refused) {
    Refuse(aProcess, refused);
  }
  for (entry::AllowanceMessage& message : aActions.m_messages) {
    Send(aProcess, std::move(message));
  }
}

void AllowanceFleet::Send(Process& aFrom, entry::AllowanceMessage&& aMessage)
{
  ++m_messages;
  auto const* request = std::get_if<entry::TokenRequest>(&aMessage.m_content);
  m_bytes += request == nullptr
               ? kGrantBytes
               : kRequestBytes +
                   kReportBytes * static_cast<std::int64_t>(request->m_reports.size() +
                                                            request->m_refunds.m_entries.size());
  auto const found = m_byHost.find(aMessage.m_to.Text());
  if (found == m_byHost.end()) {
    return;
  }
  Process& to = *m_processes[found->second];
  bool const isPartitioned = m_scenario.m_partition && m_scenario.m_partition->Contains(m_now) &&
                             (aFrom.m_domain == 0) != (to.m_domain == 0);
  if (isPartitioned || Chance(m_scenario.m_lostPerMille)) {
    return;
  }
  int const copies = Chance(m_scenario.m_repeatedPerMille) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    base::Duration delay = m_scenario.m_oneWayDelay + RandomTime(0us, m_scenario.m_oneWayDelay / 2);
    if (copy > 0 || Chance(m_scenario.m_latePerMille)) {
      delay += RandomTime(0ms, 5s);
    }
    auto const deliver = [content = aMessage.m_content, this](Process& aTarget) {
      base::Instant const now = aTarget.Clock(m_now);
      auto const receive = [&](auto const& aItem) { return aTarget.m_node.Receive(aItem, now); };
      Execute(aTarget, std::visit(receive, content));
    };
    After(delay, [this, index = to.m_index, incarnation = to.m_incarnation, deliver] {
      RunOnProcess(index, incarnation, deliver);
    });
  }
}

void AllowanceFleet::ScheduleNextArrival(std::size_t aWorkspace)
{
  WorkspaceLoad const& load = m_workspaces[aWorkspace].m_load;
  double rate = load.m_requestsPerSecond;
  if (load.m_isBursty) {
    bool const isWave = (m_now / kWaveLength) % 4 == 0;
    rate *= isWave ? 2.5 : 0.5;
  }
  double const wait = -std::log(1 - Random()) / rate;
  After(base::FromSeconds(wait), [this, aWorkspace] {
    OnArrival(aWorkspace);
    ScheduleNextArrival(aWorkspace);
  });
}

std::size_t AllowanceFleet::PickProcess()
{
  for (;;) {
    double const draw = m_scenario.m_isSkewed ? std::pow(Random(), 4) : Random();
    auto const index = static_cast<std::size_t>(draw * static_cast<double>(m_processes.size()));
    if (m_processes[index]->m_isAlive) {
      return index;
    }
  }
}

void AllowanceFleet::OnArrival(std::size_t aWorkspace)
{
  Workspace& workspace = m_workspaces[aWorkspace];
  WorkspaceLoad const& load = workspace.m_load;
  auto request = std::make_shared<Request>();
  request->m_workspace = aWorkspace;
  request->m_process = PickProcess();
  double const span = static_cast<double>(load.m_maximumTokens - load.m_minimumTokens);
  request->m_reserved =
    base::Tokens(load.m_minimumTokens + static_cast<std::int64_t>(Random() * span));
  double const minimum = m_scenario.m_minimumUsedFraction;
  double const usedFraction = minimum + (1 - minimum) * Random();
  request->m_used = base::Tokens(
    static_cast<std::int64_t>(static_cast<double>(request->m_reserved.Value()) * usedFraction));
  request->m_deadline = m_now + (Chance(300) ? 10s : 3s);
  request->m_runTime = RandomTime(200ms, Chance(200) ? 20s : 4s);
  request->m_isAdmittedByOracle =
    workspace.m_oracle.Reserve(request->m_reserved, base::Instant(m_now));
  ++workspace.m_requests;
  if (request->m_isAdmittedByOracle) {
    ++workspace.m_oracleAdmitted;
    workspace.m_oracleTokens += request->m_used.Value();
    base::Tokens const unused = request->m_reserved - request->m_used;
    After(request->m_runTime, [this, aWorkspace, unused] {
      m_workspaces[aWorkspace].m_oracle.Refund(unused, base::Instant(m_now));
    });
  }
  Attempt(request);
}

void AllowanceFleet::Attempt(std::shared_ptr<Request> const& aRequest)
{
  Process& target = *m_processes[aRequest->m_process];
  RunOnProcess(target.m_index, target.m_incarnation, [this, aRequest](Process& aProcess) {
    if (m_now >= aRequest->m_deadline) {
      RecordLost(*aRequest);
      return;
    }
    entry::AllowanceActions actions;
    auto const id =
      aProcess.m_node.Reserve(m_workspaces[aRequest->m_workspace].m_load.m_id, aRequest->m_reserved,
                              aProcess.Clock(aRequest->m_deadline), aProcess.Clock(m_now), actions);
    aProcess.m_requests[id] = aRequest;
    Execute(aProcess, std::move(actions));
  });
}

void AllowanceFleet::RecordLost(Request const& aRequest)
{
  Workspace& workspace = m_workspaces[aRequest.m_workspace];
  ++workspace.m_lost;
  if (aRequest.m_isAdmittedByOracle) {
    workspace.m_oracleTokens -= aRequest.m_used.Value();
  }
}

void AllowanceFleet::Dispatch(Process& aProcess, entry::ReservationGranted const& aGranted)
{
  auto const request = aProcess.m_requests.at(aGranted.m_id);
  request->m_isDispatched = true;
  base::Duration const networkDelay =
    Chance(20) ? RandomTime(0ms, 2 * entry::kStartLimit) : RandomTime(200us, 3ms);
  // The agent computes the limit from a clock value that is as old as its
  // network delay, so its limit is earlier by that delay.
  base::Duration const startBy = m_now + entry::kStartLimit - RandomTime(0us, 2ms);
  After(networkDelay, [this, request, id = aGranted.m_id, startBy, index = aProcess.m_index,
                       incarnation = aProcess.m_incarnation] {
    if (m_now > startBy) {
      RunOnProcess(index, incarnation, [this, id, request](Process& aSelf) {
        Finish(aSelf, id, base::Tokens());
        request->m_isDispatched = false;
        Attempt(request);
      });
      return;
    }
    Workspace& workspace = m_workspaces[request->m_workspace];
    workspace.m_checker.Receive(request->m_used, base::Instant(m_now));
    ++workspace.m_served;
    workspace.m_servedTokens += request->m_used.Value();
    After(request->m_runTime, [this, request, id, index, incarnation] {
      RunOnProcess(index, incarnation,
                   [this, request, id](Process& aSelf) { Finish(aSelf, id, request->m_used); });
    });
  });
}

void AllowanceFleet::Finish(Process& aProcess, entry::ReservationId aId, base::Tokens aUsed)
{
  aProcess.m_requests.erase(aId);
  Execute(aProcess, aProcess.m_node.Settle(aId, aUsed, aProcess.Clock(m_now)));
}

void AllowanceFleet::Refuse(Process& aProcess, entry::ReservationRefused const& aRefused)
{
  auto const found = aProcess.m_requests.find(aRefused.m_id);
  if (found == aProcess.m_requests.end()) {
    return;
  }
  if (found->second->m_isAdmittedByOracle) {
    ++m_workspaces[found->second->m_workspace].m_wronglyRefused;
  }
  aProcess.m_requests.erase(found);
}

AllowanceResult AllowanceFleet::Run()
{
  for (std::size_t index = 0; index < m_scenario.m_entries; ++index) {
    std::size_t const domain = index % m_scenario.m_failureDomains;
    StartProcess("entry-" + std::to_string(m_hostsStarted++), domain);
  }
  PublishList();
  At(m_warmUp, [this] {
    m_messages = 0;
    m_bytes = 0;
    m_platformCalls = 0;
    ScheduleArrivals();
    ScheduleFaults();
  });
  base::Duration const end = m_warmUp + m_scenario.m_length;
  while (!m_events.empty() && m_events.top().m_at < end) {
    Step const step = m_events.top().m_step;
    m_now = m_events.top().m_at;
    m_events.pop();
    step();
  }
  return Summary();
}

void AllowanceFleet::ScheduleArrivals()
{
  for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
    m_workspaces[index].m_oracle.SetAllowance(m_workspaces[index].m_load.m_allowance,
                                              base::Instant(m_now));
    ScheduleNextArrival(index);
  }
  for (auto* window : { &m_scenario.m_platformOutage, &m_scenario.m_partition }) {
    if (*window) {
      (*window)->m_from += m_now;
      (*window)->m_until += m_now;
    }
  }
}

AllowanceResult AllowanceFleet::Summary() const
{
  AllowanceResult result;
  for (Workspace const& workspace : m_workspaces) {
    result.m_maxOverAllowance =
      std::max(result.m_maxOverAllowance, workspace.m_checker.MaxOverAllowance());
    result.m_requests += workspace.m_requests;
    result.m_served += workspace.m_served;
    result.m_lost += workspace.m_lost;
    double const part = workspace.m_oracleTokens > 0
                          ? static_cast<double>(workspace.m_servedTokens) /
                              static_cast<double>(workspace.m_oracleTokens)
                          : 1.0;
    if (!workspace.m_load.m_isOverRate) {
      result.m_oracleAdmitted += workspace.m_oracleAdmitted;
      result.m_wrongRefusals += workspace.m_wronglyRefused;
    }
    if (part < result.m_worstWorkspace) {
      result.m_worstWorkspace = part;
    }
  }
  double const nodeSeconds =
    base::ToSeconds(m_scenario.m_length) * static_cast<double>(m_scenario.m_entries);
  result.m_messagesPerSecond = static_cast<double>(m_messages) / nodeSeconds;
  result.m_bytesPerSecond = static_cast<double>(m_bytes) / nodeSeconds;
  result.m_platformCallsPerSecond =
    static_cast<double>(m_platformCalls) / base::ToSeconds(m_scenario.m_length);
  return result;
}

} // namespace sardinefold::bench
