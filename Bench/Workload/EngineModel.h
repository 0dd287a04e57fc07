#pragma once

#include "Bench/Workload/EventQueue.h"
#include "Bench/Workload/Trace.h"

#include <map>

namespace sardinefold::bench {

/// Model of an engine's request execution: a fixed number of slots, assigned by
/// class and then by arrival. Engines with priorities pause batch requests for
/// others, so batch requests have slots of their own here.
class EngineModel
{
public:
  static constexpr unsigned kSlots = 16;
  static constexpr unsigned kBatchSlots = 4;

  struct Callbacks
  {
    std::function<void()> m_onFirstToken;
    std::function<void()> m_onEnd;
  };

  explicit EngineModel(EventQueue& aEvents)
    : m_events(aEvents)
  {
  }

  void Run(TraceRequest const& aRequest, Callbacks aCallbacks);
  std::size_t Running() const { return m_running[0] + m_running[1]; }
  std::size_t Waiting() const { return m_waiting.size(); }

private:
  struct WaitingRequest
  {
    TraceRequest const* m_request;
    Callbacks m_callbacks;
  };

  void StartNext();

  EventQueue& m_events;
  unsigned m_running[2] = {};
  std::uint64_t m_arrivals = 0;
  std::map<std::pair<operators::RequestClass, std::uint64_t>, WaitingRequest> m_waiting;
};

} // namespace sardinefold::bench
