#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "platform/RequestCodec.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteConfiguration.h"
#include "StandIns/Site/SiteStore.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

// The platform of a small deployment on loopback: a store, two model engines, one plain
// service, and clients. A crowd asks for adapters of a model that exists; whether the
// adapters exist is an option. Ordinary callers send orders beside it.

namespace {

using namespace sardinefold;
namespace asio = boost::asio;

struct Options
{
  int m_gateways = 2;
  std::uint16_t m_storePort = 0;
  std::uint16_t m_enginePort = 0;
  std::uint16_t m_frontPort = 0;
  std::uint16_t m_readyPort = 0;
  int m_seconds = 60;
  /// Callers of the crowd at each gateway.
  int m_crowd = 100;
  /// How long each of them waits for its answer.
  base::Duration m_patience{};
  bool m_isUnknown = true;
};

class Record
{
public:
  Record(base::EventLoop const& aLoop, std::string const& aPath)
    : m_loop(aLoop)
    , m_start(aLoop.Now())
    , m_file(aPath)
  {
  }

  void Write(std::string const& aText)
  {
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", base::ToSeconds(m_loop.Now() - m_start));
    m_file << time.data() << aText << "\n" << std::flush;
  }

private:
  base::EventLoop const& m_loop;
  base::Instant m_start;
  std::ofstream m_file;
};

std::string FieldOf(base::HttpRequest const& aRequest, char const* aName)
{
  return std::string(aRequest.m_headers.Find(aName).value_or(""));
}

/// A model engine. It holds one model, whose adapters a1 to a4 it loads when ordered;
/// orders for others do not exist.
class ModelEngine
{
public:
  ModelEngine(base::EventLoop& aLoop, standins::SiteStore& aStore, Options const& aOptions,
              int aNumber)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_id("llm-" + std::to_string(aNumber))
    , m_zone(1, static_cast<char>('a' + aNumber - 1))
    , m_address{ "127.0.2." + std::to_string(aNumber), aOptions.m_enginePort }
    , m_server(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return Serve(aExchange); },
        standins::RenderRequestError)
  {
  }

  bool Start()
  {
    if (!m_server.Listen(m_address)) {
      return false;
    }
    Register();
    return true;
  }

  std::size_t RefusedOrders() const { return m_refusedOrders; }

private:
  void Register()
  {
    Json::Value entry;
    entry["service"] = "llm";
    entry["address"] = m_address.Text();
    entry["zone"] = m_zone;
    entry["version"] = "v1";
    entry["slots"] = 64;
    entry["state"] = "ready";
    entry["born"] = 1;
    entry["models"] = Models();
    m_store.Put("servers", m_id, entry);
  }

  Json::Value Models() const
  {
    Json::Value model;
    model["name"] = "common";
    model["version"] = 1;
    model["adapters"] = Json::Value(Json::arrayValue);
    for (auto const& adapter : m_adapters) {
      model["adapters"].append(adapter);
    }
    Json::Value models(Json::arrayValue);
    models.append(model);
    return models;
  }

  asio::awaitable<void> Serve(base::HttpExchange& aExchange)
  {
    auto const& request = aExchange.Request();
    if (request.Path() == "/v1/report") {
      Json::Value report = Json::Value(Json::objectValue);
      report["stage"] = "colocated";
      report["models"] = Models();
      report["busy"] = false;
      report["queued"] = 0;
      report["running"] = 0;
      report["kvUsed"] = 0;
      report["kvTotal"] = 90'000;
      report["born"] = 1;
      auto text = base::RenderJson(report);
      text.insert(1, "\"seqNo\":" + std::to_string(m_orders) + ",");
      auto response = base::JsonResponse(200, std::move(text));
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    if (request.Path() == "/v1/order") {
      auto response = base::JsonResponse(OnOrder(request), "{}");
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    co_await Run(aExchange);
  }

  unsigned OnOrder(base::HttpRequest const& aRequest)
  {
    static std::set<std::string> const kExisting{ "a1", "a2", "a3", "a4" };
    auto const body = base::ParseJson(aRequest.m_body);
    auto const adapter = body ? (*body)["adapter"].asString() : "";
    if (!kExisting.contains(adapter) || (*body)["model"].asString() != "common") {
      ++m_refusedOrders;
      return 400;
    }
    if ((*body)["expected"].asUInt64() != m_orders) {
      return 409;
    }
    ++m_orders;
    if ((*body)["op"].asString() == "load") {
      m_adapters.insert(adapter);
    } else {
      m_adapters.erase(adapter);
    }
    Register();
    return 202;
  }

  asio::awaitable<void> Run(base::HttpExchange& aExchange)
  {
    auto const& request = aExchange.Request();
    auto const model = FieldOf(request, "Model");
    auto const slash = model.find('/');
    bool const isHeld =
      model.substr(0, slash) == "common" &&
      (slash == std::string::npos || m_adapters.contains(model.substr(slash + 1)));
    base::HttpHeaders headers;
    headers.Add(platform::kRequestIdHeader, FieldOf(request, platform::kRequestIdHeader));
    if (!isHeld) {
      headers.Add("not-executed", "1");
      base::HttpResponse refusal{ 421, std::move(headers), "" };
      co_await aExchange.Respond(std::move(refusal));
      co_return;
    }
    headers.Add("server-seal", "seal-" + m_id);
    headers.Add("Content-Type", "text/event-stream");
    auto const started = co_await aExchange.StartStream(200, std::move(headers));
    for (int event = 1; started && event <= 4; ++event) {
      co_await m_loop.Sleep(std::chrono::milliseconds(10));
      auto const text = "id: " + std::to_string(event) + "\ndata: text\n\n";
      if (!co_await aExchange.Write(text)) {
        co_return;
      }
    }
    if (started) {
      co_await aExchange.Finish();
    }
  }

  base::EventLoop& m_loop;
  standins::SiteStore& m_store;
  std::string m_id;
  std::string m_zone;
  base::Endpoint m_address;
  base::HttpServer m_server;
  std::set<std::string> m_adapters;
  std::uint64_t m_orders = 0;
  std::size_t m_refusedOrders = 0;
};

class Clients
{
public:
  Clients(base::EventLoop& aLoop, Options const& aOptions, Record& aRecord)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_record(aRecord)
    , m_http(aLoop, {})
    , m_readySince(static_cast<std::size_t>(aOptions.m_gateways))
  {
  }

  void Start()
  {
    for (int gateway = 0; gateway < m_options.m_gateways; ++gateway) {
      m_loop.Start(Watch(gateway));
      m_loop.Start(SendOrders(gateway));
      for (int caller = 0; caller < m_options.m_crowd; ++caller) {
        m_loop.Start(AskForAdapters(gateway, caller));
      }
    }
  }

  std::string Summary() const
  {
    return "crowd: " + std::to_string(m_asked) + " requests, " + std::to_string(m_crowdAnswers) +
           " answers; orders: " + std::to_string(m_orders) + " sent, " +
           std::to_string(m_unanswered) + " unanswered 0.5 s after timeoutMs; longest " +
           std::to_string(base::ToMilliseconds(m_longest)) + " ms; readiness missed " +
           std::to_string(m_missed) + " times";
  }

private:
  std::string AddressOf(int aGateway) const { return "127.0.4." + std::to_string(aGateway + 1); }

  asio::awaitable<void> Watch(int aGateway)
  {
    auto& since = m_readySince[static_cast<std::size_t>(aGateway)];
    while (true) {
      base::HttpRequest request;
      request.m_target = "/v1/ready";
      base::Endpoint const endpoint{ AddressOf(aGateway), m_options.m_readyPort };
      auto const response =
        co_await m_http.Fetch(endpoint, std::move(request), std::chrono::seconds(1));
      bool const isReady = response && response->m_status == 200;
      m_missed += since && !isReady ? 1 : 0;
      if (isReady != since.has_value()) {
        m_record.Write("gateway " + std::to_string(aGateway + 1) +
                       (isReady ? " is ready" : " is not ready"));
      }
      since = isReady ? std::optional(since.value_or(m_loop.Now())) : std::nullopt;
      co_await m_loop.Sleep(std::chrono::seconds(1));
    }
  }

  bool IsInTouch(int aGateway) const
  {
    auto const& since = m_readySince[static_cast<std::size_t>(aGateway)];
    return since && m_loop.Now() - *since > std::chrono::milliseconds(3500);
  }

  base::HttpRequest MakeRequest(std::string aTarget, std::string aId) const
  {
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = std::move(aTarget);
    request.m_headers.Add("Host", "site.example");
    request.m_headers.Add(platform::kRequestIdHeader, std::move(aId));
    request.m_headers.Add("Authorization", "Bearer key-1");
    request.m_body = "text";
    return request;
  }

  asio::awaitable<void> SendOrders(int aGateway)
  {
    constexpr base::Duration kTimeout = std::chrono::milliseconds(1500);
    constexpr base::Duration kAnswerTime = std::chrono::milliseconds(500);
    while (true) {
      co_await m_loop.Sleep(std::chrono::milliseconds(200));
      if (!IsInTouch(aGateway)) {
        continue;
      }
      auto const id = "o" + std::to_string(++m_orders);
      auto request = MakeRequest("/order/book", id);
      auto const start = m_loop.Now();
      base::Endpoint const endpoint{ AddressOf(aGateway), m_options.m_frontPort };
      auto const response =
        co_await m_http.Fetch(endpoint, std::move(request), std::chrono::seconds(20));
      auto const time = m_loop.Now() - start;
      m_longest = std::max(m_longest, time);
      bool const isLate = !response || time > kTimeout + kAnswerTime;
      m_unanswered += isLate ? 1 : 0;
      m_record.Write("order " + id + " through gateway " + std::to_string(aGateway + 1) + ": " +
                     (response ? std::to_string(response->m_status) : "no answer") + " after " +
                     std::to_string(base::ToMilliseconds(time)) + " ms");
    }
  }

  asio::awaitable<void> AskForAdapters(int aGateway, int aCaller)
  {
    // The longest name that is taken.
    constexpr std::size_t kNameBytes = 190;
    while (true) {
      if (!IsInTouch(aGateway)) {
        co_await m_loop.Sleep(std::chrono::milliseconds(100));
        continue;
      }
      auto const id = "c" + std::to_string(++m_asked);
      auto request = MakeRequest("/chat/ask", id);
      auto const known = "a" + std::to_string(1 + aCaller % 4);
      auto const unknown = std::string(kNameBytes, 'x') + std::to_string(m_asked);
      request.m_headers.Add("Model", "common/" + (m_options.m_isUnknown ? unknown : known));
      base::Endpoint const endpoint{ AddressOf(aGateway), m_options.m_frontPort };
      base::HttpSendOptions options{ m_options.m_patience };
      options.m_isConnectionExclusive = true;
      auto const response = co_await m_http.Fetch(endpoint, std::move(request), std::move(options),
                                                  base::HttpClient::kDefaultBodyLimit);
      m_crowdAnswers += response ? 1 : 0;
    }
  }

  base::EventLoop& m_loop;
  Options const& m_options;
  Record& m_record;
  base::HttpClient m_http;
  std::vector<std::optional<base::Instant>> m_readySince;
  std::size_t m_asked = 0;
  std::size_t m_crowdAnswers = 0;
  std::size_t m_orders = 0;
  std::size_t m_unanswered = 0;
  std::size_t m_missed = 0;
  base::Duration m_longest{};
};

/// The configuration of the project's stand-in with one model, which both engines hold, so
/// that no order for a model is due.
Json::Value Configuration()
{
  auto configuration = standins::SiteConfiguration(1);
  auto& models = configuration["services"][0]["engine"]["models"];
  models.resize(1);
  models[0]["adapters"] = 4;
  return configuration;
}

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "adapter-site",
           "A small deployment with a crowd that asks for adapters.",
           { { "store-port", SettingKind::Count, "Port of the store at 127.0.1.1", "0" },
             { "engine-port", SettingKind::Count, "Port of the engines", "0" },
             { "front-port", SettingKind::Count, "Port of the gateways for clients", "0" },
             { "ready-port", SettingKind::Count, "Port of the gateways for readiness", "0" },
             { "gateways", SettingKind::Count, "Gateways, at 127.0.4.1 and on", "2" },
             { "seconds", SettingKind::Count, "How long the clients send", "60" },
             { "crowd", SettingKind::Count, "Callers of the crowd at each gateway", "100" },
             { "patience-ms", SettingKind::Count, "How long each waits", "3000" },
             { "unknown", SettingKind::Count, "0 if the adapters exist", "1" },
             { "log-level", SettingKind::Text, "Lowest level logged", "info" },
             { "record", SettingKind::Text, "File for what happened", "record.txt" } } };
}

} // namespace

int main(int aCount, char** aArguments)
{
  constexpr int kNotRun = 2;
  int exitCode = 0;
  auto const settings = standins::ReadSettings(Table(), aCount, aArguments, exitCode);
  if (!settings) {
    return kNotRun;
  }
  auto const port = [&](char const* aName) {
    return static_cast<std::uint16_t>(settings->Count(aName));
  };
  Options options;
  options.m_gateways = static_cast<int>(settings->Count("gateways"));
  options.m_storePort = port("store-port");
  options.m_enginePort = port("engine-port");
  options.m_frontPort = port("front-port");
  options.m_readyPort = port("ready-port");
  options.m_seconds = static_cast<int>(settings->Count("seconds"));
  options.m_crowd = static_cast<int>(settings->Count("crowd"));
  options.m_patience = std::chrono::milliseconds(settings->Count("patience-ms"));
  options.m_isUnknown = settings->Count("unknown") == 1;

  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  standins::SiteStore store(loop);
  store.Put("config", "main", Configuration());
  Record record(loop, settings->Text("record"));
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int number = 1; number <= 2; ++number) {
    engines.push_back(std::make_unique<ModelEngine>(loop, store, options, number));
    if (!engines.back()->Start()) {
      return kNotRun;
    }
  }
  auto const desk = [](base::HttpExchange& aExchange) -> asio::awaitable<void> {
    base::HttpResponse response{ 200, {}, "done" };
    response.m_headers.Add(platform::kRequestIdHeader,
                           FieldOf(aExchange.Request(), platform::kRequestIdHeader));
    response.m_headers.Add("server-seal", "seal-desk");
    co_await aExchange.Respond(std::move(response));
  };
  base::Endpoint const deskAddress{ "127.0.3.1", options.m_enginePort };
  base::HttpServer deskServer(loop, {}, desk, standins::RenderRequestError);
  if (!deskServer.Listen(deskAddress)) {
    return kNotRun;
  }
  Json::Value entry;
  entry["service"] = "desk";
  entry["address"] = deskAddress.Text();
  entry["zone"] = "a";
  entry["version"] = "v1";
  entry["slots"] = 6;
  entry["state"] = "ready";
  entry["born"] = 1;
  store.Put("servers", "desk-1", entry);
  auto const handler = [&](base::HttpExchange& aExchange) { return store.Serve(aExchange); };
  base::HttpServer server(loop, {}, handler, standins::RenderRequestError);
  store.Attach(server);
  if (!server.Listen({ "127.0.1.1", options.m_storePort })) {
    return kNotRun;
  }
  Clients clients(loop, options, record);
  clients.Start();
  auto const end = [&]() -> asio::awaitable<void> {
    co_await loop.Sleep(std::chrono::seconds(options.m_seconds));
    loop.Stop();
  };
  loop.Start(end());
  loop.Run();
  std::size_t refused = 0;
  for (auto const& engine : engines) {
    refused += engine->RefusedOrders();
  }
  auto const text = clients.Summary() + "; orders to engines refused: " + std::to_string(refused);
  record.Write(text);
  std::puts(text.c_str());
  std::fflush(nullptr);
  std::_Exit(0);
}
