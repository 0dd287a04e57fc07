#define BOOST_TEST_MODULE StandIns
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Engine/CompletionText.h"
#include "StandIns/Engine/EngineStandIn.h"
#include "StandIns/Service/ServiceStandIn.h"
#include "StandIns/WeightStore/WeightStoreStandIn.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::standins;
using boost::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kTimeout = seconds(10);

template<typename StandIn>
struct ServedStandIn
{
  template<typename... Arguments>
  explicit ServedStandIn(base::EventLoop& aLoop, Arguments... aArguments)
    : m_standIn(aLoop, aArguments...)
    , m_server(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return m_standIn.Serve(aExchange); },
        RenderRequestError)
  {
    m_standIn.Attach(m_server);
    BOOST_REQUIRE(m_server.Listen({ "127.0.0.1", 0 }));
    m_address = { "127.0.0.1", m_server.Port() };
  }

  base::Endpoint const& Address() const { return m_address; }

  StandIn m_standIn;
  base::HttpServer m_server;
  base::Endpoint m_address;
};

TransferLimits FastTransfers()
{
  TransferLimits limits;
  limits.m_modelTime = milliseconds(5);
  limits.m_modelsPerSecond = 1000;
  return limits;
}

/// Runs an engine, a weight store and a service over loopback TCP.
class StandInsFixture
{
public:
  StandInsFixture()
    : m_loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall)
    , m_store(m_loop, FastTransfers())
    , m_engine(m_loop, Configuration())
    , m_service(m_loop, milliseconds(1))
    , m_client(m_loop, {})
  {
  }

  EngineConfiguration Configuration() const
  {
    EngineConfiguration configuration;
    configuration.m_weightStore = m_store.Address();
    configuration.m_checksFencing = true;
    configuration.m_memory = base::Bytes(40'000'000'000);
    configuration.m_batch.m_stepTime = milliseconds(1);
    return configuration;
  }

  awaitable<base::HttpResponse> Post(base::Endpoint aTo, std::string aTarget, std::string aBody)
  {
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = std::move(aTarget);
    request.m_body = std::move(aBody);
    auto response = co_await m_client.Fetch(aTo, std::move(request), kTimeout);
    BOOST_REQUIRE(response);
    co_return std::move(*response);
  }

  awaitable<void> Order(std::string aTarget, std::string aBody, unsigned aExpectedStatus)
  {
    auto const engine = m_engine.Address();
    auto const response = co_await Post(engine, std::move(aTarget), std::move(aBody));
    BOOST_TEST(response.m_status == aExpectedStatus);
  }

  void Set(FaultSwitches& aSwitches, char const* aFault, Json::Value const& aValue)
  {
    Json::Value faults;
    faults[aFault] = aValue;
    BOOST_REQUIRE(aSwitches.Apply(faults));
  }

  template<typename Body>
  void Run(Body aBody)
  {
    auto run = [&]() -> awaitable<void> {
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
  }

  base::EventLoop m_loop;
  ServedStandIn<WeightStoreStandIn> m_store;
  ServedStandIn<EngineStandIn> m_engine;
  ServedStandIn<ServiceStandIn> m_service;
  base::HttpClient m_client;
};

std::size_t CountTokenEvents(std::string const& aStream)
{
  std::size_t count = 0;
  for (auto at = aStream.find("\"content\":\""); at != std::string::npos;
       at = aStream.find("\"content\":\"", at + 1)) {
    ++count;
  }
  return count;
}

/// Reads a stream until it ends or is interrupted.
awaitable<std::string> ReadAll(base::HttpReply& aReply)
{
  std::string all;
  while (!aReply.IsComplete()) {
    auto const chunk = co_await aReply.Read(kTimeout);
    if (!chunk) {
      break;
    }
    all += *chunk;
  }
  co_return all;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(EngineCarriesOutOrdersWithinMemoryAndFencing, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    std::string const load = "/orders/load";
    std::string const unload = "/orders/unload";
    std::string const first = R"({"model":"m1","fencing":3,"bytes":30000000000})";
    std::string const stale = R"({"model":"m2","fencing":2,"bytes":1})";
    std::string const large = R"({"model":"m2","fencing":3,"bytes":20000000000})";
    std::string const gone = R"({"model":"m1","fencing":4})";
    co_await Order(load, first, 200U);
    co_await Order(load, stale, 409U);
    co_await Order(load, large, 507U);
    BOOST_TEST(m_engine.m_standIn.Memory().IsLoaded("m1"));
    co_await Order(unload, gone, 200U);
    co_await Order(load, large, 409U);
    BOOST_TEST(!m_engine.m_standIn.Memory().IsLoaded("m1"));
    Set(m_engine.m_standIn.Faults(), "checks_fencing", false);
    co_await Order(load, large, 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(EngineResponsesAreDeterminedByThePrompt, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    std::string const load = "/orders/load";
    std::string const order = R"({"model":"m1","fencing":1})";
    co_await Order(load, order, 200U);
    std::string const target = "/v1/chat/completions";
    std::string const request =
      R"({"model":"m1","messages":[{"role":"user","content":"hi"}],"max_tokens":5,)"
      R"("ignore_eos":true})";
    auto const response = co_await Post(m_engine.Address(), target, request);
    BOOST_TEST(response.m_status == 200U);
    auto const body = base::ParseJson(response.m_body);
    BOOST_REQUIRE(body);
    auto const expected = CompletionText(PromptHash("m1", "user: hi\n"), 5);
    BOOST_TEST((*body)["choices"][0]["message"]["content"].asString() == expected);
    BOOST_TEST((*body)["usage"]["total_tokens"].asInt() == 8);
    BOOST_REQUIRE(m_engine.m_standIn.Executions().Entries().size() == 1U);
    BOOST_TEST(m_engine.m_standIn.Executions().Entries()[0].m_generatedTokens == 5U);
  });
}

BOOST_FIXTURE_TEST_CASE(InterruptedEngineStreamIsResumedWithoutLossOrDuplicates, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    std::string const load = "/orders/load";
    std::string const order = R"({"model":"m1","fencing":1})";
    co_await Order(load, order, 200U);
    Set(m_engine.m_standIn.Faults(), "cut_streams_after", 3);
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/chat/completions";
    request.m_body = R"({"model":"m1","messages":[{"role":"user","content":"hi"}],"stream":true,)"
                     R"("max_tokens":9,"ignore_eos":true})";
    auto reply = co_await m_client.Send(m_engine.Address(), std::move(request), kTimeout);
    BOOST_REQUIRE(reply);
    auto const id = std::string(reply->Headers().Find("Stream-Id").value_or(""));
    auto const begin = co_await ReadAll(*reply);
    BOOST_TEST(CountTokenEvents(begin) == 3U);
    base::HttpRequest resume;
    resume.m_target = "/streams/" + id + "?after=3";
    auto resumed = co_await m_client.Send(m_engine.Address(), std::move(resume), kTimeout);
    BOOST_REQUIRE(resumed);
    auto const end = co_await ReadAll(*resumed);
    BOOST_TEST(CountTokenEvents(end) == 6U);
    BOOST_TEST(end.find("-3 ") != std::string::npos);
    BOOST_TEST(end.ends_with("data: [DONE]\n\n"));
  });
}

BOOST_FIXTURE_TEST_CASE(EngineCancelsWhenTheCallerCloses, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    std::string const load = "/orders/load";
    std::string const order = R"({"model":"m1","fencing":1})";
    co_await Order(load, order, 200U);
    {
      base::HttpRequest request;
      request.m_method = "POST";
      request.m_target = "/v1/completions";
      request.m_body = R"({"model":"m1","prompt":"x","stream":true,"max_tokens":100000,)"
                       R"("ignore_eos":true})";
      auto reply = co_await m_client.Send(m_engine.Address(), std::move(request), kTimeout);
      BOOST_REQUIRE(reply);
      auto const chunk = co_await reply->Read(kTimeout);
      BOOST_REQUIRE(chunk);
    }
    auto const& entries = m_engine.m_standIn.Executions().Entries();
    BOOST_REQUIRE(entries.size() == 1U);
    while (entries[0].m_outcome == "running") {
      co_await m_loop.Sleep(milliseconds(20));
    }
    BOOST_TEST(entries[0].m_outcome == "cancelled");
    BOOST_TEST(entries[0].m_generatedTokens < 100'000U);
  });
}

BOOST_FIXTURE_TEST_CASE(EngineRefusesUnloadedModelsAndInvalidRequests, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    std::string const target = "/v1/completions";
    std::string const unloaded = R"({"model":"m9","prompt":"x"})";
    std::string const noPrompt = R"({"model":"m9"})";
    auto const missing = co_await Post(m_engine.Address(), target, unloaded);
    BOOST_TEST(missing.m_status == 404U);
    auto const invalid = co_await Post(m_engine.Address(), target, noPrompt);
    BOOST_TEST(invalid.m_status == 400U);
    BOOST_TEST(invalid.m_body.find("prompt") != std::string::npos);
    BOOST_TEST(m_engine.m_standIn.Executions().Entries().empty());
  });
}

BOOST_FIXTURE_TEST_CASE(ServiceCountsEachExecutionEvenIfItsResponseIsLost, StandInsFixture)
{
  Run([&]() -> awaitable<void> {
    Set(m_service.m_standIn.Faults(), "lose_answers", 1);
    base::HttpRequest lost;
    lost.m_method = "POST";
    lost.m_target = "/dispatch";
    lost.m_body = "crew to bus 7";
    auto const nothing = co_await m_client.Fetch(m_service.Address(), std::move(lost), kTimeout);
    BOOST_REQUIRE(!nothing);
    BOOST_TEST(nothing.error().m_mayHaveBeenSent);
    std::string const target = "/dispatch";
    std::string const body = "crew to bus 7";
    auto const again = co_await Post(m_service.Address(), target, body);
    BOOST_TEST(again.m_status == 200U);
    BOOST_TEST(again.m_body.find("\"booking\":2") != std::string::npos);
    base::HttpRequest ran;
    ran.m_target = "/admin/ran";
    auto const log = co_await m_client.Fetch(m_service.Address(), std::move(ran), kTimeout);
    BOOST_REQUIRE(log);
    auto const parsed = base::ParseJson(log->m_body);
    BOOST_REQUIRE(parsed);
    BOOST_REQUIRE((*parsed)["executions"].size() == 1U);
    BOOST_TEST((*(*parsed)["executions"].begin()).asInt() == 2);
  });
}

BOOST_AUTO_TEST_CASE(FaultsAreCheckedBeforeAnyIsSet)
{
  bool flag = false;
  std::uint64_t count = 0;
  FaultSwitches switches;
  switches.AddFlag("flag", flag);
  switches.AddCount("count", count);
  auto const wrong = base::ParseJson(R"({"flag":true,"count":"many"})");
  auto const refused = switches.Apply(*wrong);
  BOOST_REQUIRE(!refused);
  BOOST_TEST(refused.error().find("\"count\"") != std::string::npos);
  BOOST_TEST(!flag);
  auto const unknown = base::ParseJson(R"({"flags":true})");
  BOOST_TEST(!switches.Apply(*unknown));
}

BOOST_AUTO_TEST_CASE(WeightStoreSlowsInProportionBeyondItsLimits)
{
  constexpr base::Instant kStart{ seconds(100) };
  TransferQueue queue(TransferLimits{});
  for (int transfer = 0; transfer < 4; ++transfer) {
    queue.Begin(TransferKind::Model);
  }
  BOOST_TEST(queue.TimeFactor(TransferKind::Model) == 1.0);
  queue.Begin(TransferKind::Model);
  BOOST_TEST(queue.TimeFactor(TransferKind::Model) == 1.25);
  for (int transfer = 0; transfer < 60; ++transfer) {
    queue.Begin(TransferKind::Adapter);
  }
  BOOST_TEST(queue.TimeFactor(TransferKind::Adapter) == 2.0);
  base::Duration last{};
  for (int start = 0; start < 10; ++start) {
    last = queue.ReserveStart(TransferKind::Model, kStart);
  }
  BOOST_TEST((last > milliseconds(1990)));
  BOOST_TEST((last < milliseconds(2010)));
  auto const adapter = queue.FullSpeedTime(TransferKind::Adapter, 12345);
  BOOST_TEST((adapter >= milliseconds(6)));
  BOOST_TEST((adapter <= milliseconds(20)));
}
