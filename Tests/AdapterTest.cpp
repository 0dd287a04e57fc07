#define BOOST_TEST_MODULE Adapter
#include "Caller/CatalogIndex.h"
#include "platform/NodeSettings.h"
#include "platform/Wire.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using platform::Wire;

namespace {

constexpr char kSettings[] = R"(
nodeName: "side-a-1"
zone: "a"
ip: "10.1.0.26"
listenAddrs:
  front: "10.1.0.25:8221"
  ready: "10.1.0.25:8224"
innerPortRange:
  - 7600
  - 7615
platform:
  address: "10.200.1.7:8225"
app: "10.1.0.26:8228"
service: "huvo11a"
heartbeatMs: 900
bounds:
  drainMs: 2500
  graceS: 8
  retrySlack: 52
somethingNew:
  deep: [1, 2]
)";

constexpr char kCatalog[] = R"({
  "version": 7,
  "routes": [
    {"name": "r-1", "host": "Site.example", "pathPrefix": "/a/", "kind": "streaming",
     "timeoutMs": 15000, "goalMs": 600, "priority": 2, "service": "llm", "maxAttempts": 2,
     "public": false, "sticky": true, "resumable": true, "gapTargetMs": 300},
    {"name": "r-2", "host": "site.example", "pathPrefix": "/a/b/", "kind": "unsafe",
     "timeoutMs": 800, "goalMs": 150,
     "split": [{"service": "desk", "weight": 90}, {"service": "desk-2", "weight": 10}]},
    {"name": "r-3", "host": "site.example", "pathPrefix": "/c/", "kind": "safe", "service": "desk"}],
  "services": [
    {"name": "llm", "healthPath": "/health", "maxConns": 360,
     "engine": {"slots": 64, "kvCapacity": 1000, "weightsMb": 220000.0, "adapterSlots": 8,
                "models": [{"name": "m1", "weightsMb": 65099.99, "loadS": 6.0, "warmS": 0.76,
                            "diskS": 0.99, "adapterMb": 12.0}]}},
    {"name": "desk", "healthPath": "/health"}],
  "tenants": [
    {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1, "unit": "token_stream",
     "plainTokens": 200, "ratePerS": 100, "burst": 300}],
  "limits": {"headerBytes": 16384, "bodyBytes": 1000, "headerTimeoutMs": 3000,
             "idleTimeoutMs": 15000}})";

operators::ServingCatalog Catalog()
{
  auto catalog = Wire::DecodeCatalog(kCatalog);
  BOOST_REQUIRE(catalog.has_value());
  return std::move(*catalog);
}

constexpr char kUpstream[] = R"({"service":"llm","address":"10.1.0.9:8080","zone":"a",
  "version":"v1","slots":64,"state":"ready","born":123,"coldLeftMs":0,
  "models":[{"name":"m1","version":1,"adapters":["a1"]}],"seqNo":4,
  "atHand":{"inMemory":["m1"],"onDisk":["m1","m2"]}})";

base::HttpRequest CallerRequest()
{
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/a/x?y=1";
  for (auto const& [name, value] : std::initializer_list<std::pair<char const*, char const*>>{
         { "Host", "site.example:80" },
         { "Request-Id", "r1" },
         { "Deadline-Ms", "15000" },
         { "Authorization", "Bearer k1" },
         { "Tenant", "forged" },
         { "Hold", "h" },
         { "Pin-Ms", "5" },
         { "Kv-From", "1.2.3.4:5/x" },
         { "Kv-Backup", "1.2.3.4:5" },
         { "Connection", "Model, X-Private" },
         { "X-Private", "p" },
         { "X-Kept", "k" },
         { "Model", "m1/a3" },
         { "Token-Count", "1460,80" },
         { "Prompt-Prefix", "5c:800,91bd:410,e4:250" } }) {
    request.m_headers.Add(name, value);
  }
  request.m_body = "body";
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsTheSettingsOfAHost)
{
  auto const profile = platform::ParseNodeSettings(kSettings);
  BOOST_REQUIRE(profile.has_value());
  BOOST_TEST(profile->m_host.Text() == "side-a-1");
  BOOST_TEST(profile->m_peerPort == 7600);
  BOOST_TEST(profile->m_objectStore.Text() == "10.200.1.7:8225");
  BOOST_TEST(profile->m_engine->Text() == "10.1.0.26:8228");
  BOOST_TEST((profile->m_bounds.m_maximumDrainDelay == std::chrono::milliseconds(2500)));
  BOOST_TEST((profile->m_bounds.m_heartbeatInterval == std::chrono::milliseconds(900)));
  BOOST_TEST(profile->m_bounds.m_retryAllowance == 52);
  // Without the setting the site has no evacuations.
  BOOST_TEST(!profile->m_bounds.m_maximumEvacuationDelay.has_value());
  std::string withEvacuations(kSettings);
  withEvacuations.replace(withEvacuations.find("  retrySlack"), 0, "  evacMs: 4500\n");
  auto const evacuating = platform::ParseNodeSettings(withEvacuations);
  BOOST_REQUIRE(evacuating.has_value());
  BOOST_TEST((evacuating->m_bounds.m_maximumEvacuationDelay == std::chrono::milliseconds(4500)));
}

BOOST_AUTO_TEST_CASE(NamesTheSettingThatIsMissing)
{
  auto const profile = platform::ParseNodeSettings("nodeName: x\nzone: a\nip: 10.0.0.1\n");
  BOOST_REQUIRE(!profile.has_value());
  BOOST_TEST(profile.error().find("innerPortRange") != std::string::npos);
  BOOST_TEST(!platform::ParseNodeSettings("[1, 2").has_value());
  BOOST_TEST(!platform::ParseNodeSettings("").has_value());
}

BOOST_AUTO_TEST_CASE(DecodesTheCatalog)
{
  auto const catalog = Catalog();
  BOOST_TEST(catalog.m_version.Value() == 7U);
  BOOST_REQUIRE(catalog.m_routes.size() == 3U);
  auto const& stream = catalog.m_routes[0];
  BOOST_TEST((stream.m_repeatability == operators::Repeatability::Stream));
  BOOST_TEST(stream.m_isResumable);
  BOOST_TEST(stream.MayRepeat());
  BOOST_TEST((stream.m_pause == std::chrono::milliseconds(300)));
  BOOST_TEST(catalog.m_routes[1].m_targets.size() == 2U);
  BOOST_TEST(!catalog.m_routes[1].MayRepeat());
  auto const& engine = *catalog.m_deployments.at(base::DeploymentId::FromValidated("llm")).m_engine;
  BOOST_TEST(engine.m_adapterSlots == 8U);
  BOOST_TEST((engine.m_models.begin()->second.m_loadFromDisk == std::chrono::milliseconds(990)));
  BOOST_TEST(catalog.m_workspaces[0].m_defaultRequestTokens == base::Tokens(200));
  BOOST_TEST(catalog.m_limits.m_bodyBytes == base::Bytes(1000));
  BOOST_TEST(!Wire::DecodeCatalog("{}").has_value());
  BOOST_TEST(!Wire::DecodeCatalog("nonsense").has_value());
}

BOOST_AUTO_TEST_CASE(FindsTheLongestPrefixOfTheHost)
{
  caller::CatalogIndex const index(Catalog());
  auto const nameOf = [&](std::string_view aHost, std::string_view aPath) {
    auto const* const route = index.FindRoute(aHost, aPath);
    return route ? route->m_id.Text() : std::string("none");
  };
  BOOST_TEST(nameOf("site.example", "/a/x") == "r-1");
  BOOST_TEST(nameOf("SITE.example:8080", "/a/b/x") == "r-2");
  BOOST_TEST(nameOf("site.example", "/a/bx") == "r-1");
  BOOST_TEST(nameOf("site.example", "/a") == "none");
  BOOST_TEST(nameOf("other.example", "/a/x") == "none");
  BOOST_TEST(index.FindWorkspace("k2")->m_id.Text() == "t1");
  BOOST_TEST(index.FindWorkspace("K2") == nullptr);
}

BOOST_AUTO_TEST_CASE(DecodesAnUpstream)
{
  auto const entry = Wire::DecodeUpstream("i-1", kUpstream);
  BOOST_REQUIRE(entry.has_value());
  BOOST_TEST(entry->m_endpoint.Text() == "10.1.0.9:8080");
  BOOST_TEST(entry->m_startedAt == 123);
  BOOST_TEST(entry->m_version.Text() == "v1");
  BOOST_TEST(entry->m_models[0].m_adapters.size() == 1U);
  BOOST_TEST(entry->m_copies.m_onDisk.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AMalformedOrForgedUpstreamIsRejected)
{
  std::string const valid = kUpstream;
  auto const replaced = [&](std::string const& aFrom, std::string const& aTo) {
    auto text = valid;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  for (auto const& text :
       { std::string("{}"), std::string("[]"), std::string("null"), std::string("\"\\u0000\""),
         std::string("not json"), replaced("\"ready\"", "\"waiting\""), replaced("\"ready\"", "5"),
         replaced("\"slots\":64", "\"slots\":\"64\""), replaced("\"slots\":64", "\"slots\":-1"),
         replaced("\"born\":123", "\"born\":1.5"), replaced("10.1.0.9:8080", "10.1.0.9"),
         replaced("\"service\":\"llm\",", ""), replaced("\"zone\":\"a\"", "\"zone\":7"),
         replaced("\"v1\"", "7"), replaced("\"v1\"", "\"\"") }) {
    BOOST_TEST(!Wire::DecodeUpstream("i-1", text).has_value(), text);
  }
  BOOST_TEST(!Wire::DecodeUpstream("", valid).has_value());
}

BOOST_AUTO_TEST_CASE(DecodesAReportAndEncodesAnOrder)
{
  auto const report = Wire::DecodeReport(
    R"({"stage":"colocated","models":[{"name":"m1","adapters":[{"name":"a2"}]}],"busy":true,
        "seqNo":2,"queued":1,"running":12,"kvUsed":41000,"kvTotal":90000,"handles":0,
        "incoming":["m1/a3@1"],"atHand":{"inMemory":["m1"],"onDisk":[]}})");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->m_isBusy);
  BOOST_TEST(report->m_orders.Value() == 2U);
  BOOST_TEST(report->m_arrivingAdapters == 1U);
  BOOST_TEST(report->m_models[0].m_adapters.size() == 1U);
  BOOST_TEST(!Wire::DecodeReport("{}").has_value());
  engine::EngineOrderRequest order;
  order.m_model = base::ModelId::FromValidated("m1");
  order.m_adapter = base::AdapterId::FromValidated("a3");
  order.m_expected = base::OrderCount(2);
  order.m_holder = base::HostId::FromValidated("side-1");
  order.m_fence = base::FencingNumber(41);
  auto const request = Wire::EncodeOrder(order, engine::InstanceId::FromValidated("i-1"));
  BOOST_TEST(*request.m_headers.Find("Expect-Instance") == "i-1");
  BOOST_TEST(
    request.m_body ==
    R"({"adapter":"a3","expected":2,"fenceToken":41,"holder":"side-1","model":"m1","op":"load"})");
  BOOST_TEST((Wire::DecodeOrderResponse(409) == engine::OrderResponse::Conflict));
  BOOST_TEST((Wire::DecodeOrderResponse(500) == engine::OrderResponse::Unknown));
}

BOOST_AUTO_TEST_CASE(DecodesARequestAndForwardsOnlyEngineHeaders)
{
  auto const request = CallerRequest();
  auto const decoded = Wire::DecodeRequest(request);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->m_id.Text() == "r1");
  BOOST_TEST(*decoded->m_key == "k1");
  BOOST_TEST(decoded->m_model->m_adapter->Text() == "a3");
  BOOST_TEST(decoded->m_tokens->Total() == base::Tokens(1540));
  std::vector<base::PromptPartId> const shared{ base::PromptPartId::FromValidated("5c"),
                                                base::PromptPartId::FromValidated("91bd") };
  BOOST_TEST(decoded->m_sharedParts == shared, boost::test_tools::per_element());
  caller::ForwardParameters terms;
  terms.m_instance = engine::InstanceId::FromValidated("i-1");
  terms.m_timeLeft = std::chrono::milliseconds(900);
  terms.m_workspace = base::WorkspaceId::FromValidated("t1");
  terms.m_urgency = 2;
  auto const sent = Wire::EncodeForEngine(request, terms);
  BOOST_TEST(sent.m_target == "/a/x?y=1");
  // The body is sent from where it is; see RequestBodyTest.
  BOOST_TEST(sent.m_body.empty());
  BOOST_TEST(request.m_body == "body");
  for (auto const* const name :
       { "Authorization", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Connection", "X-Private" }) {
    BOOST_TEST(!sent.m_headers.Find(name).has_value(), name);
  }
  BOOST_TEST(*sent.m_headers.Find("Tenant") == "t1");
  BOOST_TEST(*sent.m_headers.Find("Deadline-Ms") == "900");
  BOOST_TEST(*sent.m_headers.Find("Expect-Instance") == "i-1");
  BOOST_TEST(*sent.m_headers.Find("Model") == "m1/a3");
  BOOST_TEST(*sent.m_headers.Find("X-Kept") == "k");
  BOOST_TEST(sent.m_headers.Count("Tenant") == 1U);
}

BOOST_AUTO_TEST_CASE(DecodesAllPromptPartsButTheLast)
{
  auto const partsOf = [](std::string aText) {
    auto request = CallerRequest();
    request.m_headers.Set("Prompt-Prefix", std::move(aText));
    auto const decoded = Wire::DecodeRequest(request);
    std::string parts;
    for (auto const& part : decoded->m_sharedParts) {
      parts += part.Text() + " ";
    }
    return parts;
  };
  BOOST_TEST(partsOf("5c:800") == "");
  BOOST_TEST(partsOf("") == "");
  // One part has one identifier, however it is written.
  BOOST_TEST(partsOf("00AB:1, ab:2,0:3,c:4") == "ab 0 ");
  BOOST_TEST(partsOf("x:1,:2,,ab c:3,5:6,7:8") == "5 ");
  BOOST_TEST(partsOf(std::string(33, 'a') + ":1," + std::string(32, 'b') + ":2,c:3") ==
             std::string(32, 'b') + " ");
  std::string many;
  for (int number = 0; number < 1'000; ++number) {
    many += std::to_string(number) + ":1,";
  }
  BOOST_TEST(partsOf(many) == "0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 ");
}

BOOST_AUTO_TEST_CASE(RefusesRequestsWithAmbiguousFraming)
{
  for (auto const* const name : { "Host", "Content-Length", "Transfer-Encoding" }) {
    auto request = CallerRequest();
    request.m_headers.Add(name, "chunked");
    request.m_headers.Add(name, "chunked");
    BOOST_TEST(!Wire::DecodeRequest(request).has_value(), name);
  }
  auto request = CallerRequest();
  request.m_headers.Add("Transfer-Encoding", "gzip, chunked");
  BOOST_TEST(!Wire::DecodeRequest(request).has_value());
}

BOOST_AUTO_TEST_CASE(DistinguishesEngineResponsesFromOthers)
{
  auto const id = base::RequestId::FromValidated("r1");
  base::HttpHeaders headers;
  headers.Add("Request-Id", "r1");
  headers.Add("Server-Seal", "s");
  BOOST_TEST(Wire::DecodeResponseHead(200, headers, id, true).m_isGenuine);
  BOOST_TEST(!Wire::DecodeResponseHead(200, headers, base::RequestId::FromValidated("r2"), true)
                .m_isGenuine);
  BOOST_TEST(Wire::DecodeResponseHead(421, headers, id, true).m_isNotRun);
  BOOST_TEST(!Wire::DecodeResponseHead(503, headers, id, true).m_isNotRun);
  headers.Add("Not-Executed", "1");
  BOOST_TEST(Wire::DecodeResponseHead(503, headers, id, true).m_isNotRun);
  headers.Add("Content-Encoding", "gzip");
  BOOST_TEST(Wire::DecodeResponseHead(200, headers, id, true).m_isEncoded);
  headers.Remove("Server-Seal");
  BOOST_TEST(!Wire::DecodeResponseHead(200, headers, id, true).m_isGenuine);
}

BOOST_AUTO_TEST_CASE(RefusalCarriesRetryAfter)
{
  auto const response = Wire::EncodeRefusal(
    503, "model not loaded", base::RequestId::FromValidated("r1"), std::chrono::milliseconds(1250));
  BOOST_TEST(*response.m_headers.Find("Retry-After") == "1.250");
  BOOST_TEST(*response.m_headers.Find("Request-Id") == "r1");
}

BOOST_AUTO_TEST_CASE(ReadsTheNumberOfAnEvent)
{
  BOOST_TEST(Wire::DecodeEventNumber("id: 12\ndata: x\n\n")->Value() == 12U);
  BOOST_TEST(Wire::DecodeEventNumber("weight-versions: 2\nid:7\r\ndata: id: 9\r\n")->Value() == 7U);
  BOOST_TEST(!Wire::DecodeEventNumber("data: id: 12\n\n").has_value());
  BOOST_TEST(!Wire::DecodeEventNumber("").has_value());
}

BOOST_AUTO_TEST_CASE(ReadsObjectsAndSkipsUnreadableOnes)
{
  using objectstore::ObjectKind;
  base::HttpResponse response;
  response.m_body = R"({"items":[{"metadata":{"name":"i-1","revision":5},"spec":{"a":1}},
                               {"metadata":{"name":"","revision":6},"spec":null}, 7],
                      "hasMore":true,"currentRev":9})";
  auto const list = platform::StoreCodec::DecodeList(ObjectKind::Upstream, response);
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->m_version.Value() == 9U);
  BOOST_REQUIRE(list->m_objects.size() == 1U);
  BOOST_TEST(list->m_objects[0].m_value == R"({"a":1})");
  response.m_body =
    R"({"events":[{"removed":true,"object":{"metadata":{"name":"i-1","revision":8}}}],
                      "currentRev":12})";
  auto const changes = platform::StoreCodec::DecodeChanges(ObjectKind::Upstream, response);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(std::holds_alternative<objectstore::ObjectDeleted>(changes->m_changes.at(0)));
  response.m_status = 410;
  BOOST_TEST((platform::StoreCodec::DecodeChanges(ObjectKind::Upstream, response).error().m_kind ==
              objectstore::ReadError::Kind::Compacted));
  response.m_status = 503;
  BOOST_TEST((platform::StoreCodec::DecodeWrite(response).error().m_kind ==
              objectstore::WriteError::Kind::NotApplied));
  response.m_status = 500;
  BOOST_TEST((platform::StoreCodec::DecodeWrite(response).error().m_kind ==
              objectstore::WriteError::Kind::Unknown));
}

// A count that overflows in sums would make the gateway's reports unreadable.
BOOST_AUTO_TEST_CASE(ACountOfTokensIsBounded)
{
  base::HttpRequest request;
  request.m_headers.Add("Host", "site.example");
  request.m_headers.Add("Request-Id", "r1");
  request.m_headers.Add("Token-Count", "9000000000000000000,9000000000000000000");
  auto const decoded = Wire::DecodeRequest(request);
  BOOST_REQUIRE(decoded);
  BOOST_REQUIRE(decoded->m_tokens);
  BOOST_TEST(decoded->m_tokens->Total().Value() == 2'000'000'000);
}

// Many HTTP libraries send a list in several field lines. Engines got the first line only.
BOOST_AUTO_TEST_CASE(AListInSeveralFieldLinesReachesTheEngineWhole)
{
  base::HttpRequest request{ "POST", "/chat/x", {}, "" };
  request.m_headers.Add("Request-Id", "r1");
  request.m_headers.Add("Model", "m1");
  request.m_headers.Add("Token-Count", "1460");
  request.m_headers.Add("Token-Count", "80");
  request.m_headers.Add("Prompt-Prefix", "5c:800");
  request.m_headers.Add("X-Other", "1");
  request.m_headers.Add("prompt-prefix", "91bd:410,e4:250");
  auto const decoded = Wire::DecodeRequest(request);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(decoded->m_tokens.has_value());
  BOOST_TEST(decoded->m_tokens->Total() == base::Tokens(1540));
  BOOST_TEST(decoded->m_sharedParts.size() == 2U);
  auto const sent = Wire::EncodeForEngine(request, {});
  BOOST_TEST(sent.m_headers.Count("Prompt-Prefix") == 1U);
  BOOST_TEST(*sent.m_headers.Find("Prompt-Prefix") == "5c:800,91bd:410,e4:250");
  BOOST_TEST(*sent.m_headers.Find("Token-Count") == "1460,80");
}

// These are no lists, so that an engine could take another line than the gateway did.
BOOST_AUTO_TEST_CASE(ARequestWithTwoIdsOrModelsIsMalformed)
{
  for (auto const* const name : { "Request-Id", "Model" }) {
    base::HttpRequest request{ "POST", "/chat/x", {}, "" };
    request.m_headers.Add("Request-Id", "r1");
    request.m_headers.Add("Model", "m1");
    BOOST_TEST(Wire::DecodeRequest(request).has_value());
    request.m_headers.Add(name, "other");
    BOOST_TEST(!Wire::DecodeRequest(request).has_value(), name);
  }
}
