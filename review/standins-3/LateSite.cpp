#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "platform/RequestCodec.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteConfiguration.h"
#include "StandIns/Site/SiteStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

// The platform of a small deployment on loopback: a store, one model engine and clients.
// One order to the engine gets no answer and is carried out late; the engine crashes
// meanwhile and starts again under its id. Judges whether the engine is ordered to hold
// more than it can.

namespace {

using namespace sardinefold;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr double kModelMb = 72'700;
constexpr double kEngineMb = 220'000;
constexpr int kModelsHeld = 3;
constexpr char const* kEngineAddress = "127.0.2.1";
constexpr base::Duration kDiskTime = std::chrono::milliseconds(990);

struct Options
{
  int m_gateways = 2;
  std::uint16_t m_storePort = 0;
  std::uint16_t m_enginePort = 0;
  std::uint16_t m_frontPort = 0;
  std::uint16_t m_readyPort = 0;
  int m_seconds = 60;
  bool m_hasTrouble = true;
  bool m_keepsId = true;
  /// When an order without an answer is carried out.
  base::Duration m_lateness{};
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

/// Returns the value of a header field of a raw request, for a name with colon and space.
std::string FieldOf(std::string const& aHead, std::string const& aName)
{
  auto const found = aHead.find("\r\n" + aName);
  if (found == std::string::npos) {
    return "";
  }
  auto const begin = found + 2 + aName.size();
  return aHead.substr(begin, aHead.find("\r\n", begin) - begin);
}

/// The model engine. A crash resets its connections and closes its port.
class Engine
{
public:
  Engine(base::EventLoop& aLoop, standins::SiteStore& aStore, Options const& aOptions,
         Record& aRecord)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_options(aOptions)
    , m_record(aRecord)
    , m_acceptor(aLoop.Context())
    , m_models{ "m1", "m2", "m3" }
    , m_onDisk(m_models)
  {
  }

  bool Start()
  {
    ++m_start;
    m_id = "llm-1" + (m_options.m_keepsId ? "" : "." + std::to_string(m_start));
    boost::system::error_code error;
    tcp::endpoint const endpoint(asio::ip::make_address(kEngineAddress, error),
                                 m_options.m_enginePort);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return false;
    }
    m_isUp = true;
    m_loop.Start(Accept(m_start));
    m_loop.Start(Heartbeat(m_start));
    return true;
  }

  bool HasLateOrder() const { return m_hasLateOrder; }
  int LateOrdersCarriedOut() const { return m_lateAccepted + m_lateRefused; }
  int Overfilled() const { return m_overfilled; }
  std::set<std::string> const& Models() const { return m_models; }

private:
  asio::awaitable<void> Accept(int aStart)
  {
    while (m_isUp && aStart == m_start) {
      auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
      if (!error) {
        m_loop.Start(Serve(std::make_shared<tcp::socket>(std::move(socket)), aStart));
      }
    }
  }

  void Register()
  {
    Json::Value entry;
    entry["service"] = "llm";
    entry["address"] = std::string(kEngineAddress) + ":" + std::to_string(m_options.m_enginePort);
    entry["zone"] = "a";
    entry["version"] = "v1";
    entry["slots"] = 64;
    entry["state"] = "ready";
    entry["born"] = Born();
    entry["models"] = ModelList();
    m_store.Put("servers", m_id, entry);
  }

  asio::awaitable<void> Heartbeat(int aStart)
  {
    constexpr base::Duration kHeartbeat = std::chrono::milliseconds(1200);
    auto const id = m_id;
    while (m_isUp && aStart == m_start) {
      Register();
      co_await m_loop.Sleep(kHeartbeat);
    }
    co_await m_loop.Sleep(2 * kHeartbeat);
    if (!m_isUp || id != m_id) {
      m_store.Remove("servers", id);
    }
  }

  Json::Int64 Born() const { return 1'000'000 + m_start; }

  Json::Value ModelList() const
  {
    Json::Value list(Json::arrayValue);
    for (auto const& name : m_models) {
      Json::Value model;
      model["name"] = name;
      model["version"] = 1;
      model["adapters"] = Json::Value(Json::arrayValue);
      list.append(std::move(model));
    }
    return list;
  }

  std::string Report() const
  {
    std::string disk;
    for (auto const& name : m_onDisk) {
      disk += (disk.empty() ? "\"" : ",\"") + name + "\"";
    }
    return "{\"stage\":\"colocated\",\"models\":" + base::RenderJson(ModelList()) +
           ",\"busy\":" + (m_isBusy ? "true" : "false") + ",\"seqNo\":" + std::to_string(m_orders) +
           ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":120388,\"handles\":0,"
           "\"atHand\":{\"inMemory\":[],\"onDisk\":[" +
           disk + "]},\"born\":" + std::to_string(Born()) + "}";
  }

  void Crash(std::string const& aWhy)
  {
    m_record.Write("engine " + m_id + " crashed: " + aWhy);
    m_isUp = false;
    m_isBusy = false;
    m_models.clear();
    m_orders = 0;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (auto const& socket : m_sockets) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    m_loop.Start(ComeBack());
  }

  asio::awaitable<void> ComeBack()
  {
    co_await m_loop.Sleep(std::chrono::seconds(2));
    while (!Start()) {
      co_await m_loop.Sleep(std::chrono::milliseconds(50));
    }
    m_record.Write("engine " + m_id + " started again, empty");
  }

  asio::awaitable<void> Load(std::string aModel, int aStart)
  {
    constexpr base::Duration kStoreTime = std::chrono::seconds(6);
    co_await m_loop.Sleep(m_onDisk.contains(aModel) ? kDiskTime : kStoreTime);
    if (aStart != m_start || !m_isUp) {
      co_return;
    }
    m_models.insert(aModel);
    m_onDisk.insert(aModel);
    m_isBusy = false;
    Register();
  }

  /// Carries out an order, whenever it arrives. Returns the status.
  unsigned CarryOut(Json::Value const& aOrder, std::string const& aInstance)
  {
    auto const model = aOrder["model"].asString();
    bool const isLoad = aOrder["op"].asString() == "load";
    if (aInstance != m_id) {
      return 421;
    }
    if (!model.starts_with("m") || aOrder.isMember("adapter")) {
      return 400;
    }
    if (isLoad == m_models.contains(model)) {
      return 200;
    }
    if (m_isBusy || aOrder["expected"].asUInt64() != m_orders) {
      return 409;
    }
    ++m_orders;
    if (!isLoad) {
      m_models.erase(model);
      Register();
      return 202;
    }
    if (kModelMb * static_cast<double>(m_models.size() + 1) > kEngineMb) {
      ++m_overfilled;
      Crash("ordered to load " + model + " beside " + std::to_string(m_models.size()) +
            " models, more than it holds");
      return 0;
    }
    m_isBusy = true;
    m_loop.Start(Load(model, m_start));
    return 202;
  }

  asio::awaitable<void> CarryOutLate(Json::Value aOrder, std::string aInstance)
  {
    co_await m_loop.Sleep(m_options.m_lateness);
    while (!m_isUp) {
      co_await m_loop.Sleep(std::chrono::milliseconds(50));
    }
    auto const held = m_models.size();
    auto const count = m_orders;
    auto const status = CarryOut(aOrder, aInstance);
    ++(status == 202 || status == 0 ? m_lateAccepted : m_lateRefused);
    m_record.Write("late order " + base::RenderJson(aOrder) + " met " + std::to_string(held) +
                   " models and count " + std::to_string(count) + ": " +
                   (status == 0 ? "the engine crashed" : std::to_string(status)));
  }

  asio::awaitable<void> CrashSoon()
  {
    co_await m_loop.Sleep(std::chrono::milliseconds(400));
    Crash("disruption");
  }

  /// Returns the status of an order, or none if it gets no answer.
  std::optional<unsigned> OnOrder(std::string const& aBody, std::string const& aInstance)
  {
    auto const order = base::ParseJson(aBody);
    if (!order || !order->isObject()) {
      return 400;
    }
    // The order that is late needs room, which it has, at a count at which the engine could
    // be full after a restart.
    bool const isLate = m_options.m_hasTrouble && !m_hasLateOrder &&
                        (*order)["op"].asString() == "load" && aInstance == m_id &&
                        (*order)["expected"].asUInt64() == m_orders && m_orders >= kModelsHeld;
    if (isLate) {
      m_hasLateOrder = true;
      m_record.Write("order " + aBody + " gets no answer");
      m_loop.Start(CarryOutLate(*order, aInstance));
      m_loop.Start(CrashSoon());
      return std::nullopt;
    }
    auto const status = CarryOut(*order, aInstance);
    m_record.Write("order " + aBody + ": " + std::to_string(status));
    return status == 0 ? std::nullopt : std::optional(status);
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket, int aStart)
  {
    auto const position = m_sockets.insert(m_sockets.end(), aSocket);
    std::string input;
    bool isOpen = true;
    while (isOpen) {
      isOpen = co_await ServeOne(*aSocket, input, aStart);
    }
    m_sockets.erase(position);
  }

  static std::string Answer(std::string const& aStatus, std::string const& aFields,
                            std::string const& aBody)
  {
    return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  asio::awaitable<bool> ServeOne(tcp::socket& aSocket, std::string& aInput, int aStart)
  {
    auto const [headError, headBytes] =
      co_await asio::async_read_until(aSocket, asio::dynamic_buffer(aInput), "\r\n\r\n", kAwait);
    if (headError) {
      co_return false;
    }
    auto const head = aInput.substr(0, headBytes);
    auto const length = FieldOf(head, "Content-Length: ");
    auto const bodyBytes = length.empty() ? 0 : std::stoul(length);
    while (aInput.size() < headBytes + bodyBytes) {
      std::array<char, 4096> bytes{};
      auto const [error, size] = co_await aSocket.async_read_some(asio::buffer(bytes), kAwait);
      if (error) {
        co_return false;
      }
      aInput.append(bytes.data(), size);
    }
    auto const body = aInput.substr(headBytes, bodyBytes);
    aInput.erase(0, headBytes + bodyBytes);
    std::string answer;
    if (head.starts_with("GET /v1/report ")) {
      answer = Answer("200 OK", "Content-Type: application/json\r\n", Report());
    } else if (head.starts_with("POST /v1/order ")) {
      auto const status = OnOrder(body, FieldOf(head, "Expect-Instance: "));
      if (!status) {
        // Nothing comes any more on this connection.
        std::array<char, 1> byte{};
        co_await aSocket.async_read_some(asio::buffer(byte), kAwait);
        co_return false;
      }
      answer = Answer(std::to_string(*status) + " x", "Content-Type: application/json\r\n", "{}");
    } else {
      co_await m_loop.Sleep(std::chrono::milliseconds(40));
      if (!m_isUp || aStart != m_start) {
        co_return false;
      }
      auto const echo = "Request-Id: " + FieldOf(head, "Request-Id: ") + "\r\n";
      bool const isHeld =
        FieldOf(head, "Expect-Instance: ") == m_id && m_models.contains(FieldOf(head, "Model: "));
      answer = isHeld
                 ? Answer("200 OK", echo + "Server-Seal: s\r\nContent-Type: text/event-stream\r\n",
                          "id: 1\ndata: text\n\nid: 2\ndata: end\n\n")
                 : Answer("421 x", echo + "Not-Executed: 1\r\n", "");
    }
    auto const [writeError, written] =
      co_await asio::async_write(aSocket, asio::buffer(answer), kAwait);
    co_return !writeError;
  }

  base::EventLoop& m_loop;
  standins::SiteStore& m_store;
  Options const& m_options;
  Record& m_record;
  tcp::acceptor m_acceptor;
  std::list<std::shared_ptr<tcp::socket>> m_sockets;
  std::string m_id;
  std::set<std::string> m_models;
  std::set<std::string> m_onDisk;
  std::uint64_t m_orders = 0;
  int m_start = 0;
  bool m_isUp = false;
  bool m_isBusy = false;
  bool m_hasLateOrder = false;
  int m_lateAccepted = 0;
  int m_lateRefused = 0;
  int m_overfilled = 0;
};

/// Callers of two models, and of a third one once the engine has crashed.
class Clients
{
public:
  Clients(base::EventLoop& aLoop, Options const& aOptions, Engine const& aEngine, Record& aRecord)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_engine(aEngine)
    , m_record(aRecord)
    , m_http(aLoop, {})
  {
  }

  void Start()
  {
    m_loop.Start(Repeat("m1", false));
    m_loop.Start(Repeat("m2", false));
    m_loop.Start(Repeat("m4", true));
  }

  std::size_t Served() const { return m_served; }

private:
  asio::awaitable<void> Repeat(std::string aModel, bool aIsLater)
  {
    for (int turn = 0;; ++turn) {
      co_await m_loop.Sleep(std::chrono::milliseconds(400));
      if (!aIsLater || m_engine.HasLateOrder()) {
        m_loop.Start(Send(turn % m_options.m_gateways, aModel));
      }
    }
  }

  asio::awaitable<void> Send(int aGateway, std::string aModel)
  {
    auto const id = "r" + std::to_string(++m_sent);
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/chat/ask";
    request.m_headers.Add("Host", "site.example");
    request.m_headers.Add(platform::kRequestIdHeader, id);
    request.m_headers.Add("Authorization", "Bearer key-1");
    request.m_headers.Add("Model", aModel);
    request.m_body = "text";
    base::Endpoint const endpoint{ "127.0.4." + std::to_string(aGateway + 1),
                                   m_options.m_frontPort };
    auto const response =
      co_await m_http.Fetch(endpoint, std::move(request), std::chrono::seconds(6));
    m_served += response && response->m_status == 200 ? 1 : 0;
    m_record.Write("request " + id + " for " + aModel + ": " +
                   (response ? std::to_string(response->m_status) : "no answer"));
  }

  base::EventLoop& m_loop;
  Options const& m_options;
  Engine const& m_engine;
  Record& m_record;
  base::HttpClient m_http;
  std::size_t m_sent = 0;
  std::size_t m_served = 0;
};

/// The configuration of the project's stand-in, with five models of which an engine holds
/// three.
Json::Value Configuration()
{
  auto configuration = standins::SiteConfiguration(1);
  auto& engine = configuration["services"][0]["engine"];
  engine["slots"] = 64;
  engine["weightsMb"] = kEngineMb;
  engine["models"] = Json::Value(Json::arrayValue);
  for (int number = 1; number <= 5; ++number) {
    Json::Value model;
    model["name"] = "m" + std::to_string(number);
    model["weightsMb"] = kModelMb;
    model["loadS"] = 6.0;
    model["warmS"] = 0.81;
    model["diskS"] = base::ToSeconds(kDiskTime);
    model["adapters"] = 0;
    engine["models"].append(std::move(model));
  }
  return configuration;
}

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "late-site",
           "A small deployment with an order that is carried out late.",
           { { "store-port", SettingKind::Count, "Port of the store at 127.0.1.1", "0" },
             { "engine-port", SettingKind::Count, "Port of the engine", "0" },
             { "front-port", SettingKind::Count, "Port of the gateways for clients", "0" },
             { "ready-port", SettingKind::Count, "Port of the gateways for readiness", "0" },
             { "gateways", SettingKind::Count, "Gateways, at 127.0.4.1 and on", "2" },
             { "seconds", SettingKind::Count, "How long the clients send", "60" },
             { "late-ms", SettingKind::Count, "When the late order is carried out", "10000" },
             { "keep-id", SettingKind::Count, "1 if the engine comes back under its id", "1" },
             { "trouble", SettingKind::Count, "0 if all orders are answered", "1" },
             { "log-level", SettingKind::Text, "Lowest level logged", "info" },
             { "record", SettingKind::Text, "File for what happened", "record.txt" } } };
}

} // namespace

int main(int aCount, char** aArguments)
{
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
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
  options.m_lateness = std::chrono::milliseconds(settings->Count("late-ms"));
  options.m_keepsId = settings->Count("keep-id") == 1;
  options.m_hasTrouble = settings->Count("trouble") == 1;

  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  standins::SiteStore store(loop);
  store.Put("config", "main", Configuration());
  Record record(loop, settings->Text("record"));
  Engine engine(loop, store, options, record);
  if (!engine.Start()) {
    return kNotRun;
  }
  auto const handler = [&](base::HttpExchange& aExchange) { return store.Serve(aExchange); };
  base::HttpServer server(loop, {}, handler, standins::RenderRequestError);
  store.Attach(server);
  if (!server.Listen({ "127.0.1.1", options.m_storePort })) {
    return kNotRun;
  }
  Clients clients(loop, options, engine, record);
  clients.Start();
  auto const end = [&]() -> asio::awaitable<void> {
    co_await loop.Sleep(std::chrono::seconds(options.m_seconds));
    loop.Stop();
  };
  loop.Start(end());
  loop.Run();

  bool const hasRun =
    clients.Served() > 0 && (!options.m_hasTrouble || engine.LateOrdersCarriedOut() > 0);
  auto const result = !hasRun ? kNotRun : engine.Overfilled() > 0 ? kBroken : kHeld;
  auto const text = "served " + std::to_string(clients.Served()) + " requests; " +
                    std::to_string(engine.LateOrdersCarriedOut()) + " late orders; ordered to " +
                    "load more than the engine holds: " + std::to_string(engine.Overfilled()) +
                    " times: " +
                    (result == kBroken ? "broken"
                     : result == kHeld ? "held"
                                       : "not run");
  record.Write(text);
  std::puts(text.c_str());
  std::fflush(nullptr);
  std::_Exit(result);
}
