#include "Programs/Agent/ReplicaLoader.h"

#include "Base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sardinefold::programs {

namespace asio = boost::asio;
using agent::Refusal;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr base::Duration kStatusTimeout = std::chrono::seconds(1);
constexpr base::Duration kPollInterval = std::chrono::seconds(1);
/// Maximum duration of a load order.
constexpr base::Duration kOrderTimeout = std::chrono::minutes(5);
/// Delay after a failed order before the next one for the same replica.
constexpr base::Duration kFailureDelay = std::chrono::milliseconds(500);

agent::ReplicaStatus::State ToStatus(engine::EngineReplica::State aState)
{
  switch (aState) {
    case engine::EngineReplica::State::Loading:
      return agent::ReplicaStatus::State::Loading;
    case engine::EngineReplica::State::Loaded:
      return agent::ReplicaStatus::State::Loaded;
    case engine::EngineReplica::State::Unloading:
      return agent::ReplicaStatus::State::Unloading;
  }
  return agent::ReplicaStatus::State::Unloading;
}

} // namespace

ReplicaLoader::ReplicaLoader(base::EventLoop& aLoop, base::HttpClient& aHttp,
                             base::Endpoint aEngine)
  : m_loop(aLoop)
  , m_engine(aHttp, std::move(aEngine))
{
}

asio::awaitable<bool> ReplicaLoader::Refresh()
{
  auto status = co_await m_engine.ReadStatusReport(kStatusTimeout);
  if (!status) {
    co_return false;
  }
  m_engineStatus = std::move(*status);
  if (!m_hasEngineStatus) {
    m_fencing = m_engineStatus.m_fencing.Next();
  }
  m_hasEngineStatus = true;
  co_return true;
}

asio::awaitable<void> ReplicaLoader::PollEngine()
{
  while (true) {
    co_await Refresh();
    co_await m_loop.Sleep(kPollInterval);
  }
}

bool ReplicaLoader::IsLoaded(Key const& aKey) const
{
  return std::ranges::any_of(m_engineStatus.m_replicas, [&](engine::EngineReplica const& aReplica) {
    bool const isSame = aKey.m_adapter.IsEmpty()
                          ? aReplica.m_adapter.IsEmpty() && aReplica.m_model == aKey.m_model
                          : aReplica.m_adapter == aKey.m_adapter;
    return isSame && aReplica.m_state == engine::EngineReplica::State::Loaded;
  });
}

asio::awaitable<tl::expected<void, Refusal>> ReplicaLoader::EnsureLoaded(
  agent::ExchangeHead const& aHead, base::Instant aEnd, base::Cancellation& aCancellation)
{
  Key model{ aHead.m_model, base::AdapterId() };
  auto result = co_await EnsureReplica(std::move(model), aEnd, aCancellation);
  if (!result || aHead.m_adapter.IsEmpty()) {
    co_return result;
  }
  Key adapter{ aHead.m_model, aHead.m_adapter };
  co_return co_await EnsureReplica(std::move(adapter), aEnd, aCancellation);
}

asio::awaitable<tl::expected<void, Refusal>> ReplicaLoader::EnsureReplica(
  Key aKey, base::Instant aEnd, base::Cancellation& aCancellation)
{
  while (!IsLoaded(aKey)) {
    if (aCancellation.IsCancelled() || m_loop.Now() >= aEnd) {
      co_return tl::make_unexpected(Refusal::DeadlinePassed);
    }
    auto const [load, isNew] = m_loads.try_emplace(aKey, LoadState::Running);
    if (load->second == LoadState::Failed) {
      co_return tl::make_unexpected(Refusal::ModelNotAvailable);
    }
    if (isNew) {
      m_loop.Start(Load(aKey));
    }
    asio::steady_timer timer(m_loop.Context());
    timer.expires_after(aEnd - m_loop.Now());
    auto const position = m_waiting.insert(m_waiting.end(), &timer);
    aCancellation.SetAction([&timer] { timer.cancel(); });
    co_await timer.async_wait(kAwait);
    aCancellation.ClearAction();
    m_waiting.erase(position);
  }
  co_return tl::expected<void, Refusal>{};
}

asio::awaitable<void> ReplicaLoader::Load(Key aKey)
{
  engine::EngineOrder order{ aKey.m_model, aKey.m_adapter, m_fencing };
  auto const result = co_await m_engine.Load(std::move(order), kOrderTimeout);
  if (!result) {
    base::log::Warning("load order failed", { { "model", aKey.m_model.Text() },
                                              { "adapter", aKey.m_adapter.Text() },
                                              { "error", result.error().m_message } });
  }
  co_await Refresh();
  if (!IsLoaded(aKey)) {
    m_loads[aKey] = LoadState::Failed;
    WakeWaiting();
    co_await m_loop.Sleep(kFailureDelay);
  }
  m_loads.erase(aKey);
  WakeWaiting();
}

void ReplicaLoader::WakeWaiting()
{
  for (auto* const timer : m_waiting) {
    timer->cancel();
  }
}

std::vector<agent::ReplicaStatus> ReplicaLoader::Replicas() const
{
  std::vector<agent::ReplicaStatus> replicas;
  for (auto const& replica : m_engineStatus.m_replicas) {
    replicas.push_back({ replica.m_model, replica.m_adapter, ToStatus(replica.m_state) });
  }
  return replicas;
}

} // namespace sardinefold::programs
