#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "platform/RequestCodec.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteConfiguration.h"
#include "StandIns/Site/SiteEngine.h"
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
#include <map>
#include <memory>
#include <string>
#include <vector>

// The platform of a small deployment on loopback: a store, two model engines and four
// engines of a plain service that a certain request crashes, with the clients that send
// it again and again beside ordinary orders. Judges how often it reaches an engine.

namespace {

using namespace sardinefold;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kPoison = "an order that crashes its engine";
/// stableWindowMs of the site.
constexpr base::Duration kStableWindow = std::chrono::milliseconds(3000);
/// The rule's bound on retries.
constexpr std::size_t kAllowedRetries = 3;
constexpr int kEngines = 4;

struct Options
{
  int m_gateways = 4;
  std::uint16_t m_storePort = 0;
  std::uint16_t m_enginePort = 0;
  std::uint16_t m_frontPort = 0;
  std::uint16_t m_readyPort = 0;
  int m_seconds = 60;
  /// How long a crashed engine is away.
  base::Duration m_downTime = std::chrono::milliseconds(2000);
  /// Whether it comes back under the id that it had.
  bool m_keepsId = false;
  /// How long after its return it registers.
  base::Duration m_registrationDelay{};
  /// How many different requests crash engines.
  int m_poisons = 1;
  std::string m_record;
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

/// Runs of the poisonous requests, by their body. An engine that has begun to run one
/// crashes.
struct Crashes
{
  std::map<std::string, std::vector<base::Instant>> m_at;

  std::size_t Count() const
  {
    std::size_t count = 0;
    for (auto const& [body, times] : m_at) {
      count += times.size();
    }
    return count;
  }

  /// The most late retries of one request.
  std::size_t LateRetries() const
  {
    constexpr std::size_t kCounted = 3;
    std::size_t most = 0;
    for (auto const& [body, times] : m_at) {
      std::size_t late = 0;
      for (std::size_t number = kCounted; number < times.size(); ++number) {
        late += times[number] > times[kCounted - 1] + kStableWindow ? 1 : 0;
      }
      most = std::max(most, late);
    }
    return most;
  }
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

/// One engine of the plain service. A crash resets its connections and closes its port.
class PlainEngine
{
public:
  PlainEngine(base::EventLoop& aLoop, standins::SiteStore& aStore, Options const& aOptions,
              int aNumber, Crashes& aCrashes, Record& aRecord)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_options(aOptions)
    , m_number(aNumber)
    , m_crashes(aCrashes)
    , m_record(aRecord)
    , m_address("127.0.3." + std::to_string(aNumber))
    , m_acceptor(aLoop.Context())
  {
  }

  bool Start()
  {
    ++m_start;
    m_id = "desk-" + std::to_string(m_number) +
           (m_options.m_keepsId ? "" : "." + std::to_string(m_start));
    boost::system::error_code error;
    tcp::endpoint const endpoint(asio::ip::make_address(m_address, error), m_options.m_enginePort);
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

  /// Registers at once and then every heartbeat. The entry of a start that is silent is
  /// removed after three.
  asio::awaitable<void> Heartbeat(int aStart)
  {
    constexpr base::Duration kHeartbeat = std::chrono::milliseconds(1200);
    auto const id = m_id;
    if (aStart > 1) {
      co_await m_loop.Sleep(m_options.m_registrationDelay);
    }
    while (m_isUp && aStart == m_start) {
      Json::Value entry;
      entry["service"] = "desk";
      entry["address"] = m_address + ":" + std::to_string(m_options.m_enginePort);
      entry["zone"] = std::string(1, static_cast<char>('a' + m_number - 1));
      entry["version"] = "v1";
      entry["slots"] = 6;
      entry["state"] = "ready";
      entry["born"] = Json::Int64(1'000'000 + m_start);
      m_store.Put("servers", id, entry);
      co_await m_loop.Sleep(kHeartbeat);
    }
    co_await m_loop.Sleep(2 * kHeartbeat);
    if (!m_isUp || id != m_id) {
      m_store.Remove("servers", id);
    }
  }

  void Crash()
  {
    m_isUp = false;
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
    co_await m_loop.Sleep(m_options.m_downTime);
    while (!Start()) {
      co_await m_loop.Sleep(std::chrono::milliseconds(50));
    }
    m_record.Write("engine " + m_id + " is back, start " + std::to_string(m_start));
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

  asio::awaitable<bool> ServeOne(tcp::socket& aSocket, std::string& aInput, int aStart)
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    auto const [headError, headBytes] =
      co_await asio::async_read_until(aSocket, asio::dynamic_buffer(aInput), kHeadEnd, kAwait);
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
    auto const request = FieldOf(head, "Request-Id: ");
    bool const isForOther = FieldOf(head, "Expect-Instance: ") != m_id;
    if (!isForOther && body.starts_with(kPoison)) {
      m_crashes.m_at[body].push_back(m_loop.Now());
      m_record.Write("engine " + m_id + " crashed by request " + request + ", crash " +
                     std::to_string(m_crashes.Count()));
      Crash();
      co_return false;
    }
    co_await m_loop.Sleep(std::chrono::milliseconds(60));
    if (!m_isUp || aStart != m_start) {
      co_return false;
    }
    std::string const text = isForOther ? "" : "done";
    auto const answer = "HTTP/1.1 " + std::string(isForOther ? "421 Misdirected" : "200 OK") +
                        "\r\nRequest-Id: " + request + "\r\nInstance-Id: " + m_id + "\r\n" +
                        (isForOther ? "Not-Executed: 1" : "Server-Seal: seal-" + m_id) +
                        "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    auto const [writeError, written] =
      co_await asio::async_write(aSocket, asio::buffer(answer), kAwait);
    co_return !writeError;
  }

  base::EventLoop& m_loop;
  standins::SiteStore& m_store;
  Options const& m_options;
  int m_number;
  Crashes& m_crashes;
  Record& m_record;
  std::string m_address;
  tcp::acceptor m_acceptor;
  std::list<std::shared_ptr<tcp::socket>> m_sockets;
  std::string m_id;
  int m_start = 0;
  bool m_isUp = false;
};

/// Watches the gateways as the platform does, and sends orders to those that are in touch.
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
    }
    m_loop.Start(Repeat(std::chrono::milliseconds(50), false));
    if (m_options.m_poisons > 0) {
      m_loop.Start(Repeat(std::chrono::milliseconds(400), true));
    }
  }

  std::size_t Served() const { return m_served; }
  /// Ordinary orders that an engine may have run and that got no answer of it.
  std::size_t Lost() const { return m_lost; }

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
        co_await m_http.Fetch(endpoint, std::move(request), std::chrono::milliseconds(500));
      bool const isReady = response && response->m_status == 200;
      if (isReady != since.has_value()) {
        m_record.Write("gateway " + std::to_string(aGateway + 1) +
                       (isReady ? " is ready" : " is not ready"));
      }
      since = isReady ? std::optional(since.value_or(m_loop.Now())) : std::nullopt;
      co_await m_loop.Sleep(std::chrono::milliseconds(100));
    }
  }

  /// Whether the gateway has run undisturbed for the stable window, and a margin.
  bool IsInTouch(int aGateway) const
  {
    constexpr base::Duration kMargin = std::chrono::milliseconds(500);
    auto const& since = m_readySince[static_cast<std::size_t>(aGateway)];
    return since && m_loop.Now() - *since > kStableWindow + kMargin;
  }

  asio::awaitable<void> Repeat(base::Duration aInterval, bool aIsPoison)
  {
    for (int turn = 0;; ++turn) {
      int const gateway = turn % m_options.m_gateways;
      if (IsInTouch(gateway)) {
        m_loop.Start(
          Send(gateway, aIsPoison ? turn / m_options.m_gateways % m_options.m_poisons + 1 : 0));
        co_await m_loop.Sleep(aInterval);
      } else {
        co_await m_loop.Sleep(std::chrono::milliseconds(10));
      }
    }
  }

  /// aPoison is the number of a request that crashes engines; zero for an ordinary one.
  asio::awaitable<void> Send(int aGateway, int aPoison)
  {
    bool const isPoison = aPoison > 0;
    auto const id = std::string(isPoison ? "p" : "o") + std::to_string(++m_sent);
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/order/book";
    request.m_headers.Add("Host", "site.example");
    request.m_headers.Add(platform::kRequestIdHeader, id);
    request.m_headers.Add("Authorization", "Bearer key-1");
    request.m_body =
      isPoison ? std::string(kPoison) + " " + std::to_string(aPoison) : "order " + id;
    base::Endpoint const endpoint{ AddressOf(aGateway), m_options.m_frontPort };
    base::HttpSendOptions options{ std::chrono::milliseconds(2500) };
    options.m_isConnectionExclusive = true;
    auto const response = co_await m_http.Fetch(endpoint, std::move(request), std::move(options),
                                                base::HttpClient::kDefaultBodyLimit);
    auto const status = response ? std::to_string(response->m_status) : "no answer";
    m_served += response && response->m_status == 200 ? 1 : 0;
    bool const isUnknown = !response || response->m_status == 502 || response->m_status == 504;
    m_lost += !isPoison && isUnknown ? 1 : 0;
    m_record.Write("request " + id + " through gateway " + std::to_string(aGateway + 1) + ": " +
                   status);
  }

  base::EventLoop& m_loop;
  Options const& m_options;
  Record& m_record;
  base::HttpClient m_http;
  /// Since when each gateway has been ready.
  std::vector<std::optional<base::Instant>> m_readySince;
  std::size_t m_sent = 0;
  std::size_t m_served = 0;
  std::size_t m_lost = 0;
};

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "crash-site",
           "A small deployment with a request that crashes engines.",
           { { "store-port", SettingKind::Count, "Port of the store at 127.0.1.1", "0" },
             { "engine-port", SettingKind::Count, "Port of the engines", "0" },
             { "front-port", SettingKind::Count, "Port of the gateways for clients", "0" },
             { "ready-port", SettingKind::Count, "Port of the gateways for readiness", "0" },
             { "gateways", SettingKind::Count, "Gateways, at 127.0.4.1 and on", "4" },
             { "seconds", SettingKind::Count, "How long the clients send", "60" },
             { "down-ms", SettingKind::Count, "How long a crashed engine is away", "2000" },
             { "keep-id", SettingKind::Count, "1 if it comes back under its id", "0" },
             { "register-ms", SettingKind::Count, "How long after that it registers", "0" },
             { "poisons", SettingKind::Count, "Requests that crash engines", "1" },
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
  options.m_downTime = std::chrono::milliseconds(settings->Count("down-ms"));
  options.m_keepsId = settings->Count("keep-id") == 1;
  options.m_registrationDelay = std::chrono::milliseconds(settings->Count("register-ms"));
  options.m_poisons = static_cast<int>(settings->Count("poisons"));
  options.m_record = settings->Text("record");

  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  standins::SiteStore store(loop);
  store.Put("config", "main", standins::SiteConfiguration(1));
  Record record(loop, options.m_record);
  std::vector<std::unique_ptr<standins::SiteEngine>> modelEngines;
  for (int number = 1; number <= 2; ++number) {
    standins::SiteEngineSettings engine;
    engine.m_instance = "llm-" + std::to_string(number);
    engine.m_deployment = "llm";
    engine.m_failureDomain = std::string(1, static_cast<char>('a' + number - 1));
    engine.m_address = { "127.0.2." + std::to_string(number), options.m_enginePort };
    engine.m_models = { "common", "own" + std::to_string(number) };
    modelEngines.push_back(std::make_unique<standins::SiteEngine>(loop, store, engine));
    if (!modelEngines.back()->Start()) {
      return kNotRun;
    }
  }
  Crashes crashes;
  std::vector<std::unique_ptr<PlainEngine>> engines;
  for (int number = 1; number <= kEngines; ++number) {
    engines.push_back(std::make_unique<PlainEngine>(loop, store, options, number, crashes, record));
    if (!engines.back()->Start()) {
      return kNotRun;
    }
  }
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

  auto const late = crashes.LateRetries();
  bool const hasRun =
    clients.Served() > 0 && (options.m_poisons == 0 || crashes.Count() >= kAllowedRetries);
  auto const result = !hasRun ? kNotRun : late > kAllowedRetries ? kBroken : kHeld;
  auto const text = "served " + std::to_string(clients.Served()) + " orders, lost " +
                    std::to_string(clients.Lost()) + "; " + std::to_string(crashes.Count()) +
                    " crashes, " + std::to_string(late) +
                    " of them, of one request, later than 3 s after its third (3 allowed): " +
                    (result == kBroken ? "broken"
                     : result == kHeld ? "held"
                                       : "not run");
  record.Write(text);
  std::puts(text.c_str());
  // Sessions refer to each other, so nothing is destroyed.
  std::fflush(nullptr);
  std::_Exit(result);
}
