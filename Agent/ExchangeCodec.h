#pragma once

#include "Agent/ExchangeHead.h"
#include "Agent/Refusal.h"
#include "Base/Http/HttpMessage.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::agent {

inline constexpr char kOutcomeHeader[] = "Sardinefold-Outcome";
inline constexpr char kReasonHeader[] = "Sardinefold-Reason";
inline constexpr char kClockHeader[] = "Sardinefold-Clock";
inline constexpr char kIncarnationHeader[] = "Sardinefold-Incarnation";

/// The outcome that an agent states in its response.
enum class StatedOutcome
{
  Ran,
  NotRun,
  Unknown
};

/// The fields of an agent's response that describe its exchange.
struct ResponseHead
{
  StatedOutcome m_outcome = StatedOutcome::Unknown;
  /// Stable reason code; empty if the request ran.
  std::string m_reason;
  std::string m_correlation;
  base::IncarnationId m_incarnation;
  AgentClock m_clock;
};

/// A header field that is missing or malformed.
struct ExchangeError
{
  std::string m_field;
  std::string m_message;
};

/// Adds the header fields of the exchange head to a message.
void EncodeExchangeHead(ExchangeHead const& aHead, base::HttpHeaders& aHeaders);
/// Decodes the exchange head of a message. The error names the field.
tl::expected<ExchangeHead, ExchangeError> DecodeExchangeHead(base::HttpHeaders const& aHeaders);
/// Removes all header fields that only the processes of this system exchange,
/// except the ids of the request and the workspace, which upstreams may log.
void RemoveExchangeFields(base::HttpHeaders& aHeaders);

void EncodeResponseHead(ResponseHead const& aHead, base::HttpHeaders& aHeaders);
tl::expected<ResponseHead, ExchangeError> DecodeResponseHead(base::HttpHeaders const& aHeaders);

/// Parameters of the RPC method agent.exchange, whose result is an
/// ExchangeReport.
struct ExchangeQuery
{
  base::CorrelationId m_correlation;
  /// The start-by time that the exchange was sent with.
  AgentClock m_startBy;
  /// Whether to prevent the exchange from starting if it has not started.
  bool m_deny = false;
};
Json::Value EncodeExchangeQuery(ExchangeQuery const& aQuery);
tl::expected<ExchangeQuery, ExchangeError> DecodeExchangeQuery(Json::Value const& aValue);
Json::Value EncodeExchangeReport(ExchangeReport const& aReport);
tl::expected<ExchangeReport, ExchangeError> DecodeExchangeReport(Json::Value const& aValue);

} // namespace sardinefold::agent
