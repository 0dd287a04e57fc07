#pragma once

#include "Base/Cancellation.h"
#include "Base/Log.h"
#include "Caller/WaitPolicy.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>

namespace sardinefold::programs {

/// Selects the upstream for one request, and waits while its model is being
/// loaded or its adapter fetched.
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
    std::optional<engine::WaitTicket> ticket;
    std::optional<engine::UpstreamChoice> result;
    // When another load of the model was expected to end at the first refusal.
    std::optional<base::Instant> loadedAt;
    // The end of the wait bounds waiting only: a usable upstream is chosen until the
    // request's deadline.
    while (!m_cancellation.IsCancelled() && Now() < m_context.m_end) {
      if (m_state.m_suspectParts.FindRefused(m_context.m_request.m_sharedParts, Now())) {
        break;
      }
      auto const found = m_state.m_directory.Find(m_context.m_query, Now());
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
      if (absence == engine::UpstreamAbsence::BackingOff) {
        if (ticket) {
          // The model is loaded, so the planner need not load it for this request.
          m_state.m_demand.StopWaiting(*m_context.m_query.m_model, *ticket);
          ticket.reset();
        }
        auto const waitEnd = BackoffWaitEnd(policy, loadedAt);
        if (!waitEnd || Now() >= *waitEnd) {
          break;
        }
        co_await m_state.ModelSignal(*m_context.m_query.m_model).Wait(*waitEnd - Now());
        continue;
      }
      if (absence != engine::UpstreamAbsence::ModelNotLoaded || Now() >= WaitEnd(policy) ||
          !policy.MayWait(m_state.ForecastFor(m_context.m_query.m_model), Now())) {
        break;
      }
      if (!ticket) {
        ticket = StartWaiting(policy);
      }
      co_await m_state.ModelSignal(*m_context.m_query.m_model).Wait(WaitEnd(policy) - Now());
    }
    if (ticket) {
      m_state.m_demand.StopWaiting(*m_context.m_query.m_model, *ticket);
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
    auto const forecast = m_state.ForecastFor(m_context.m_query.m_model);
    auto const opensAt = m_state.m_directory.BackoffEndFor(m_context.m_query, Now());
    if (!aLoadedAt) {
      aLoadedAt = forecast && aPolicy.MayWait(forecast, Now()) ? forecast->m_readyAt : Now();
    }
    return opensAt ? std::optional(std::min({ *aLoadedAt, *opensAt, WaitEnd(aPolicy) }))
                   : std::nullopt;
  }

  engine::WaitTicket StartWaiting(caller::WaitPolicy const& aPolicy)
  {
    auto const& model = *m_context.m_query.m_model;
    auto const forecast = m_state.ForecastFor(model);
    auto const millisecondsUntil = [this](base::Instant aTime) {
      return std::to_string(base::ToMilliseconds(aTime - Now()));
    };
    base::log::Info("request waits for its model",
                    { { "request", m_context.m_request.m_id.Text() },
                      { "model", model.Text() },
                      { "ready_in_ms", forecast ? millisecondsUntil(forecast->m_readyAt) : "" },
                      { "told_ms", forecast ? millisecondsUntil(forecast->m_reportedAt) : "" },
                      { "given_up_in_ms", millisecondsUntil(WaitEnd(aPolicy)) } });
    return m_state.m_demand.StartWaiting(model, RequestWeight(),
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
};

} // namespace sardinefold::programs
