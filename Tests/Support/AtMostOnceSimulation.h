#pragma once

#include "ObjectStore/RandomSource.h"
#include "ObjectStore/WriteResolution.h"
#include "Service/ClaimAttempt.h"
#include "Service/ClaimRetention.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::tests {

/// A fault that is injected at one step of one attempt at an order.
enum class InjectedFault
{
  /// The agent crashes; a request that it has sent upstream keeps running.
  AgentCrash,
  /// The next response of the platform or the upstream is lost after the call
  /// has taken effect.
  ResponseLost,
  /// The agent is paused for longer than the request may wait.
  Pause,
  /// The platform is unavailable for a few seconds.
  PlatformOutage
};

inline constexpr std::array kInjectedFaults{ InjectedFault::AgentCrash, InjectedFault::ResponseLost,
                                             InjectedFault::Pause, InjectedFault::PlatformOutage };

/// One attempt of a caller to have an order run, through one of the agents.
struct OrderAttempt
{
  std::size_t m_order = 0;
  std::size_t m_agent = 0;
  base::Duration m_at{};
};

/// A fault at one step of one attempt; the steps of an attempt count from 1.
struct ScheduledFault
{
  std::size_t m_attempt = 0;
  int m_step = 0;
  InjectedFault m_fault = InjectedFault::AgentCrash;
};

struct AtMostOncePlan
{
  std::vector<OrderAttempt> m_attempts;
  std::vector<ScheduledFault> m_faults;
  /// Probability that a step has a random fault in addition to the scheduled ones.
  double m_faultProbability = 0.0;
  /// False for the baseline without claims, in which each attempt runs at once.
  bool m_usesClaims = true;
  std::uint64_t m_seed = 1;
};

/// Compares what the upstream ran with the outcomes that callers received.
struct AtMostOnceResult
{
  std::size_t m_orders = 0;
  /// Number of runs of an order beyond its first.
  std::size_t m_duplicates = 0;
  /// Attempts that were reported as not run although they ran.
  std::size_t m_falseNotRun = 0;
  /// Attempts whose response differs from that of the order's first run.
  std::size_t m_wrongResponses = 0;
  std::size_t m_answered = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_platformWrites = 0;
  std::size_t m_platformReads = 0;
  /// Largest number of steps of any attempt.
  int m_maximumSteps = 0;
};

/// Drives ClaimAttempt and WriteResolution in virtual time against an in-memory
/// store and upstream.
class AtMostOnceSimulation
{
public:
  explicit AtMostOnceSimulation(AtMostOncePlan aPlan);

  AtMostOnceResult Run();

private:
  struct Stored
  {
    base::ObjectVersion m_version;
    objectstore::WriteNonce m_nonce;
    service::Claim m_claim;
  };
  struct Write
  {
    objectstore::WriteCondition m_condition;
    service::Claim m_claim;
    objectstore::WriteNonce m_nonce;
    objectstore::WriteResolution m_resolution;
  };
  struct Sender
  {
    std::size_t m_index;
    OrderAttempt m_attempt;
    service::ClaimOwnerId m_owner;
    service::ClaimAttempt m_claimAttempt;
    base::Instant m_startBy;
    base::Instant m_wakeAt;
    int m_steps = 0;
    bool m_isFinished = false;
    bool m_losesNextResponse = false;
    bool m_hasRun = false;
    std::optional<Write> m_write;
    std::optional<service::RunResult> m_runResult;
  };

  Sender* FindNext();
  bool ApplyFault(Sender& aSender);
  std::optional<InjectedFault> FaultFor(Sender const& aSender);
  void Step(Sender& aSender);
  void StepClaimed(Sender& aSender);
  void StepWrite(Sender& aSender);
  void StartWrite(Sender& aSender, service::WriteClaim const& aStep);
  void Send(Sender& aSender);
  void Read(Sender& aSender);
  void EndWrite(Sender& aSender,
                tl::expected<base::ObjectVersion, objectstore::WriteError> aResult);
  tl::expected<base::ObjectVersion, objectstore::WriteError> Apply(Sender& aSender);
  tl::expected<objectstore::Object, objectstore::ReadError> ReadBack(Sender& aSender);
  void RecordOutcome(Sender& aSender,
                     std::variant<base::NotRun, service::StoredResponse, base::Unknown> aOutcome);
  bool IsDown() const { return m_now < m_downUntil; }

  AtMostOncePlan m_plan;
  objectstore::RandomSource m_random;
  base::Instant m_now;
  base::Instant m_downUntil{};
  std::vector<Sender> m_senders;
  std::map<std::size_t, Stored> m_store;
  base::ObjectVersion m_latest;
  std::uint64_t m_nonces = 0;
  std::map<std::size_t, std::size_t> m_runs;
  std::set<service::ClaimOwnerId> m_abandonedOwners;
  service::ClaimRetention m_retention{ service::ClaimRetentionLimits{} };
  AtMostOnceResult m_result;
};

/// Returns attempts at a number of orders. Each order is repeated through other
/// agents, both while its first attempt may still be running and minutes later.
std::vector<OrderAttempt> PlanResends(std::size_t aOrders, std::size_t aResends,
                                      std::uint64_t aSeed);

} // namespace sardinefold::tests
