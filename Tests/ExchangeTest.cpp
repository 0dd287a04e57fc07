#define BOOST_TEST_MODULE Exchange
#include "Agent/ExchangeCodec.h"
#include "Agent/ExchangeRegistry.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using agent::ExchangeRegistry;
using agent::ExchangeState;

namespace {

constexpr base::Instant kStart{ 1000s };

agent::ExchangeHead Head(std::string aCorrelation, base::Instant aStartBy = kStart + 10s)
{
  agent::ExchangeHead head;
  head.m_correlation = base::CorrelationId::FromValidated(std::move(aCorrelation));
  head.m_request = base::RequestId::FromValidated("r1");
  head.m_workspace = base::WorkspaceId::FromValidated("w1");
  head.m_route = base::RouteId::FromValidated("chat");
  head.m_class = operators::RequestClass::Batch;
  head.m_model = base::ModelId::FromValidated("m1");
  head.m_firstByteLimit = 1500ms;
  head.m_incarnation = base::IncarnationId::FromValidated("i1");
  head.m_startBy = agent::ToAgentClock(aStartBy);
  head.m_tokens = base::Tokens(120);
  head.m_isRepeatable = true;
  head.m_fingerprint = base::FingerprintId::FromValidated("f1");
  return head;
}

ExchangeRegistry Registry()
{
  return ExchangeRegistry(base::IncarnationId::FromValidated("i1"));
}

} // namespace

BOOST_AUTO_TEST_CASE(HeadSurvivesEncoding)
{
  auto const head = Head("c1");
  base::HttpHeaders headers;
  agent::EncodeExchangeHead(head, headers);
  auto const decoded = agent::DecodeExchangeHead(headers);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->m_correlation == head.m_correlation);
  BOOST_TEST(decoded->m_workspace == head.m_workspace);
  BOOST_TEST((decoded->m_class == head.m_class));
  BOOST_TEST((decoded->m_firstByteLimit == head.m_firstByteLimit));
  BOOST_TEST(decoded->m_startBy == head.m_startBy);
  BOOST_TEST(decoded->m_tokens == head.m_tokens);
  BOOST_TEST(decoded->m_isRepeatable);
  BOOST_TEST(decoded->m_claim.IsEmpty());
  agent::RemoveExchangeFields(headers);
  BOOST_TEST(headers.Fields().size() == 2U);
}

BOOST_AUTO_TEST_CASE(MalformedHeadNamesTheField)
{
  struct Case
  {
    char const* m_field;
    char const* m_value;
  };
  constexpr std::array kCases{ Case{ "Sardinefold-Class", "urgent" },
                               Case{ "Sardinefold-Deadline", "-1" },
                               Case{ "Sardinefold-Deadline", "86400001" },
                               Case{ "Sardinefold-Start-By", "soon" },
                               Case{ "Sardinefold-Tokens", "9999999999999999999" },
                               Case{ "Sardinefold-Repeatable", "yes" },
                               Case{ "Sardinefold-Request", "a b" } };
  for (auto const& malformed : kCases) {
    base::HttpHeaders headers;
    agent::EncodeExchangeHead(Head("c1"), headers);
    headers.Set(malformed.m_field, malformed.m_value);
    auto const decoded = agent::DecodeExchangeHead(headers);
    BOOST_REQUIRE(!decoded);
    BOOST_TEST(decoded.error().m_field == malformed.m_field);
  }
}

BOOST_AUTO_TEST_CASE(UnseenExchangeIsDeniedPermanently)
{
  auto registry = Registry();
  auto const head = Head("c1");
  auto const report = registry.Query(head.m_correlation, head.m_startBy, true, kStart);
  BOOST_TEST((report.m_state == ExchangeState::Denied));
  BOOST_TEST((registry.Begin(head, kStart + 1s) == ExchangeRegistry::Admission::Denied));
  BOOST_TEST(!registry.Start(head.m_correlation));
}

BOOST_AUTO_TEST_CASE(WaitingExchangeCanBeDeniedAndStartedOneCannot)
{
  auto registry = Registry();
  auto const waiting = Head("c1");
  auto const started = Head("c2");
  registry.Begin(waiting, kStart);
  registry.Begin(started, kStart);
  BOOST_TEST(registry.Start(started.m_correlation));
  auto const first = registry.Query(waiting.m_correlation, waiting.m_startBy, true, kStart);
  auto const second = registry.Query(started.m_correlation, started.m_startBy, true, kStart);
  BOOST_TEST((first.m_state == ExchangeState::Denied));
  BOOST_TEST((second.m_state == ExchangeState::Running));
  BOOST_TEST(!registry.Start(waiting.m_correlation));
  registry.OnHead(started.m_correlation);
  registry.OnWritten(started.m_correlation, base::Bytes(7));
  registry.End(started.m_correlation, kStart);
  auto const ended = registry.Query(started.m_correlation, started.m_startBy, true, kStart);
  BOOST_TEST((ended.m_state == ExchangeState::Ended));
  BOOST_TEST(ended.m_written == base::Bytes(7));
  BOOST_TEST(ended.m_hasHead);
}

BOOST_AUTO_TEST_CASE(RepeatedExchangeIsADuplicate)
{
  auto registry = Registry();
  registry.Begin(Head("c1"), kStart);
  BOOST_TEST((registry.Begin(Head("c1"), kStart) == ExchangeRegistry::Admission::Duplicate));
}

BOOST_AUTO_TEST_CASE(ExpiredExchangeIsNeverReportedAsNotRun)
{
  auto registry = Registry();
  auto const head = Head("c1");
  registry.Begin(head, kStart);
  registry.Start(head.m_correlation);
  registry.End(head.m_correlation, kStart + 1s);
  registry.DiscardExpired(kStart + 10min);
  BOOST_TEST(registry.Size() == 0U);
  auto const report = registry.Query(head.m_correlation, head.m_startBy, true, kStart + 10min);
  BOOST_TEST((report.m_state == ExchangeState::Expired));
}

BOOST_AUTO_TEST_CASE(DenialOutlivesTheStartDeadline)
{
  auto registry = Registry();
  auto const head = Head("c1", kStart + 1h);
  registry.Query(head.m_correlation, head.m_startBy, true, kStart);
  BOOST_TEST((registry.Begin(head, kStart + 50min) == ExchangeRegistry::Admission::Denied));
}
