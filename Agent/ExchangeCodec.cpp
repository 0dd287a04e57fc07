#include "Agent/ExchangeCodec.h"

#include "Base/CaseInsensitive.h"
#include "Base/Rpc/PeerAuthentication.h"

#include <array>
#include <charconv>
#include <limits>
#include <vector>

namespace sardinefold::agent {

namespace {

using base::HttpHeaders;

constexpr char kRequestHeader[] = "Sardinefold-Request";
constexpr char kWorkspaceHeader[] = "Sardinefold-Workspace";
constexpr char kRouteHeader[] = "Sardinefold-Route";
constexpr char kClassHeader[] = "Sardinefold-Class";
constexpr char kModelHeader[] = "Sardinefold-Model";
constexpr char kAdapterHeader[] = "Sardinefold-Adapter";
constexpr char kDeadlineHeader[] = "Sardinefold-Deadline";
constexpr char kStartByHeader[] = "Sardinefold-Start-By";
constexpr char kTokensHeader[] = "Sardinefold-Tokens";
constexpr char kRepeatableHeader[] = "Sardinefold-Repeatable";
constexpr char kIdempotencyHeader[] = "Sardinefold-Idempotency";
constexpr char kFingerprintHeader[] = "Sardinefold-Fingerprint";

/// Longest time that a peer may name, so that no sum of times overflows.
constexpr std::int64_t kMaxMilliseconds = 24LL * 60 * 60 * 1000;

using operators::RequestClass;

struct ClassName
{
  RequestClass m_class;
  std::string_view m_text;
};
constexpr std::array kClassNames{ ClassName{ RequestClass::Interactive, "interactive" },
                                  ClassName{ RequestClass::Standard, "standard" },
                                  ClassName{ RequestClass::Batch, "batch" } };

struct OutcomeName
{
  StatedOutcome m_outcome;
  std::string_view m_text;
};
constexpr std::array kOutcomeNames{ OutcomeName{ StatedOutcome::Ran, "ran" },
                                    OutcomeName{ StatedOutcome::NotRun, "not-run" },
                                    OutcomeName{ StatedOutcome::Unknown, "unknown" } };

struct StateName
{
  ExchangeState m_state;
  std::string_view m_text;
};
constexpr std::array kStateNames{ StateName{ ExchangeState::Unseen, "unseen" },
                                  StateName{ ExchangeState::Denied, "denied" },
                                  StateName{ ExchangeState::Running, "running" },
                                  StateName{ ExchangeState::Ended, "ended" },
                                  StateName{ ExchangeState::Expired, "forgotten" } };

/// Reads fields of one message and keeps the first error.
class FieldReader
{
public:
  explicit FieldReader(HttpHeaders const& aHeaders)
    : m_headers(aHeaders)
  {
  }

  std::optional<std::string_view> Required(char const* aField)
  {
    auto const value = m_headers.Find(aField);
    if (!value) {
      Fail(aField, "is missing");
    }
    return value;
  }

  template<typename Id>
  void ReadId(char const* aField, Id& aTarget, bool aIsRequired)
  {
    auto const value = aIsRequired ? Required(aField) : m_headers.Find(aField);
    if (!value) {
      return;
    }
    auto id = Id::Create(*value);
    if (!id) {
      Fail(aField, "is not an identifier");
      return;
    }
    aTarget = std::move(*id);
  }

  std::int64_t ReadCount(char const* aField, std::int64_t aMaximum)
  {
    auto const text = Required(aField);
    if (!text) {
      return 0;
    }
    std::int64_t count = 0;
    auto const parsed = std::from_chars(text->data(), text->data() + text->size(), count);
    bool const isValid = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
    if (!isValid || count < 0 || count > aMaximum) {
      Fail(aField, "is not a whole number from 0 to " + std::to_string(aMaximum));
      return 0;
    }
    return count;
  }

  template<typename Names>
  auto ReadName(char const* aField, Names const& aNames)
  {
    auto const text = Required(aField);
    for (auto const& name : aNames) {
      if (text == name.m_text) {
        return name;
      }
    }
    Fail(aField, "has a value that is not known");
    return aNames.front();
  }

  void Fail(char const* aField, std::string aMessage)
  {
    if (!m_error) {
      m_error = ExchangeError{ aField, std::move(aMessage) };
    }
  }

  std::optional<ExchangeError> const& Error() const { return m_error; }

private:
  HttpHeaders const& m_headers;
  std::optional<ExchangeError> m_error;
};

template<typename Id>
void AddId(HttpHeaders& aHeaders, char const* aField, Id const& aId)
{
  if (!aId.IsEmpty()) {
    aHeaders.Set(aField, aId.Text());
  }
}

template<typename Names, typename Matches>
std::string NameOf(Names const& aNames, Matches aMatches)
{
  for (auto const& name : aNames) {
    if (aMatches(name)) {
      return std::string(name.m_text);
    }
  }
  return {};
}

ExchangeError Malformed(std::string aField, std::string aMessage)
{
  return { std::move(aField), std::move(aMessage) };
}

} // namespace

void EncodeExchangeHead(ExchangeHead const& aHead, HttpHeaders& aHeaders)
{
  AddId(aHeaders, base::kCorrelationHeader, aHead.m_correlation);
  AddId(aHeaders, kRequestHeader, aHead.m_request);
  AddId(aHeaders, kWorkspaceHeader, aHead.m_workspace);
  AddId(aHeaders, kRouteHeader, aHead.m_route);
  aHeaders.Set(kClassHeader, NameOf(kClassNames, [&](ClassName const& aName) {
                 return aName.m_class == aHead.m_class;
               }));
  AddId(aHeaders, kModelHeader, aHead.m_model);
  AddId(aHeaders, kAdapterHeader, aHead.m_adapter);
  auto const deadline = base::ToMilliseconds(aHead.m_firstByteLimit);
  aHeaders.Set(kDeadlineHeader,
               std::to_string(std::clamp<std::int64_t>(deadline, 0, kMaxMilliseconds)));
  AddId(aHeaders, kIncarnationHeader, aHead.m_incarnation);
  aHeaders.Set(kStartByHeader, std::to_string(aHead.m_startBy.Value()));
  aHeaders.Set(kTokensHeader, std::to_string(aHead.m_tokens.Value()));
  aHeaders.Set(kRepeatableHeader, aHead.m_isRepeatable ? "true" : "false");
  AddId(aHeaders, kIdempotencyHeader, aHead.m_claim);
  AddId(aHeaders, kFingerprintHeader, aHead.m_fingerprint);
}

tl::expected<ExchangeHead, ExchangeError> DecodeExchangeHead(HttpHeaders const& aHeaders)
{
  constexpr auto kMaxCount = std::numeric_limits<std::int64_t>::max();
  FieldReader reader(aHeaders);
  ExchangeHead head;
  reader.ReadId(base::kCorrelationHeader, head.m_correlation, true);
  reader.ReadId(kRequestHeader, head.m_request, true);
  reader.ReadId(kWorkspaceHeader, head.m_workspace, false);
  reader.ReadId(kRouteHeader, head.m_route, true);
  head.m_class = reader.ReadName(kClassHeader, kClassNames).m_class;
  reader.ReadId(kModelHeader, head.m_model, false);
  reader.ReadId(kAdapterHeader, head.m_adapter, false);
  head.m_firstByteLimit =
    std::chrono::milliseconds(reader.ReadCount(kDeadlineHeader, kMaxMilliseconds));
  reader.ReadId(kIncarnationHeader, head.m_incarnation, true);
  head.m_startBy = AgentClock(reader.ReadCount(kStartByHeader, kMaxCount));
  head.m_tokens = base::Tokens(reader.ReadCount(kTokensHeader, kMaxCount));
  auto const repeatable = reader.Required(kRepeatableHeader);
  if (repeatable && *repeatable != "true" && *repeatable != "false") {
    reader.Fail(kRepeatableHeader, "is neither true nor false");
  }
  head.m_isRepeatable = repeatable == std::string_view("true");
  reader.ReadId(kIdempotencyHeader, head.m_claim, false);
  reader.ReadId(kFingerprintHeader, head.m_fingerprint, false);
  if (reader.Error()) {
    return tl::make_unexpected(*reader.Error());
  }
  return head;
}

void RemoveExchangeFields(HttpHeaders& aHeaders)
{
  std::vector<std::string> names;
  for (auto const& field : aHeaders.Fields()) {
    bool const isPeerField = base::StartsWithIgnoringCase(field.m_name, base::kPeerHeaderPrefix);
    bool const mayPass = base::EqualIgnoringCase(field.m_name, kRequestHeader) ||
                         base::EqualIgnoringCase(field.m_name, kWorkspaceHeader);
    if (isPeerField && !mayPass) {
      names.push_back(field.m_name);
    }
  }
  for (auto const& name : names) {
    aHeaders.Remove(name);
  }
}

void EncodeResponseHead(ResponseHead const& aHead, HttpHeaders& aHeaders)
{
  aHeaders.Set(kOutcomeHeader, NameOf(kOutcomeNames, [&](OutcomeName const& aName) {
                 return aName.m_outcome == aHead.m_outcome;
               }));
  if (!aHead.m_reason.empty()) {
    aHeaders.Set(kReasonHeader, aHead.m_reason);
  }
  aHeaders.Set(base::kCorrelationHeader, aHead.m_correlation);
  AddId(aHeaders, kIncarnationHeader, aHead.m_incarnation);
  aHeaders.Set(kClockHeader, std::to_string(aHead.m_clock.Value()));
}

tl::expected<ResponseHead, ExchangeError> DecodeResponseHead(HttpHeaders const& aHeaders)
{
  constexpr auto kMaxCount = std::numeric_limits<std::int64_t>::max();
  FieldReader reader(aHeaders);
  ResponseHead head;
  head.m_outcome = reader.ReadName(kOutcomeHeader, kOutcomeNames).m_outcome;
  head.m_reason = std::string(aHeaders.Find(kReasonHeader).value_or(""));
  head.m_correlation = std::string(reader.Required(base::kCorrelationHeader).value_or(""));
  reader.ReadId(kIncarnationHeader, head.m_incarnation, true);
  head.m_clock = AgentClock(reader.ReadCount(kClockHeader, kMaxCount));
  if (reader.Error()) {
    return tl::make_unexpected(*reader.Error());
  }
  return head;
}

Json::Value EncodeExchangeQuery(ExchangeQuery const& aQuery)
{
  Json::Value value(Json::objectValue);
  value["correlation"] = aQuery.m_correlation.Text();
  value["start_by"] = Json::Int64(aQuery.m_startBy.Value());
  value["deny"] = aQuery.m_deny;
  return value;
}

tl::expected<ExchangeQuery, ExchangeError> DecodeExchangeQuery(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["correlation"].isString()) {
    return tl::make_unexpected(Malformed("correlation", "is not a string"));
  }
  if (!aValue["deny"].isBool()) {
    return tl::make_unexpected(Malformed("deny", "is neither true nor false"));
  }
  if (!aValue["start_by"].isInt64()) {
    return tl::make_unexpected(Malformed("start_by", "is not a whole number"));
  }
  auto correlation = base::CorrelationId::Create(aValue["correlation"].asString());
  if (!correlation) {
    return tl::make_unexpected(Malformed("correlation", "is not an identifier"));
  }
  return ExchangeQuery{ std::move(*correlation), AgentClock(aValue["start_by"].asInt64()),
                        aValue["deny"].asBool() };
}

Json::Value EncodeExchangeReport(ExchangeReport const& aReport)
{
  Json::Value value(Json::objectValue);
  value["state"] =
    NameOf(kStateNames, [&](StateName const& aName) { return aName.m_state == aReport.m_state; });
  value["written"] = Json::Int64(aReport.m_written.Value());
  value["has_head"] = aReport.m_hasHead;
  value["incarnation"] = aReport.m_incarnation.Text();
  value["clock"] = Json::Int64(aReport.m_clock.Value());
  return value;
}

tl::expected<ExchangeReport, ExchangeError> DecodeExchangeReport(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["state"].isString()) {
    return tl::make_unexpected(Malformed("state", "is not a string"));
  }
  ExchangeReport report;
  bool isKnown = false;
  for (auto const& name : kStateNames) {
    if (aValue["state"].asString() == name.m_text) {
      report.m_state = name.m_state;
      isKnown = true;
    }
  }
  if (!isKnown) {
    return tl::make_unexpected(Malformed("state", "has a value that is not known"));
  }
  if (!aValue["written"].isInt64() || !aValue["clock"].isInt64()) {
    return tl::make_unexpected(Malformed("written, clock", "are not whole numbers"));
  }
  if (!aValue["has_head"].isBool() || !aValue["incarnation"].isString()) {
    return tl::make_unexpected(Malformed("has_head, incarnation", "have the wrong type"));
  }
  auto incarnation = base::IncarnationId::Create(aValue["incarnation"].asString());
  if (!incarnation) {
    return tl::make_unexpected(Malformed("incarnation", "is not an identifier"));
  }
  report.m_written = base::Bytes(aValue["written"].asInt64());
  report.m_hasHead = aValue["has_head"].asBool();
  report.m_incarnation = std::move(*incarnation);
  report.m_clock = AgentClock(aValue["clock"].asInt64());
  return report;
}

} // namespace sardinefold::agent
