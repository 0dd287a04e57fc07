#define BOOST_TEST_MODULE FleetMessages
#include "Agent/Fleet/FleetCodec.h"
#include "Agent/Fleet/FleetMulticast.h"
#include "Agent/Fleet/StoreUpdateAssembler.h"
#include "Programs/Gateway/EventBuffer.h"
#include "Programs/Gateway/PlannerSelector.h"
#include "Programs/Gateway/PoolSelector.h"
#include "Programs/Gateway/RequestLimitExchange.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::agent;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ std::chrono::seconds(1000) };
auto const kModel = base::ModelId::FromValidated("m1");

auto const kDomain = base::FailureDomainId::FromValidated("a");

objectstore::ObjectKey Key(std::string aName)
{
  return { objectstore::ObjectKind::Upstream,
           objectstore::ObjectName::FromValidated(std::move(aName)) };
}

/// Returns an update with the given number of objects and one deleted object.
StoreUpdate MakeUpdate(unsigned aObjects, std::size_t aValueBytes = 10)
{
  StoreUpdate update;
  update.m_host = base::HostId::FromValidated("front-1");
  update.m_from = base::ObjectVersion(10);
  update.m_changes.m_version = base::ObjectVersion(100);
  update.m_catalog = base::CatalogVersion(9);
  update.m_listAge = milliseconds(12);
  update.m_evacuations = { { base::ObjectVersion(99), { kDomain } }, milliseconds(40) };
  for (unsigned number = 0; number < aObjects; ++number) {
    update.m_changes.m_changes.emplace_back(
      objectstore::ObjectPut{ { Key("i-" + std::to_string(number)),
                                base::ObjectVersion(11 + number),
                                std::string(aValueBytes, 'x'),
                                {} } });
  }
  update.m_changes.m_changes.emplace_back(
    objectstore::ObjectDeleted{ Key("gone"), base::ObjectVersion(99) });
  return update;
}

/// Checks that a message that is encoded, decoded and encoded again gives the
/// same text.
void CheckRoundTrip(FleetMessage const& aMessage)
{
  auto const text = EncodeFleetMessage(aMessage);
  auto const decoded = DecodeFleetMessage(text);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->m_message.index() == aMessage.index());
  BOOST_TEST(EncodeFleetMessage(*decoded) == text);
}

} // namespace

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
  EngineStatus status;
  status.m_host = base::HostId::FromValidated("side-1");
  status.m_engine = { "10.0.0.1", 80 };
  status.m_deployment = base::DeploymentId::FromValidated("llm");
  status.m_failureDomain = base::FailureDomainId::FromValidated("a");
  status.m_models = { { kModel, { base::AdapterId::FromValidated("a1") } } };
  status.m_copies.m_onDisk = { kModel };
  status.m_change = { kModel, milliseconds(700), base::ModelId::FromValidated("m2") };
  status.m_running = 3;
  status.m_canOrder = true;
  CheckRoundTrip(status);
  status.m_leavingStart = 123;
  status.m_engineStart = 124;
  CheckRoundTrip(status);
  BOOST_TEST(EncodeFleetMessage(status).find(R"("leaving_start":123)") != std::string::npos);
  GatewayReport report;
  report.m_host = base::HostId::FromValidated("front-1");
  report.m_incarnation = base::IncarnationId::FromValidated("abc");
  report.m_failureDomain = kDomain;
  engine::WaitingDemand demand;
  demand.m_model = kModel;
  demand.m_waiting = 2;
  demand.m_timeToGoal = milliseconds(-20);
  demand.m_running = 4;
  report.m_demand = { demand };
  auto const workspace = base::WorkspaceId::FromValidated("t1");
  report.m_allowance.m_number = entry::AllowanceReportNumber(5);
  report.m_allowance.m_isJoining = true;
  report.m_allowance.m_isWhole = false;
  report.m_allowance.m_isLast = true;
  report.m_allowance.m_age = milliseconds(90);
  report.m_allowance.m_fleet = 4;
  report.m_allowance.m_catalog = base::CatalogVersion(9);
  report.m_allowance.m_grants = { { workspace,
                                    { { base::TokensPerSecond(12.5), base::Tokens(50) },
                                      base::Tokens(77),
                                      base::TokensPerSecond(30),
                                      base::Tokens(-4) } } };
  report.m_crashes = { { base::FingerprintId::FromValidated("77"),
                         base::UpstreamId::FromValidated("i-1"), milliseconds(30),
                         milliseconds(90) } };
  report.m_acquittals = { { base::FingerprintId::FromValidated("78"), milliseconds(20) } };
  report.m_storeAge = milliseconds(40);
  report.m_partCrashes = { { base::PromptPartId::FromValidated("91bd"),
                             base::UpstreamId::FromValidated("i-1"), milliseconds(30),
                             milliseconds(90) } };
  report.m_partAcquittals = { { base::PromptPartId::FromValidated("5c"), milliseconds(20) } };
  CheckRoundTrip(report);
  report.m_leaving = { { engine::InstanceId::FromValidated("i-1"), { "10.0.0.1", 80 }, 123 } };
  CheckRoundTrip(report);
  BOOST_TEST(EncodeFleetMessage(report).find(R"("leaving":[["i-1","10.0.0.1:80",123]])") !=
             std::string::npos);
  status.m_incarnation = base::IncarnationId::FromValidated("77ab");
  EngineHeartbeat const heartbeat{
    status.m_host, status.m_engine, status.m_incarnation, 7, 1, 2, true, 4
  };
  CheckRoundTrip(heartbeat);
  CheckRoundTrip(EngineDigest{ kDomain, { status }, { heartbeat, heartbeat } });
  CheckRoundTrip(EngineDigest{ kDomain, {}, {} });
  CheckRoundTrip(StatusRequest{ status.m_host });
  CheckRoundTrip(
    GatewayPresence{ report.m_host,
                     report.m_incarnation,
                     kDomain,
                     { "10.0.0.2", 7600 },
                     base::CatalogVersion(9),
                     77,
                     { { status.m_engine, { engine::InstanceId::FromValidated("i-1"), 123 } } },
                     base::StoreEra(3) });
  PlannerSummary summary;
  summary.m_gatewaysPresent = 4;
  summary.m_allowance = {
    "epoch",
    entry::AllowanceSummaryNumber(8),
    report.m_incarnation,
    entry::AllowanceReportNumber(5),
    4,
    3,
    milliseconds(700),
    { { workspace, { base::Tokens(-9), base::TokensPerSecond(30), base::Tokens(77) } } }
  };
  summary.m_forecasts = { { kModel, milliseconds(70) } };
  summary.m_neighbours = { { report.m_host, { "10.0.0.2", 7600 } } };
  summary.m_aggregators = { { kDomain, { { "10.0.0.2", 7600 }, { "10.0.0.3", 7600 } } } };
  summary.m_storeAge = milliseconds(30);
  summary.m_catalog = base::CatalogVersion(9);
  CheckRoundTrip(summary);
  summary.m_evacuations = { base::ObjectVersion(base::StoreEra(2), 77), { kDomain } };
  CheckRoundTrip(summary);
  report.m_evacuations = { base::ObjectVersion(78), {} };
  report.m_drained = report.m_leaving;
  CheckRoundTrip(report);
  engine::RequestLimitState const limit{ report.m_leaving[0], base::RequestsPerSecond(2.2),
                                         milliseconds(40) };
  report.m_requestLimits = { { limit, base::RequestsPerSecond(0.75), 3, 41 },
                             { { report.m_leaving[0], std::nullopt, milliseconds(7) }, {}, 0, 0 } };
  CheckRoundTrip(report);
  summary.m_requestLimits = { { limit, 41, 7 } };
  CheckRoundTrip(summary);
  CheckRoundTrip(PlannerNews{ report.m_crashes, report.m_leaving, report.m_drained,
                              report.m_partCrashes, report.m_partAcquittals, report.m_acquittals });
  GatewayPresence const member{ report.m_host,
                                report.m_incarnation,
                                kDomain,
                                { "10.0.0.2", 7600 },
                                base::CatalogVersion(9),
                                77,
                                {},
                                base::StoreEra(3) };
  CheckRoundTrip(DomainPresence{ kDomain,
                                 { { { "10.0.0.4", 7600 }, member } },
                                 { { "10.0.0.4", 7600 } },
                                 { { status.m_engine,
                                     { engine::InstanceId::FromValidated("i-1"), 123,
                                       base::SoftwareVersion::FromValidated("v1") } } } });
  CheckRoundTrip(MakeUpdate(2));
  CheckRoundTrip(SwapRequest{ kModel, { base::ModelId::FromValidated("m2") } });
  CheckRoundTrip(AdapterRequest{ kModel, base::AdapterId::FromValidated("a1") });
  auto const request = base::RequestId::FromValidated("r1");
  report.m_versionedDemand = { { { kModel, base::SoftwareVersion::FromValidated("v1") }, 3 } };
  CheckRoundTrip(report);
  summary.m_versionedForecasts = { { { kModel, base::SoftwareVersion::FromValidated("v1") },
                                     milliseconds(800) } };
  CheckRoundTrip(summary);
  status.m_version = base::SoftwareVersion::FromValidated("v1");
  CheckRoundTrip(status);
  StreamOrigin const origin{ request, base::DeploymentId::FromValidated("llm"),
                             base::SoftwareVersion::FromValidated("v1.1") };
  CheckRoundTrip(StreamOrigins{ { origin, { request, origin.m_deployment, {} } } });
  CheckRoundTrip(StreamOriginQuery{ request });
  CheckRoundTrip(StreamOriginReply{ request, origin });
  CheckRoundTrip(StreamOriginReply{ request, std::nullopt });
}

BOOST_AUTO_TEST_CASE(NewsOnPromptPartsIsOptionalAndComplete)
{
  std::string const start = R"({"method":"planner.news","params":{"deaths":[],"leaving":[])";
  auto const earlier = DecodeFleetMessage(start + "}}");
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST(std::get<PlannerNews>(earlier->m_message).m_partCrashes.empty());
  auto const decoded = DecodeFleetMessage(
    start +
    R"(,"part_deaths":[{"part":"9","upstream":"i-1","age_ms":3,"sent_age_ms":5}],"part_beginnings":[{"part":"7","age_ms":2}]}})");
  BOOST_REQUIRE(decoded.has_value());
  auto const& news = std::get<PlannerNews>(decoded->m_message);
  BOOST_REQUIRE(news.m_partCrashes.size() == 1U);
  BOOST_TEST((news.m_partCrashes[0].m_age == milliseconds(3)));
  BOOST_TEST((news.m_partCrashes[0].m_sentAge == milliseconds(5)));
  BOOST_REQUIRE(news.m_partAcquittals.size() == 1U);
  BOOST_TEST((news.m_partAcquittals[0].m_age == milliseconds(2)));
  BOOST_TEST(!DecodeFleetMessage(start + R"(,"part_deaths":[{"part":"9"}]}})").has_value());
}

BOOST_AUTO_TEST_CASE(CrashesReportedByAFormerBuildCount)
{
  auto const decoded = DecodeFleetMessage(
    R"({"method":"planner.news","params":{"deaths":[{"fingerprint":"7","upstream":"i-1","age_ms":3}],"leaving":[]}})");
  BOOST_REQUIRE(decoded.has_value());
  auto const& crashes = std::get<PlannerNews>(decoded->m_message).m_crashes;
  BOOST_REQUIRE(crashes.size() == 1U);
  CrashRegistry<base::FingerprintId> registry(CrashLimits::ForRequests(), 1);
  BOOST_TEST(registry.OnCrashReports(crashes, base::Instant(std::chrono::hours(1))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RequestLimitsAreOptionalAndBounded)
{
  PlannerSummary summary;
  summary.m_allowance.m_epoch = "e";
  auto const text = EncodeFleetMessage(summary);
  BOOST_TEST(text.find("request_limits") == std::string::npos);
  auto const with = [&text](std::string const& aList) {
    auto message = text;
    message.insert(message.find(R"("params":{)") + 10, R"("request_limits":)" + aList + ",");
    return DecodeFleetMessage(message);
  };
  BOOST_TEST(
    with(R"([["i","10.0.0.1:80",1,5,null,0,0],["j","10.0.0.2:80",1,5,0.5,12,3]])").has_value());
  for (auto const* const list :
       { R"({})", R"(7)", R"([7])", R"([["i","10.0.0.1:80",1,5,1,0]])",
         R"([["i","10.0.0.1:80",1,5,-1,0,0]])", R"([["i","10.0.0.1:80",1,5,1e300,0,0]])",
         R"([["i","10.0.0.1:80",1,5,"1",0,0]])", R"([["i","10.0.0.1:80",1,-5,1,0,0]])",
         R"([["i","10.0.0.1:80",1,5,1,-1,0]])", R"([["i","10.0.0.1:80",1,5,1,0,-1]])",
         R"([["i","10.0.0.1:80",1,5,1,0.5,0]])", R"([["i","",1,5,1,0,0]])" }) {
    BOOST_TEST(!with(list).has_value(), list);
  }
  engine::UpstreamStart const start{ engine::InstanceId::FromValidated("i"),
                                     { "10.0.0.1", 80 },
                                     1 };
  engine::RequestLimitGrant const grant{ { start, base::RequestsPerSecond(1e300), milliseconds(1) },
                                         1'000'000'000'000,
                                         4'000'000'000 };
  summary.m_requestLimits.assign(kMaximumRequestLimits + 1, grant);
  auto const decoded = DecodeFleetMessage(EncodeFleetMessage(summary));
  BOOST_REQUIRE(decoded.has_value());
  auto const& grants = std::get<PlannerSummary>(decoded->m_message).m_requestLimits;
  BOOST_TEST(grants.size() == kMaximumRequestLimits);
  BOOST_TEST(grants[0].m_total == grant.m_total);
  BOOST_TEST(EncodeFleetMessage(summary).size() < 30'000U);
}

namespace {

struct RecordingLimiter
{
  std::vector<engine::RequestLimitDemand> Demands(base::Instant) const
  {
    return {
      { { { engine::InstanceId::FromValidated("i"), { "10.0.0.1", 80 }, 1 }, {}, {} }, {}, 0, 0 }
    };
  }
  void OnPermits(std::vector<engine::RequestLimitPermits> const& aPermits, base::Instant)
  {
    m_permits += aPermits.at(0).m_permits;
  }

  unsigned m_permits = 0;
};

} // namespace

/// Permits that a late, repeated or first message names once more, or those of an earlier run
/// of the planner, would be used twice.
BOOST_AUTO_TEST_CASE(APermitIsTakenOnce)
{
  RecordingLimiter limiter;
  programs::RequestLimitExchange exchange;
  auto const receive = [&](char const* aEpoch, std::uint64_t aNumber, std::uint64_t aTotal) {
    PlannerSummary summary;
    summary.m_allowance.m_epoch = aEpoch;
    summary.m_allowance.m_number = entry::AllowanceSummaryNumber(aNumber);
    summary.m_requestLimits = { { limiter.Demands(kStart)[0].m_state, aTotal, 0 } };
    return exchange.OnSummary(limiter, summary, kStart);
  };
  auto const received = [&] { return exchange.DemandsToReport(limiter, kStart)[0].m_received; };
  BOOST_TEST(received() == 0U);
  BOOST_TEST(!receive("a", 7, 5));
  BOOST_TEST(received() == 5U);
  BOOST_TEST(receive("a", 9, 8));
  BOOST_TEST(limiter.m_permits == 3U);
  BOOST_TEST(!receive("a", 8, 9));
  BOOST_TEST(!receive("a", 9, 8));
  BOOST_TEST(limiter.m_permits == 3U);
  BOOST_TEST(!receive("b", 1, 20));
  BOOST_TEST(receive("b", 2, 21));
  BOOST_TEST(limiter.m_permits == 4U);
  BOOST_TEST(received() == 21U);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreErrors)
{
  for (
    auto const* const text :
    { "", "{}", "[]", "7", R"({"method":"engine.swap"})",
      R"({"method":"engine.swap","params":{"load":5,"unload":[]}})",
      R"({"method":"engine.swap","params":{"load":"m","unload":[""]}})",
      R"({"method":"gateway.report","params":{"host":"h","incarnation":"i","complete":true,"demand":[7],"allowance":{}}})",
      R"({"method":"planner.summary","params":{"present":-1,"allowance":{},"outlooks":{}}})",
      R"({"method":"engine.digest","params":{"failure_domain":"a","statuses":[],"alive":[[1]]}})",
      R"({"method":"engine.digest","params":{"failure_domain":"a","statuses":[{}],"alive":[]}})",
      R"({"method":"domain.presence","params":{"failure_domain":"a","gateways":[["10.0.0.1:80"]],"aggregators":[],"engines":[]}})",
      R"({"method":"domain.presence","params":{"failure_domain":"a","gateways":[],"aggregators":[7],"engines":[]}})",
      R"({"method":"planner.summary","params":{"present":1,"allowance":{"epoch":"e","number":1,"receiver":"","included":0,"fleet":1,"sharing":1,"filled_for_ms":1,"pools":{}},"outlooks":{},"neighbours":{},"aggregators":[]}})",
      R"({"method":"unheard.of","params":{}})" }) {
    BOOST_TEST(!DecodeFleetMessage(text).has_value(), text);
  }
}

/// A loader of the former build names no incarnation. An aggregator that passes its
/// heartbeat on must not make the whole digest unreadable.
BOOST_AUTO_TEST_CASE(AHeartbeatWithoutIncarnationIsReadAndPassedOn)
{
  auto const decoded = DecodeFleetMessage(
    R"({"method":"engine.alive","params":{"host":"h","engine":"10.0.0.1:80","number":3,"running":1,"waiting":0,"can_order":true,"gateways":2}})");
  BOOST_REQUIRE(decoded.has_value());
  auto const heartbeat = std::get<EngineHeartbeat>(decoded->m_message);
  BOOST_TEST(heartbeat.m_number == 3U);
  auto const digest =
    DecodeFleetMessage(EncodeFleetMessage(EngineDigest{ kDomain, {}, { heartbeat } }));
  BOOST_REQUIRE(digest.has_value());
  BOOST_REQUIRE(std::get<EngineDigest>(digest->m_message).m_heartbeats.size() == 1U);
}

/// Engines write their entries with each model that they load, several times within one
/// update. Sent in full to each neighbour, such an update overflowed the links.
BOOST_AUTO_TEST_CASE(AnUpdateHoldsTheLastChangeOfEachObject)
{
  StoreUpdate update = MakeUpdate(3);
  auto& changes = update.m_changes.m_changes;
  changes.emplace_back(
    objectstore::ObjectPut{ { Key("i-1"), base::ObjectVersion(101), "latest", {} } });
  changes.emplace_back(objectstore::ObjectDeleted{ Key("i-2"), base::ObjectVersion(102) });
  changes.emplace_back(
    objectstore::ObjectPut{ { Key("gone"), base::ObjectVersion(103), "back", {} } });
  auto const compact = WithoutSuperseded(update);
  BOOST_TEST((compact.m_from == update.m_from));
  BOOST_TEST((compact.m_changes.m_version == update.m_changes.m_version));
  BOOST_REQUIRE(compact.m_changes.m_changes.size() == 4U);
  auto const* const first = std::get_if<objectstore::ObjectPut>(&compact.m_changes.m_changes[0]);
  auto const* const second = std::get_if<objectstore::ObjectPut>(&compact.m_changes.m_changes[1]);
  auto const* const third =
    std::get_if<objectstore::ObjectDeleted>(&compact.m_changes.m_changes[2]);
  auto const* const fourth = std::get_if<objectstore::ObjectPut>(&compact.m_changes.m_changes[3]);
  BOOST_REQUIRE((first && second && third && fourth));
  BOOST_TEST((first->m_object.m_key.m_name == Key("i-0").m_name));
  BOOST_TEST(second->m_object.m_value == "latest");
  BOOST_TEST((third->m_key.m_name == Key("i-2").m_name));
  BOOST_TEST(fourth->m_object.m_value == "back");
}

BOOST_AUTO_TEST_CASE(EnvelopesCarryOriginAndReceivers)
{
  FleetEnvelope const envelope{ StatusRequest{ base::HostId::FromValidated("h") },
                                base::Endpoint{ "10.0.0.1", 7600 },
                                { { "10.0.0.2", 7600 }, { "10.0.0.3", 7600 } } };
  auto const decoded = DecodeFleetMessage(EncodeFleetMessage(envelope));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->m_origin == envelope.m_origin));
  BOOST_TEST((decoded->m_forwardTo == envelope.m_forwardTo));
}

BOOST_AUTO_TEST_CASE(AMulticastEntersEachOtherDomainOnceAndReachesAll)
{
  std::vector<MulticastReceiver> receivers;
  for (std::uint16_t number = 0; number < 40; ++number) {
    receivers.push_back(
      { { "10.0.0.1", number },
        base::FailureDomainId::FromValidated(std::string(1, "abcd"[number % 4])) });
  }
  std::set<base::Endpoint> relays;
  for (std::size_t turn = 0; turn < 10; ++turn) {
    auto const legs = PlanMulticast(kDomain, receivers, turn);
    // Ten receivers in the local domain, and one in each of the three others.
    BOOST_TEST(legs.size() == 13U);
    std::set<base::Endpoint> reached;
    for (auto const& leg : legs) {
      BOOST_TEST(reached.insert(leg.m_receiver).second);
      for (auto const& further : leg.m_forwardTo) {
        BOOST_TEST(reached.insert(further).second);
      }
      if (!leg.m_forwardTo.empty()) {
        relays.insert(leg.m_receiver);
      }
    }
    BOOST_TEST(reached.size() == 40U);
  }
  // The relays change from turn to turn, so that no single one is required.
  BOOST_TEST(relays.size() == 30U);
}

BOOST_AUTO_TEST_CASE(AnUpdateTooLargeForADatagramIsSplit)
{
  auto const parts = SplitStoreUpdate(MakeUpdate(60, 1'000));
  BOOST_TEST(parts.size() == 3U);
  StoreUpdateAssembler assembly;
  BOOST_TEST(!assembly.Add(parts[2]).has_value());
  BOOST_TEST(!assembly.Add(parts[0]).has_value());
  BOOST_TEST(!assembly.Add(parts[0]).has_value());
  auto const assembled = assembly.Add(parts[1]);
  BOOST_REQUIRE(assembled.has_value());
  BOOST_TEST(assembled->m_changes.m_changes.size() == 61U);
  for (auto const& part : parts) {
    BOOST_TEST(EncodeFleetMessage(part).size() < 60'000U);
  }
}

BOOST_AUTO_TEST_CASE(AnUpdateKeepsTheEraOfItsVersions)
{
  auto update = MakeUpdate(1);
  base::StoreEra const era(3);
  update.m_from = base::ObjectVersion(era, 10);
  update.m_changes.m_version = { era, 100 };
  std::get<objectstore::ObjectPut>(update.m_changes.m_changes[0]).m_object.m_version = { era, 11 };
  auto const text = EncodeFleetMessage(FleetMessage(update));
  auto const decoded = DecodeFleetMessage(text);
  BOOST_REQUIRE(decoded.has_value());
  auto const& received = std::get<StoreUpdate>(decoded->m_message);
  BOOST_TEST(received.m_from.value() == *update.m_from);
  BOOST_TEST(received.m_changes.m_version == update.m_changes.m_version);
  auto const& changes = received.m_changes.m_changes;
  BOOST_TEST(std::get<objectstore::ObjectPut>(changes[0]).m_object.m_version ==
             base::ObjectVersion(era, 11));
  BOOST_TEST(std::get<objectstore::ObjectDeleted>(changes[1]).m_version ==
             base::ObjectVersion(era, 99));
  // A peer of the former build sends no era.
  auto const former = DecodeFleetMessage(EncodeFleetMessage(FleetMessage(MakeUpdate(1))));
  BOOST_REQUIRE(former.has_value());
  BOOST_TEST(std::get<StoreUpdate>(former->m_message).m_changes.m_version ==
             base::ObjectVersion(100));
  for (std::string const malformed : { "\"3\"", "-3", "3.5", "null", "true", "[]" }) {
    auto odd = text;
    odd.replace(odd.find("\"era\":3"), 7, "\"era\":" + malformed);
    BOOST_TEST(!DecodeFleetMessage(odd).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ALatePartOfAnEarlierEraLeavesTheBatchOfTheLaterOne)
{
  auto later = MakeUpdate(60, 1'000);
  later.m_changes.m_version = { base::StoreEra(2), 100 };
  auto const earlier = SplitStoreUpdate(MakeUpdate(60, 1'000));
  auto const parts = SplitStoreUpdate(later);
  StoreUpdateAssembler assembly;
  BOOST_TEST(!assembly.Add(parts[0]).has_value());
  BOOST_TEST(!assembly.Add(earlier[1]).has_value());
  BOOST_TEST(!assembly.Add(parts[1]).has_value());
  auto const assembled = assembly.Add(parts[2]);
  BOOST_REQUIRE(assembled.has_value());
  BOOST_TEST(assembled->m_changes.m_changes.size() == 61U);
}

BOOST_AUTO_TEST_CASE(GatewaysSelectTheFirstReachableLoader)
{
  programs::PlannerSelector choice;
  BOOST_TEST(!choice.Planner(kStart).has_value());
  base::Endpoint const one{ "10.0.0.1", 7600 };
  base::Endpoint const two{ "10.0.0.2", 7600 };
  choice.OnLoader(base::HostId::FromValidated("b"), two, true, kStart);
  choice.OnLoader(base::HostId::FromValidated("a"), one, true, kStart);
  BOOST_TEST((choice.Planner(kStart) == one));
  choice.OnSummary(one, kStart + milliseconds(700));
  BOOST_TEST((choice.Planner(kStart + milliseconds(1'000)) == one));
  // A planner that does not respond is replaced, although its loader still reports.
  BOOST_TEST((choice.Planner(kStart + milliseconds(1'200)) == two));
  choice.OnSummary(two, kStart + milliseconds(1'500));
  choice.OnLoader(base::HostId::FromValidated("b"), two, false, kStart + milliseconds(1'500));
  BOOST_TEST(!choice.Planner(kStart + milliseconds(1'500)).has_value());
}

/// A gateway that wakes from a pause has summaries waiting in its socket. If it took its
/// own pause for the planner's silence, it would be alone at another planner, with the
/// allowance of one gateway, for seconds.
BOOST_AUTO_TEST_CASE(AGatewayThatWasPausedKeepsItsPlanner)
{
  programs::PlannerSelector choice;
  base::Endpoint const one{ "10.0.0.1", 7600 };
  base::Endpoint const two{ "10.0.0.2", 7600 };
  auto now = kStart;
  choice.OnLoader(base::HostId::FromValidated("a"), one, true, now);
  choice.OnLoader(base::HostId::FromValidated("b"), two, true, now);
  BOOST_TEST((choice.Planner(now) == one));
  now += milliseconds(2'800);
  BOOST_TEST((choice.Planner(now) == one));
  // Then it reads what arrived.
  choice.OnLoader(base::HostId::FromValidated("a"), one, true, now);
  choice.OnLoader(base::HostId::FromValidated("b"), two, true, now);
  choice.OnSummary(one, now);
  for (int tick = 0; tick < 4; ++tick) {
    now += milliseconds(100);
    BOOST_TEST((choice.Planner(now) == one));
  }
  // One that is silent indeed is still replaced.
  now += milliseconds(100);
  BOOST_TEST((choice.Planner(now) == two));
}

BOOST_AUTO_TEST_CASE(StreamsAreSplitAfterCompleteEvents)
{
  programs::EventBuffer buffer;
  BOOST_TEST(buffer.Add("id: 1\ndata: a\n").empty());
  BOOST_TEST(buffer.Add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(buffer.PartialEvent() == "id: 2\nda");
  BOOST_TEST(buffer.Add("ta: b\n\nid: 3\r\ndata: c\r\n\r\n") ==
             "id: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n");
  BOOST_TEST(buffer.PartialEvent().empty());
  BOOST_TEST(programs::LastEvent("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b");
  BOOST_TEST(programs::LastEvent("id: 1\ndata: a\n\n") == "id: 1\ndata: a");
  auto const events = programs::SplitEvents("id: 1\n\nid: 2\r\nid: 3\r\n\r\n\n\n\r\n\n");
  std::vector<std::string_view> const expected{ "id: 1\n\n", "id: 2\r\nid: 3\r\n\r\n", "\n\n",
                                                "\r\n\n" };
  BOOST_TEST(events == expected, boost::test_tools::per_element());
}

/// A few lost messages make a gateway choose another planner for some seconds. Alone in
/// that planner's pool it would have the allowance of one gateway, though the first one
/// answers again.
BOOST_AUTO_TEST_CASE(AGatewayStaysInThePoolOfAPlannerThatAnswersAgain)
{
  base::Endpoint const one{ "10.0.0.1", 7600 };
  base::Endpoint const two{ "10.0.0.2", 7600 };
  programs::PoolSelector pools;
  BOOST_TEST(!pools.Choose(std::nullopt, false, kStart).m_planner.has_value());
  BOOST_TEST(pools.Choose(one, false, kStart).m_isNew);
  pools.OnSummary(one, kStart);
  auto const later = kStart + milliseconds(500);
  BOOST_TEST((pools.Choose(two, true, later).m_planner == one));
  pools.OnSummary(one, later);
  BOOST_TEST((pools.Choose(two, true, later + seconds(3)).m_planner == one));
  auto const back = pools.Choose(one, true, later + seconds(3));
  BOOST_TEST((back.m_planner == one && !back.m_isNew));
  // One that does not answer again is left, and so is one that answered to the last.
  pools.Choose(two, true, later + seconds(4));
  BOOST_TEST((pools.Choose(two, false, later + seconds(5)).m_planner == two));
  pools.OnSummary(two, later + seconds(6));
  BOOST_TEST(pools.Choose(one, true, later + seconds(6)).m_isNew);
}
