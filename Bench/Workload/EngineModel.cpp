#include "Bench/Workload/EngineModel.h"

namespace sardinefold::bench {

void EngineModel::Run(TraceRequest const& aRequest, Callbacks aCallbacks)
{
  m_waiting.emplace(std::pair(aRequest.m_class, m_arrivals++),
                    WaitingRequest{ &aRequest, std::move(aCallbacks) });
  StartNext();
}

void EngineModel::StartNext()
{
  for (auto wait = m_waiting.begin(); wait != m_waiting.end();) {
    bool const isBatch = wait->first.first == operators::RequestClass::Batch;
    std::size_t const kind = isBatch ? 1 : 0;
    if (m_running[kind] >= (isBatch ? kBatchSlots : kSlots)) {
      ++wait;
      continue;
    }
    ++m_running[kind];
    TraceRequest const& request = *wait->second.m_request;
    Callbacks const callbacks = std::move(wait->second.m_callbacks);
    wait = m_waiting.erase(wait);
    m_events.After(request.m_prefill, callbacks.m_onFirstToken);
    m_events.After(request.m_prefill + request.m_generation, [this, kind, end = callbacks.m_onEnd] {
      --m_running[kind];
      end();
      StartNext();
    });
  }
}

} // namespace sardinefold::bench
