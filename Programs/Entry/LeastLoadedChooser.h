#pragma once

#include "Agent/AgentDirectory.h"
#include "Agent/DispatchPolicy.h"
#include "Base/Digest.h"

#include <map>
#include <set>

namespace sardinefold::programs {

/// Keeps each model on few upstreams: takes the first in the model's rendezvous
/// order that this process has not filled.
class LeastLoadedChooser
{
public:
  explicit LeastLoadedChooser(agent::AgentDirectory const& aDirectory)
    : m_directory(aDirectory)
  {
  }

  std::optional<agent::KnownAgent> Choose(agent::DispatchRequest const& aRequest,
                                          std::set<base::UpstreamId> const& aExcluded,
                                          base::Instant)
  {
    agent::KnownAgent const* best = nullptr;
    std::uint64_t bestScore = 0;
    auto const name = aRequest.m_model ? aRequest.m_model->Text() : aRequest.m_id.Text();
    for (auto const& agent : m_directory.AgentsOf(aRequest.m_deployment)) {
      if (agent.m_isLeaving || aExcluded.contains(agent.m_upstream)) {
        continue;
      }
      bool const isFull = m_inFlight[agent.m_upstream] >= agent.m_concurrency;
      auto const hash = base::FastHash(agent.m_upstream.Text() + "\n" + name);
      auto const score = isFull ? hash >> 32 : hash | (std::uint64_t(1) << 63);
      if (!best || score > bestScore) {
        best = &agent;
        bestScore = score;
      }
    }
    return best ? std::optional<agent::KnownAgent>(*best) : std::nullopt;
  }

  void NoteSent(agent::DispatchRequest const&, base::UpstreamId const& aUpstream, base::Instant)
  {
    ++m_inFlight[aUpstream];
  }

  void NoteEnded(agent::DispatchRequest const&, base::UpstreamId const& aUpstream,
                 agent::AttemptEnd, base::Instant)
  {
    auto& count = m_inFlight[aUpstream];
    count -= count > 0 ? 1 : 0;
  }

private:
  agent::AgentDirectory const& m_directory;
  std::map<base::UpstreamId, unsigned> m_inFlight;
};

} // namespace sardinefold::programs
