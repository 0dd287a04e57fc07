#pragma once

#include "Base/Cancellation.h"
#include "Base/Log.h"
#include "Caller/WaitPolicy.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/LimitLinePlace.h"
#include "Programs/Gateway/ModelWait.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace sardinefold::programs {

/// Selects the upstream for one request, and waits while its model is being
/// loaded, its adapter fetched or its upstreams get no further request.
class UpstreamSelection
{
public:
  /// The arguments must outlive the search.
  UpstreamSelection(GatewayState& aState, RequestContext const& aContext, RequestRecord& aRecord,
                    base::Cancellation const& aCancellation)
    : m_state(aState)
    , m_context(aContext)
    , m_record(aRecord)
    , m_cancellation(aCancellation)
  {
  }

  /// Returns nothing if no upstream can take the request in time; the record then
  /// holds the reason. aProgressAt is the time at which data was last sent to the
  /// caller, or the start of the request.
  boost::asio::awaitable<std::optional<engine::UpstreamChoice>> Run(base::Instant aProgressAt)
  {
    caller::WaitPolicy const policy(m_context.m_route, aProgressAt, m_context.m_end);
    auto const startedAt = Now();
    std::optional<ModelWait> wait;
    std::optional<engine::UpstreamChoice> result;
    // When another load of the model was expected to end at the first refusal.
    std::optional<base::Instant> loadedAt;
    LimitLinePlace place(m_state.m_directory.RequestLimits());
    auto query = m_context.m_query;
    m_state.m_directory.OnAsked(query, startedAt);
    // The end of the wait bounds waiting only: a usable upstream is chosen until the
    // request's deadline.
    while (!m_cancellation.IsCancelled() && Now() < m_context.m_end) {
      if (m_state.m_suspectParts.FindRefused(m_context.m_request.m_sharedParts, Now())) {
        break;
      }
      query.m_limitPlace = place.Place();
      auto const found = m_state.m_directory.Find(query, Now());
      if (auto const* const choice = std::get_if<engine::UpstreamChoice>(&found)) {
        if (!choice->m_lacksAdapter) {
          result = *choice;
          break;
        }
        if (Now() >= WaitEnd(policy)) {
          break;
        }
        RequestAdapter(*choice);
        co_await m_state.ModelSignal(*m_context.m_query.m_model).Wait(kAdapterWait);
        continue;
      }
      auto const absence = std::get<engine::UpstreamAbsence>(found);
      m_record.m_outcome = ToText(absence);
      bool const isHeldBack = absence == engine::UpstreamAbsence::WarmingUp ||
                              absence == engine::UpstreamAbsence::AtLimit;
      if (isHeldBack) {
        RecordHeldBack(absence);
      }
      if (isHeldBack || absence == engine::UpstreamAbsence::BackingOff) {
        if (wait) {
          // The model is loaded, so the planner need not load it for this request.
          wait.reset();
        }
        auto const waitEnd =
          isHeldBack ? HeldBackWaitEnd(policy, query, place) : BackoffWaitEnd(policy, loadedAt);
        if (!waitEnd || Now() >= *waitEnd) {
          break;
        }
        co_await ChangeSignal().Wait(*waitEnd - Now());
        continue;
      }
      if (absence != engine::UpstreamAbsence::ModelNotLoaded || Now() >= WaitEnd(policy) ||
          !policy.MayWait(m_state.ForecastFor(m_context.m_query), Now())) {
        break;
      }
      if (!wait) {
        StartWaiting(policy, wait);
      }
      co_await m_state.ModelSignal(*m_context.m_query.m_model).Wait(WaitEnd(policy) - Now());
    }
    wait.reset();
    if (place.Leave() && !result) {
      // Those behind it move up.
      m_state.NotifyAll();
    }
    m_record.m_waited += Now() - startedAt;
    co_return result;
  }

private:
  /// Interval between polls for an adapter; a fetch takes 6 to 20 ms.
  static constexpr base::Duration kAdapterWait = std::chrono::milliseconds(40);

  base::Instant Now() const { return m_state.m_loop.Now(); }

  base::Instant WaitEnd(caller::WaitPolicy const& aPolicy) const
  {
    if (!m_state.Stop().MayBegin(m_context.m_route, m_context.m_end, Now())) {
      return Now();
    }
    return std::min(aPolicy.End(), m_state.m_waitDeadline.value_or(aPolicy.End()));
  }

  /// Returns until when to wait although all upstreams that hold the model want no
  /// requests: another one may be loading it in time.
  std::optional<base::Instant> BackoffWaitEnd(caller::WaitPolicy const& aPolicy,
                                              std::optional<base::Instant>& aLoadedAt) const
  {
    auto const forecast = m_state.ForecastFor(m_context.m_query);
    auto const opensAt = m_state.m_directory.BackoffEndFor(m_context.m_query, Now());
    if (!aLoadedAt) {
      aLoadedAt = forecast && aPolicy.MayWait(forecast, Now()) ? forecast->m_readyAt : Now();
    }
    return opensAt ? std::optional(std::min({ *aLoadedAt, *opensAt, WaitEnd(aPolicy) }))
                   : std::nullopt;
  }

  /// Returns until when to wait although the upstreams that hold the model are warming up
  /// or at their limit: one of them may get the request in time, or another one may be
  /// loading the model. Takes a place in the line for the next permit.
  std::optional<base::Instant> HeldBackWaitEnd(caller::WaitPolicy const& aPolicy,
                                               engine::UpstreamQuery const& aQuery,
                                               LimitLinePlace& aPlace) const
  {
    auto const& directory = m_state.m_directory;
    auto next = directory.WarmUpOpensAt(aQuery, Now());
    auto const opening = directory.FindLimitOpening(aQuery, Now());
    if (opening && opening->m_at < WaitEnd(aPolicy)) {
      aPlace.MoveTo(opening->m_start);
      next = std::min(next.value_or(opening->m_at), opening->m_at);
    } else {
      aPlace.Leave();
    }
    auto const forecast = m_state.ForecastFor(m_context.m_query);
    if (forecast && forecast->m_readyAt > Now()) {
      next = std::min(next.value_or(forecast->m_readyAt), forecast->m_readyAt);
    }
    return next && *next < WaitEnd(aPolicy) ? next : std::nullopt;
  }

  /// Logs and counts the request once.
  void RecordHeldBack(engine::UpstreamAbsence aReason)
  {
    if (std::exchange(m_isHeldBack, true)) {
      return;
    }
    auto const opensAt = m_state.m_directory.HeldBackUntil(m_context.m_query, Now());
    auto const& deployment = m_context.m_query.m_deployment;
    auto const& model = m_context.m_query.m_model;
    bool const isAtLimit = aReason == engine::UpstreamAbsence::AtLimit;
    base::log::Info(
      isAtLimit ? "request is held back as upstreams are at their limit"
                : "request is held back as upstreams are warming up",
      { { "request", m_context.m_request.m_id.Text() },
        { "deployment", deployment.Text() },
        { "model", model ? model->Text() : "" },
        { "opens_in_ms", opensAt ? std::to_string(base::ToMilliseconds(*opensAt - Now())) : "" } });
    if (isAtLimit) {
      m_state.m_metrics
        .Counter("sardinefold_gateway_requests_at_limit_total",
                 "Requests held back as upstreams that could serve them are at their limit.",
                 { { "deployment", deployment.Text() } })
        .Increment();
      return;
    }
    m_state.m_metrics
      .Counter("sardinefold_gateway_requests_held_back_total",
               "Requests held back as upstreams that could serve them are warming up.",
               { { "deployment", deployment.Text() } })
      .Increment();
  }

  /// The signal that wakes the request when its upstreams change or it is cancelled.
  base::Signal& ChangeSignal()
  {
    auto const& model = m_context.m_query.m_model;
    return model ? m_state.ModelSignal(*model) : m_state.m_suspectSignal;
  }

  void StartWaiting(caller::WaitPolicy const& aPolicy, std::optional<ModelWait>& aWait)
  {
    auto const& model = *m_context.m_query.m_model;
    auto const forecast = m_state.ForecastFor(m_context.m_query);
    auto const millisecondsUntil = [this](base::Instant aTime) {
      return std::to_string(base::ToMilliseconds(aTime - Now()));
    };
    base::log::Info("request waits for its model",
                    { { "request", m_context.m_request.m_id.Text() },
                      { "model", model.Text() },
                      { "ready_in_ms", forecast ? millisecondsUntil(forecast->m_readyAt) : "" },
                      { "told_ms", forecast ? millisecondsUntil(forecast->m_reportedAt) : "" },
                      { "given_up_in_ms", millisecondsUntil(WaitEnd(aPolicy)) } });
    aWait.emplace(m_state, m_context.m_query, RequestWeight(),
                  m_context.m_start + m_context.m_route.m_goal);
  }

  /// Weights a waiting request by its size, as longer requests earn more.
  double RequestWeight() const
  {
    constexpr double kTypicalTokens = 2'000;
    constexpr double kFixedPart = 0.3;
    auto const& tokens = m_context.m_request.m_tokens;
    double const size = static_cast<double>(tokens ? tokens->Total().Value() : 0);
    return kFixedPart + (1 - kFixedPart) * size / kTypicalTokens;
  }

  void RequestAdapter(engine::UpstreamChoice const& aChoice)
  {
    base::Endpoint const loader{ aChoice.m_endpoint.m_address, m_state.m_profile.m_peerPort };
    auto const& query = m_context.m_query;
    agent::AdapterRequest const message{ *query.m_model, *query.m_adapter };
    m_state.m_messenger.Send(loader, message);
  }

  GatewayState& m_state;
  RequestContext const& m_context;
  RequestRecord& m_record;
  base::Cancellation const& m_cancellation;
  bool m_isHeldBack = false;
};

} // namespace sardinefold::programs
