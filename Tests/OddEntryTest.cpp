#define BOOST_TEST_MODULE OddEntry
#include "Agent/Fleet/FleetCodec.h"
#include "Base/Json.h"
#include "platform/NodeSettings.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// A single entry of another writer must not cost the reader the rest of the list:
// one value that cannot be parsed or converted used to make the whole response
// malformed, was narrowed without notice, or raised an exception.

using namespace sardinefold;
using objectstore::ObjectKind;
using platform::StoreCodec;
using platform::Wire;
using tests::SiteFixture;
using namespace std::chrono_literals;

namespace {

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Values that no field of an entry may have.
std::vector<std::string> const kOddValues = {
  Nested(100),
  Nested(300'000),
  "1e999",
  "-1e999",
  "1e300",
  "-1",
  "2.5",
  "4294967296",
  "9223372036854775808",
  "18446744073709551616",
  "NaN",
  "Infinity",
  "\"\\ud800\"",
  "\"\\x\"",
  "\"\xff\xfe\"",
  "\"\x01\"",
  "[{}]",
  "{\"a\":1,\"a\":2}",
  "true",
  "\"text\"",
  "\"" + std::string(100'000, 'x') + "\"",
};

std::vector<std::string> const kOddAddresses = { "10.0.0.1:0",
                                                 "10.0.0.1:-1",
                                                 "10.0.0.1:65536",
                                                 "10.0.0.1:70000",
                                                 "10.0.0.1:99999",
                                                 "10.0.0.1:",
                                                 "10.0.0.1",
                                                 ":80",
                                                 "" };

std::string Spec(std::string const& aFields = "")
{
  return R"({"service":"llm","address":"10.0.0.1:80","zone":"a","state":"ready","slots":8)" +
         aFields + "}";
}

std::string Entry(std::string const& aName, std::string const& aSpec)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":7},"spec":)" + aSpec + "}";
}

base::HttpResponse Response(std::string aBody)
{
  return base::JsonResponse(200, std::move(aBody));
}

base::HttpResponse List(std::string const& aItems, bool aHasMore = false)
{
  return Response(R"({"items":[)" + aItems + R"(],"hasMore":)" + (aHasMore ? "true" : "false") +
                  R"(,"currentRev":9})");
}

std::size_t CountUpstreams(std::vector<objectstore::Object> const& aObjects)
{
  return static_cast<std::size_t>(std::ranges::count_if(aObjects, [](auto const& aObject) {
    return Wire::DecodeUpstream(aObject.m_key.m_name.Text(), aObject.m_value).has_value();
  }));
}

/// Specs that name no upstream.
std::vector<std::string> OddSpecs()
{
  auto specs = kOddValues;
  for (auto const& value : kOddValues) {
    specs.push_back(
      R"({"service":"llm","address":"10.0.0.1:80","zone":"a","state":"ready","slots":)" + value +
      "}");
  }
  for (auto const& address : kOddAddresses) {
    specs.push_back(R"({"service":"llm","zone":"a","state":"ready","slots":8,"address":")" +
                    address + "\"}");
  }
  return specs;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnOddEntryLeavesTheOthersOfItsPageInTheList)
{
  for (auto const& spec : OddSpecs()) {
    auto const items = Entry("i-1", Spec()) + "," + Entry("i-2", spec) + "," + Entry("i-3", Spec());
    auto const list = StoreCodec::DecodeList(ObjectKind::Upstream, List(items));
    BOOST_TEST_CONTEXT(spec.substr(0, 100))
    {
      BOOST_REQUIRE(list.has_value());
      // The odd entry stays known by its name, since it may replace a valid one.
      BOOST_TEST(list->m_objects.size() == 3U);
      BOOST_TEST(CountUpstreams(list->m_objects) == 2U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnOddEntryLeavesTheOtherChangesOfItsBatchInForce)
{
  for (auto const& spec : OddSpecs()) {
    auto const body = R"({"events":[{"object":)" + Entry("i-1", spec) +
                      R"(,"removed":false},{"object":)" + Entry("i-2", Spec()) +
                      R"(,"removed":false},{"object":)" + Entry("i-3", spec) +
                      R"(,"removed":true}],"currentRev":9})";
    auto const changes = StoreCodec::DecodeChanges(ObjectKind::Upstream, Response(body));
    BOOST_TEST_CONTEXT(spec.substr(0, 100))
    {
      BOOST_REQUIRE(changes.has_value());
      BOOST_REQUIRE(changes->m_changes.size() == 3U);
      BOOST_TEST(std::holds_alternative<objectstore::ObjectPut>(changes->m_changes[1]));
      BOOST_TEST(std::holds_alternative<objectstore::ObjectDeleted>(changes->m_changes[2]));
      BOOST_TEST(changes->m_version.Value() == 9U);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnEntryWithoutReadableNameNeitherEndsAListNorTheProcess)
{
  for (auto const& value : kOddValues) {
    for (auto const& item : { value, R"({"metadata":)" + value + "}",
                              R"({"metadata":{"name":)" + (value == "\"text\"" ? "1" : value) +
                                R"(,"revision":1}})" }) {
      auto const page = List(Entry("i-1", Spec()) + "," + item, true);
      auto const list = StoreCodec::DecodeList(ObjectKind::Upstream, page);
      BOOST_TEST_CONTEXT(item.substr(0, 100))
      {
        BOOST_REQUIRE(list.has_value());
        BOOST_TEST(CountUpstreams(list->m_objects) == 1U);
        auto const next = StoreCodec::EncodeNextPage(ObjectKind::Upstream, {}, page);
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->m_target.find_first_of(" \r\n\"") == std::string::npos);
      }
    }
  }
  // A page from which the list cannot continue must not be taken for the last one.
  BOOST_TEST(!StoreCodec::DecodeList(ObjectKind::Upstream, List("[]", true)).has_value());
}

BOOST_AUTO_TEST_CASE(AnIncompleteResponseOfTheStoreIsNoShorterList)
{
  auto const complete = List(Entry("i-1", Spec()) + "," + Entry("i-2", Spec())).m_body;
  for (std::size_t size = 0; size < complete.size(); ++size) {
    BOOST_TEST(!StoreCodec::DecodeList(ObjectKind::Upstream, Response(complete.substr(0, size)))
                  .has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnUpstreamEntryFitsIntoAMessageBetweenGateways)
{
  constexpr std::size_t kMaximumDatagramBytes = 60'000;
  for (auto const& value : kOddValues) {
    auto const entry = Entry("i-1", Spec(R"(,"note":)" + value));
    auto const list = StoreCodec::DecodeList(ObjectKind::Upstream, List(entry));
    BOOST_REQUIRE(list.has_value());
    agent::StoreUpdate update;
    update.m_host = base::HostId::FromValidated("front-1");
    update.m_changes.m_changes.emplace_back(objectstore::ObjectPut{ list->m_objects.at(0) });
    auto const text = agent::EncodeFleetMessage(agent::FleetMessage(update));
    BOOST_TEST(text.size() < kMaximumDatagramBytes);
    BOOST_TEST(agent::DecodeFleetMessage(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnOddObjectOfTheFleetIsReadWithoutItsValue)
{
  for (auto const& value : kOddValues) {
    auto const text = Entry("side-1", R"({"writeNonce":"n","value":)" + value + "}");
    auto const object = StoreCodec::DecodeObject(ObjectKind::Agent, Response(text));
    BOOST_REQUIRE(object.has_value());
    BOOST_TEST(object->m_version.Value() == 7U);
    BOOST_TEST(StoreCodec::DecodeWrite(Response(text)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ACatalogWithAnOddNumberIsRejected)
{
  auto const valid = base::RenderJson(standins::SiteConfiguration(1));
  BOOST_REQUIRE(Wire::DecodeCatalog(valid).has_value());
  for (std::string const field : { "timeoutMs", "maxAttempts", "loadS", "kvCapacity", "slots",
                                   "ratePerS", "plainTokens", "idleTimeoutMs", "bodyBytes" }) {
    auto const start = valid.find("\"" + field + "\":") + field.size() + 3;
    auto const end = valid.find_first_of(",}", start);
    BOOST_REQUIRE(end != std::string::npos);
    for (std::string const value :
         { "1e999", "1e300", "-1", "18446744073709551616", "\"x\"", "[]" }) {
      auto const text = valid.substr(0, start) + value + valid.substr(end);
      BOOST_TEST(!Wire::DecodeCatalog(text).has_value(), field << " " << value);
    }
  }
}

BOOST_AUTO_TEST_CASE(AFractionOfAMillisecondMakesNoCatalogUnusable)
{
  auto text = base::RenderJson(standins::SiteConfiguration(1));
  std::string const idle = "\"idleTimeoutMs\":5000";
  auto const start = text.find(idle);
  BOOST_REQUIRE(start != std::string::npos);
  text.replace(start, idle.size(), "\"idleTimeoutMs\":2500.5");
  auto const catalog = Wire::DecodeCatalog(text);
  BOOST_REQUIRE(catalog.has_value());
  BOOST_TEST((catalog->m_limits.m_idleTimeout == std::chrono::microseconds(2'500'500)));
}

BOOST_AUTO_TEST_CASE(AReportWithAnOddNumberIsRejected)
{
  std::string const start = R"({"seqNo":2,"models":[],"running":1,"kvTotal":9)";
  BOOST_REQUIRE(Wire::DecodeReport(start + "}").has_value());
  for (std::string const field : { "queued", "kvUsed", "born" }) {
    for (std::string const value :
         { "1e999", "1e300", "-1", "18446744073709551616", "\"x\"", "[]" }) {
      auto report = start;
      report.append(",\"").append(field).append("\":").append(value).append("}");
      BOOST_TEST(!Wire::DecodeReport(report).has_value(), field << " " << value);
    }
  }
}

BOOST_AUTO_TEST_CASE(AMessageOfAPeerWithAnOddFieldIsAnErrorAndNoException)
{
  auto const host = base::HostId::FromValidated("h");
  auto const domain = base::FailureDomainId::FromValidated("a");
  auto const incarnation = base::IncarnationId::FromValidated("n");
  base::Endpoint const endpoint{ "127.0.0.1", 80 };
  agent::EngineStatus status;
  status.m_host = host;
  status.m_engine = endpoint;
  status.m_deployment = base::DeploymentId::FromValidated("llm");
  status.m_failureDomain = domain;
  agent::EngineHeartbeat heartbeat;
  heartbeat.m_host = host;
  heartbeat.m_engine = endpoint;
  agent::GatewayPresence presence;
  presence.m_host = host;
  presence.m_incarnation = incarnation;
  presence.m_failureDomain = domain;
  presence.m_planner = endpoint;
  agent::GatewayReport report;
  report.m_host = host;
  report.m_incarnation = incarnation;
  report.m_failureDomain = domain;
  agent::PlannerSummary summary;
  summary.m_allowance.m_epoch = "e";
  agent::StoreUpdate update;
  update.m_host = host;
  std::vector<std::string> texts;
  for (auto const& message :
       std::vector<agent::FleetMessage>{ status, heartbeat, presence, report, summary, update }) {
    texts.push_back(agent::EncodeFleetMessage(message));
    BOOST_REQUIRE(agent::DecodeFleetMessage(texts.back()).has_value());
  }
  for (auto const& text : texts) {
    for (auto colon = text.find(':'); colon != std::string::npos;
         colon = text.find(':', colon + 1)) {
      auto const end = text.find_first_of(",}]", colon);
      for (auto const& value : kOddValues) {
        auto const odd = text.substr(0, colon + 1) + value + text.substr(end);
        BOOST_CHECK_NO_THROW(static_cast<void>(agent::DecodeFleetMessage(odd)));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ASettingsFileWithAnOddValueIsAnErrorOrItsDefaultAndNoException)
{
  std::string const valid =
    "nodeName: front-1\nzone: a\nip: 127.0.0.1\ninnerPortRange: [9000, 9010]\n"
    "platform: {address: '127.0.0.1:80'}\n";
  BOOST_REQUIRE(platform::ParseNodeSettings(valid).has_value());
  for (auto const& value : kOddValues) {
    for (std::string const field : { "nodeName", "limits", "bounds", "listenAddrs", "app" }) {
      auto settings = valid;
      settings.append(field).append(": ").append(value).append("\n");
      BOOST_CHECK_NO_THROW(static_cast<void>(platform::ParseNodeSettings(settings)));
    }
    for (std::string const field : { "drainMs", "evacMs" }) {
      auto bounds = valid;
      bounds.append("bounds: {").append(field).append(": ").append(value).append("}\n");
      BOOST_CHECK_NO_THROW(static_cast<void>(platform::ParseNodeSettings(bounds)));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(AnOddEntryDoesNotStopTheGatewayFromFollowingTheList, SiteFixture)
{
  Run([&]() -> boost::asio::awaitable<void> {
    Json::Value odd;
    for (int depth = 0; depth < 200; ++depth) {
      Json::Value outer(Json::arrayValue);
      outer.append(std::move(odd));
      odd = std::move(outer);
    }
    m_store.Put("servers", "i-odd", odd);
    co_await m_loop.Sleep(300ms);
    SetFault(*m_service, "unlisted", true);
    co_await m_loop.Sleep(2s);
    auto request = Request("POST", "/order/x", "late");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST((response && response->m_status == 503));
    BOOST_TEST(RunsOf("late") == 0U);
  });
}
