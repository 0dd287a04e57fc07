#include "StandIns/Engine/Batch.h"

#include "StandIns/Engine/CompletionText.h"

#include <tuple>

namespace sardinefold::standins {

namespace {

constexpr std::chrono::seconds kIdleWait{ 60 };

bool IsMoreUrgent(Sequence const& aLeft, Sequence const& aRight)
{
  return std::tuple(aLeft.m_request.m_priority, aLeft.m_arrival) <
         std::tuple(aRight.m_request.m_priority, aRight.m_arrival);
}

} // namespace

Batch::Batch(base::EventLoop& aLoop, BatchLimits aLimits, PrefixCache& aCache)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_cache(aCache)
  , m_added(aLoop.Context())
  , m_stepped(aLoop.Context())
{
}

void Batch::Add(std::string const& aId, Sequence aSequence)
{
  aSequence.m_arrival = m_nextArrival++;
  m_sequences.insert_or_assign(aId, std::move(aSequence));
  m_added.Notify();
}

Sequence* Batch::Find(std::string const& aId)
{
  auto const found = m_sequences.find(aId);
  return found == m_sequences.end() ? nullptr : &found->second;
}

void Batch::Pause(std::string const& aId)
{
  auto* const sequence = Find(aId);
  if (!sequence) {
    return;
  }
  sequence->m_pausedSince = m_loop.Now();
  if (sequence->m_state != SequenceState::Finished) {
    sequence->m_state = SequenceState::Paused;
  }
}

void Batch::Resume(std::string const& aId)
{
  auto* const sequence = Find(aId);
  if (sequence && sequence->m_state == SequenceState::Paused) {
    sequence->m_state = SequenceState::Waiting;
    m_added.Notify();
  }
}

std::uint64_t Batch::Count(SequenceState aState) const
{
  std::uint64_t count = 0;
  for (auto const& [id, sequence] : m_sequences) {
    count += sequence.m_state == aState ? 1U : 0U;
  }
  return count;
}

Sequence* Batch::MostUrgentWaiting()
{
  Sequence* best = nullptr;
  for (auto& [id, sequence] : m_sequences) {
    bool const isWaiting = sequence.m_state == SequenceState::Waiting;
    if (isWaiting && (!best || IsMoreUrgent(sequence, *best))) {
      best = &sequence;
    }
  }
  return best;
}

Sequence* Batch::LeastUrgentRunning()
{
  Sequence* worst = nullptr;
  for (auto& [id, sequence] : m_sequences) {
    bool const isRunning = sequence.m_state == SequenceState::Running;
    if (isRunning && (!worst || IsMoreUrgent(*worst, sequence))) {
      worst = &sequence;
    }
  }
  return worst;
}

void Batch::Admit()
{
  while (auto* const next = MostUrgentWaiting()) {
    if (Count(SequenceState::Running) >= m_limits.m_maximumRunning) {
      auto* const last = LeastUrgentRunning();
      if (!last || last->m_request.m_priority <= next->m_request.m_priority) {
        return;
      }
      last->m_state = SequenceState::Waiting;
    }
    next->m_state = SequenceState::Running;
    // A preempted or resumed sequence has the part of its prompt that is not
    // cached computed again.
    auto const blocks = PrefixBlocks(next->m_response.m_model, next->m_request.m_prompt);
    auto const cached = m_cache.MatchPrefix(blocks) * PrefixCache::kBlockTokens;
    next->m_response.m_cachedTokens = std::min(cached, next->m_response.m_promptTokens);
    next->m_uncachedPromptTokens =
      next->m_response.m_promptTokens - next->m_response.m_cachedTokens;
    m_cache.Store(next->m_response.m_model, blocks);
  }
}

base::Duration Batch::PrepareStep()
{
  auto time = m_limits.m_stepTime;
  for (auto& [id, sequence] : m_sequences) {
    if (sequence.m_state != SequenceState::Running) {
      continue;
    }
    time += m_limits.m_stepTimePerSequence;
    time +=
      m_limits.m_timePerPromptToken * static_cast<std::int64_t>(sequence.m_uncachedPromptTokens);
    sequence.m_uncachedPromptTokens = 0;
  }
  return time;
}

void Batch::FinishStep()
{
  for (auto& [id, sequence] : m_sequences) {
    if (sequence.m_state != SequenceState::Running) {
      continue;
    }
    ++sequence.m_response.m_generatedTokens;
    if (sequence.m_response.m_generatedTokens >= sequence.m_length) {
      sequence.m_state = SequenceState::Finished;
      sequence.m_pausedSince = m_loop.Now();
    }
  }
  m_stepped.Notify();
}

boost::asio::awaitable<void> Batch::Run()
{
  while (true) {
    Admit();
    if (Count(SequenceState::Running) == 0) {
      co_await m_added.Wait(kIdleWait);
      continue;
    }
    co_await m_loop.Sleep(PrepareStep());
    FinishStep();
  }
}

} // namespace sardinefold::standins
