#pragma once

#include "Base/Log.h"
#include "Engine/UpstreamNotice.h"
#include "Programs/Gateway/GatewayState.h"

#include <string>
#include <utility>

namespace sardinefold::programs {

/// Records that a start of an upstream leaves. Requests that are being prepared
/// for it choose again.
inline void RecordLeaving(GatewayState& aState, engine::UpstreamStart const& aStart,
                          engine::NoticeSource aSource)
{
  if (!aState.m_directory.OnLeaving(aStart, aSource, aState.m_loop.Now())) {
    return;
  }
  std::string const source(ToText(aSource));
  auto const bound = aState.m_profile.m_bounds.m_maximumDrainDelay;
  base::log::Info("upstream announced that it leaves",
                  { { "upstream", aStart.m_instance.Text() },
                    { "started_at", std::to_string(aStart.m_startedAt) },
                    { "source", source },
                    { "age_ms", "0" },
                    { "bound_ms", std::to_string(base::ToMilliseconds(bound)) } });
  aState.m_metrics
    .Counter("sardinefold_gateway_upstreams_leaving_total",
             "Upstreams that announced that they leave, by who read it.", { { "source", source } })
    .Increment();
}

/// Records that an upstream refused a request and wants none for some time.
/// Requests that wait or are being prepared for it choose again.
inline void RecordBackoff(GatewayState& aState, base::Duration aRetryAfter,
                          engine::UpstreamChoice const& aUpstream)
{
  auto const now = aState.m_loop.Now();
  if (!aState.m_directory.OnBackoff(aUpstream, aRetryAfter, now)) {
    return;
  }
  auto const bound = aState.m_directory.FindBackoff(aUpstream.Start())->m_end - now;
  base::log::Info("upstream wants no requests",
                  { { "upstream", aUpstream.m_instance.Text() },
                    { "started_at", std::to_string(aUpstream.m_startedAt) },
                    { "source", std::string(ToText(engine::NoticeSource::Response)) },
                    { "age_ms", "0" },
                    { "bound_ms", std::to_string(base::ToMilliseconds(bound)) } });
  aState.m_metrics
    .Counter("sardinefold_gateway_upstream_backoffs_total",
             "Times in which an upstream wanted no requests.")
    .Increment();
  aState.NotifyAll();
}

/// Takes what an upstream announced in the headers of a response.
inline void RecordNotice(GatewayState& aState, engine::UpstreamNotice const& aNotice,
                         engine::UpstreamChoice const& aUpstream)
{
  if (aNotice.m_retryAfter) {
    RecordBackoff(aState, *aNotice.m_retryAfter, aUpstream);
  }
  if (aNotice.m_isMalformed) {
    aState.m_metrics
      .Counter("sardinefold_gateway_malformed_notices_total",
               "Responses with an announcement that could not be decoded.")
      .Increment();
    aState.m_malformedNotice = aUpstream.m_instance;
  }
  if (aNotice.m_isLeaving) {
    RecordLeaving(aState, aUpstream.Start(), engine::NoticeSource::Response);
  }
}

/// Takes what an upstream said of its request limit in the headers of a response.
/// aIsGenuine if the response is proved to be the upstream's: no other one ends a limit.
inline void RecordRequestLimit(GatewayState& aState, engine::UpstreamNotice const& aNotice,
                               Attempt const& aAttempt, bool aIsGenuine)
{
  if (!aNotice.m_requestLimit && (!aIsGenuine || aNotice.m_isMalformed)) {
    return;
  }
  aState.m_directory.RequestLimits().OnResponse(aAttempt.m_upstream.Start(), aNotice.m_requestLimit,
                                                aAttempt.m_sentAt, aState.m_loop.Now());
}

/// Logs and counts the limits that have begun, changed or ended, and wakes the requests
/// that wait. To be called regularly.
inline void LogRequestLimits(GatewayState& aState, base::Instant aNow)
{
  auto& limiter = aState.m_directory.RequestLimits();
  auto const changes = limiter.TakeChanges(aNow);
  auto const toText = [](std::optional<base::RequestsPerSecond> aRate) {
    return aRate ? std::to_string(aRate->Value()) : "";
  };
  for (auto const& change : changes) {
    char const* const message = !change.m_now      ? "upstream names no request limit any more"
                                : !change.m_before ? "upstream names a request limit"
                                                   : "upstream changed its request limit";
    base::log::Info(message, { { "upstream", change.m_start.m_instance.Text() },
                               { "started_at", std::to_string(change.m_start.m_startedAt) },
                               { "source", std::string(ToText(change.m_source)) },
                               { "age_ms", std::to_string(base::ToMilliseconds(change.m_age)) },
                               { "limit_per_s", toText(change.m_now) },
                               { "before_per_s", toText(change.m_before) },
                               { "own_per_s", toText(change.m_ownRate) },
                               { "granted", change.m_isGranted ? "true" : "false" } });
  }
  // A limit that began and ended since the last call is no change.
  aState.m_metrics
    .Gauge("sardinefold_gateway_request_limits", "Upstreams that name a request limit.")
    .Set(static_cast<double>(limiter.CountLimits()));
  if (!changes.empty()) {
    aState.NotifyAll();
  }
}

/// Logs the announcements that have ended. To be called regularly.
inline void LogEndedNotices(GatewayState& aState, base::Instant aNow)
{
  for (auto const& end : aState.m_directory.TakeBackoffEnds()) {
    auto const milliseconds = [](base::Duration aTime) {
      return std::to_string(base::ToMilliseconds(aTime));
    };
    bool const isAnswered = end.m_reason == engine::BackoffEnd::Reason::TrialAnswered;
    base::log::Info("upstream takes requests again",
                    { { "upstream", end.m_start.m_instance.Text() },
                      { "started_at", std::to_string(end.m_start.m_startedAt) },
                      { "source", std::string(ToText(engine::NoticeSource::Response)) },
                      { "age_ms", milliseconds(aNow - end.m_backoff.m_learnedAt) },
                      { "bound_ms", milliseconds(end.m_backoff.m_end - end.m_backoff.m_learnedAt) },
                      { "reason", isAnswered ? "trial answered" : "gone" } });
  }
  for (auto const& end : aState.m_directory.TakeLeavingEnds()) {
    auto const age = aNow - end.m_notice.m_learnedAt;
    base::log::Info("upstream no longer leaves",
                    { { "upstream", end.m_start.m_instance.Text() },
                      { "started_at", std::to_string(end.m_start.m_startedAt) },
                      { "source", std::string(ToText(end.m_notice.m_source)) },
                      { "age_ms", std::to_string(base::ToMilliseconds(age)) },
                      { "reason", end.m_isRestart ? "started again" : "gone" } });
  }
}

/// Logs at most one malformed announcement of those since the last call.
inline void LogMalformedNotice(GatewayState& aState)
{
  if (auto const upstream = std::exchange(aState.m_malformedNotice, std::nullopt)) {
    base::log::Warning("announcement of an upstream is malformed",
                       { { "upstream", upstream->Text() } });
  }
}

} // namespace sardinefold::programs
