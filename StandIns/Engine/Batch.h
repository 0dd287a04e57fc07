#pragma once

#include "Base/EventLoop.h"
#include "Base/Signal.h"
#include "StandIns/Engine/CompletionCodec.h"
#include "StandIns/Engine/PrefixCache.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinefold::standins {

/// Capacity of an engine's batch and the duration of its steps.
struct BatchLimits
{
  std::uint64_t m_maximumRunning = 16;
  /// Base duration of a step, which generates one token per running sequence.
  base::Duration m_stepTime = std::chrono::milliseconds(4);
  /// Added to a step for each running sequence.
  base::Duration m_stepTimePerSequence = std::chrono::microseconds(200);
  /// Added to a step for each prompt token not in the prefix cache.
  base::Duration m_timePerPromptToken = std::chrono::microseconds(20);
};

enum class SequenceState
{
  Waiting,
  Running,
  /// The client disconnected; the sequence can be resumed.
  Paused,
  Finished
};

/// A completion that is being generated.
struct Sequence
{
  std::uint64_t m_arrival = 0;
  CompletionRequest m_request;
  CompletionResponse m_response;
  std::uint64_t m_promptHash = 0;
  /// Tokens after which the completion ends.
  std::uint64_t m_length = 0;
  std::uint64_t m_uncachedPromptTokens = 0;
  SequenceState m_state = SequenceState::Waiting;
  std::uint64_t m_executionSequence = 0;
  base::Instant m_pausedSince{};
};

/// Generates tokens for many sequences at once, step by step. A more urgent
/// sequence preempts a less urgent one, which continues later.
class Batch
{
public:
  using Sequences = std::map<std::string, Sequence>;

  Batch(base::EventLoop& aLoop, BatchLimits aLimits, PrefixCache& aCache);

  void Add(std::string const& aId, Sequence aSequence);
  /// Returns null if there is none. The pointer is valid until the coroutine
  /// next suspends.
  Sequence* Find(std::string const& aId);
  void Pause(std::string const& aId);
  void Resume(std::string const& aId);
  void Remove(std::string const& aId) { m_sequences.erase(aId); }
  Sequences const& All() const { return m_sequences; }

  /// Runs steps indefinitely.
  boost::asio::awaitable<void> Run();
  /// Notified after each step.
  base::Signal& Stepped() { return m_stepped; }

  std::uint64_t Count(SequenceState aState) const;
  BatchLimits& Limits() { return m_limits; }

private:
  void Admit();
  Sequence* MostUrgentWaiting();
  Sequence* LeastUrgentRunning();
  base::Duration PrepareStep();
  void FinishStep();

  base::EventLoop& m_loop;
  BatchLimits m_limits;
  PrefixCache& m_cache;
  Sequences m_sequences;
  std::uint64_t m_nextArrival = 1;
  base::Signal m_added;
  base::Signal m_stepped;
};

} // namespace sardinefold::standins
