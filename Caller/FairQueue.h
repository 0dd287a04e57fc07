#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sardinefold::caller {

/// The properties of a request that determine its place in the queue.
struct QueueEntry
{
  base::WorkspaceId m_workspace;
  operators::RequestClass m_class = operators::RequestClass::Standard;
  /// Prompt tokens plus the maximum number of generated tokens.
  base::Tokens m_tokens;
  /// When the request must have left the queue.
  base::Instant m_deadline;
};

/// Refusal of a request that the queue can't serve before its deadline.
struct QueueRefusal
{
  base::Duration m_expectedWait{};
};

/// A queue that shares a capacity among workspaces by weight, counted in
/// tokens, and serves the classes of one workspace in order of priority.
///
/// Start-time fair queueing: each workspace has a service tag up to which it
/// has been served, the one furthest behind goes next, and one that was idle
/// starts at the present tag. Hence a burst delays others by at most
/// one request each, whatever its size.
template<typename Item>
class FairQueue
{
public:
  struct Entry
  {
    QueueEntry m_entry;
    Item m_item;
  };

  /// Sets a workspace's share of the capacity relative to others; the default
  /// is 1.
  void SetWeight(base::WorkspaceId const& aWorkspace, double aWeight)
  {
    m_weights[aWorkspace] = std::max(aWeight, kMinimumWeight);
  }

  /// Sets the present rate at which requests leave the queue. Without it no
  /// request is refused on arrival.
  void SetDrainRate(base::TokensPerSecond aRate) { m_drainRate = aRate; }

  /// Queues a request, or refuses it if at the present rate its turn would come
  /// only after its deadline.
  tl::expected<void, QueueRefusal> Push(QueueEntry aEntry, Item aItem, base::Instant aNow)
  {
    base::Duration const wait = ExpectedWait(aEntry);
    if (aNow + wait > aEntry.m_deadline) {
      return tl::make_unexpected(QueueRefusal{ wait });
    }
    Flow& flow = m_flows[aEntry.m_workspace];
    if (flow.m_tokens == base::Tokens()) {
      flow.m_served = std::max(flow.m_served, m_serviceTag);
    }
    flow.m_tokens += aEntry.m_tokens;
    ++m_size;
    auto& queue = flow.m_classes[IndexOf(aEntry.m_class)];
    queue.push_back({ std::move(aEntry), std::move(aItem) });
    return {};
  }

  /// Removes and returns the request whose turn it is.
  std::optional<Entry> Pop()
  {
    auto next = m_flows.end();
    for (auto flow = m_flows.begin(); flow != m_flows.end(); ++flow) {
      bool const isBehind = next == m_flows.end() || flow->second.m_served < next->second.m_served;
      if (flow->second.HasRequests() && isBehind) {
        next = flow;
      }
    }
    if (next == m_flows.end()) {
      return std::nullopt;
    }
    Flow& flow = next->second;
    auto const filled =
      std::ranges::find_if(flow.m_classes, [](auto const& aQueue) { return !aQueue.empty(); });
    Entry entry = std::move(filled->front());
    filled->pop_front();
    --m_size;
    m_serviceTag = std::max(m_serviceTag, flow.m_served);
    flow.m_tokens -= entry.m_entry.m_tokens;
    flow.m_served += TagCost(next->first, entry.m_entry.m_tokens);
    if (!flow.HasRequests()) {
      RemoveIdleFlows();
    }
    return entry;
  }

  /// Returns the unused tokens of a request that used fewer than it reserved.
  void Settle(base::WorkspaceId const& aWorkspace, base::Tokens aUnused)
  {
    auto const flow = m_flows.find(aWorkspace);
    if (flow != m_flows.end()) {
      flow->second.m_served -= TagCost(aWorkspace, aUnused);
    }
  }

  /// Removes and returns the requests whose deadline has passed.
  std::vector<Entry> TakeExpired(base::Instant aNow)
  {
    return TakeIf([aNow](Entry const& aEntry) { return aEntry.m_entry.m_deadline <= aNow; });
  }

  /// Removes and returns the requests that match a condition, such as those of
  /// a revoked key.
  template<typename Condition>
  std::vector<Entry> TakeIf(Condition aCondition)
  {
    std::vector<Entry> taken;
    for (auto& [workspace, flow] : m_flows) {
      for (auto& queue : flow.m_classes) {
        auto const end = std::stable_partition(queue.begin(), queue.end(), std::not_fn(aCondition));
        for (auto position = end; position != queue.end(); ++position) {
          flow.m_tokens -= position->m_entry.m_tokens;
          taken.push_back(std::move(*position));
        }
        queue.erase(end, queue.end());
      }
    }
    m_size -= taken.size();
    return taken;
  }

  /// Expected time until a request that arrives now leaves the queue.
  base::Duration ExpectedWait(QueueEntry const& aEntry) const
  {
    auto const found = m_flows.find(aEntry.m_workspace);
    if (m_drainRate.Value() <= 0 || m_size == 0) {
      return {};
    }
    double const own = WeightOf(aEntry.m_workspace);
    double const ahead = found == m_flows.end() ? 0 : TokensAhead(found->second, aEntry.m_class);
    // Until the request's turn, each other workspace is served in proportion to
    // its weight, and no more than it has queued.
    double total = ahead;
    for (auto const& [workspace, flow] : m_flows) {
      if (workspace == aEntry.m_workspace || !flow.HasRequests()) {
        continue;
      }
      double const queued = static_cast<double>(flow.m_tokens.Value());
      total += std::min(queued, ahead * WeightOf(workspace) / own);
    }
    return base::FromSeconds(total / m_drainRate.Value());
  }

  std::size_t Size() const { return m_size; }

private:
  static constexpr double kMinimumWeight = 0.001;
  static constexpr std::size_t kClasses = 3;

  struct Flow
  {
    std::array<std::deque<Entry>, kClasses> m_classes;
    base::Tokens m_tokens;
    /// The workspace's service tag: the weighted tokens that it has been
    /// served.
    double m_served = 0;

    bool HasRequests() const
    {
      return std::ranges::any_of(m_classes, [](auto const& aQueue) { return !aQueue.empty(); });
    }
  };

  static std::size_t IndexOf(operators::RequestClass aClass)
  {
    return static_cast<std::size_t>(aClass);
  }

  static double TokensAhead(Flow const& aFlow, operators::RequestClass aClass)
  {
    double tokens = 0;
    for (std::size_t index = 0; index <= IndexOf(aClass); ++index) {
      for (Entry const& entry : aFlow.m_classes[index]) {
        tokens += static_cast<double>(entry.m_entry.m_tokens.Value());
      }
    }
    return tokens;
  }

  double WeightOf(base::WorkspaceId const& aWorkspace) const
  {
    auto const weight = m_weights.find(aWorkspace);
    return weight == m_weights.end() ? 1.0 : weight->second;
  }

  double TagCost(base::WorkspaceId const& aWorkspace, base::Tokens aTokens) const
  {
    return static_cast<double>(aTokens.Value()) / WeightOf(aWorkspace);
  }

  /// Removes idle workspaces whose tag is not ahead of the queue's, as a new
  /// flow would start at the same tag.
  void RemoveIdleFlows()
  {
    std::erase_if(m_flows, [this](auto const& aItem) {
      return !aItem.second.HasRequests() && aItem.second.m_served <= m_serviceTag;
    });
  }

  std::map<base::WorkspaceId, Flow> m_flows;
  std::map<base::WorkspaceId, double> m_weights;
  base::TokensPerSecond m_drainRate;
  double m_serviceTag = 0;
  std::size_t m_size = 0;
};

} // namespace sardinefold::caller
