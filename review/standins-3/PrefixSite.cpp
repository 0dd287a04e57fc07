#include "Base/CaseInsensitive.h"
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
#include <map>
#include <memory>
#include <string>
#include <vector>

// The platform of a small deployment on loopback: a store, two model engines and clients
// that send the parts of their prompts in one field line or in several. Judges whether
// engines get the parts and the counts that the clients sent.

namespace {

using namespace sardinefold;
namespace asio = boost::asio;

struct Options
{
  int m_gateways = 2;
  std::uint16_t m_storePort = 0;
  std::uint16_t m_enginePort = 0;
  std::uint16_t m_frontPort = 0;
  int m_seconds = 20;
  bool m_hasSeveralLines = true;
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

constexpr std::array<char const*, 2> kJudged{ "prompt-prefix", "token-count" };

std::string FieldOf(base::HttpRequest const& aRequest, char const* aName)
{
  return std::string(aRequest.m_headers.Find(aName).value_or(""));
}

/// Returns the field's value over all its lines, combined as RFC 9110, section 5.3, says,
/// without blanks.
std::string Combined(base::HttpHeaders const& aHeaders, char const* aName)
{
  std::string value;
  for (auto const& field : aHeaders.Fields()) {
    if (!base::EqualIgnoringCase(field.m_name, aName)) {
      continue;
    }
    value += value.empty() ? "" : ",";
    for (char const character : field.m_value) {
      value += character == ' ' ? "" : std::string(1, character);
    }
  }
  return value;
}

/// What clients sent, by the request's id.
using Sent = std::map<std::string, base::HttpHeaders>;

struct Counts
{
  std::size_t m_runs = 0;
  std::size_t m_changed = 0;
  std::size_t m_served = 0;
};

/// A model engine that holds one model.
class ModelEngine
{
public:
  ModelEngine(base::EventLoop& aLoop, standins::SiteStore& aStore, Options const& aOptions,
              int aNumber, Sent const& aSent, Counts& aCounts, Record& aRecord)
    : m_loop(aLoop)
    , m_store(aStore)
    , m_sent(aSent)
    , m_counts(aCounts)
    , m_record(aRecord)
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
    return true;
  }

private:
  static Json::Value Models()
  {
    Json::Value model;
    model["name"] = "common";
    model["version"] = 1;
    model["adapters"] = Json::Value(Json::arrayValue);
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
      report["kvTotal"] = 120'388;
      report["born"] = 1;
      auto text = base::RenderJson(report);
      text.insert(1, "\"seqNo\":0,");
      auto response = base::JsonResponse(200, std::move(text));
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    if (request.Path() == "/v1/order") {
      auto response = base::JsonResponse(400, "{}");
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    Judge(request);
    base::HttpHeaders headers;
    headers.Add(platform::kRequestIdHeader, FieldOf(request, platform::kRequestIdHeader));
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

  void Judge(base::HttpRequest const& aRequest)
  {
    auto const id = FieldOf(aRequest, platform::kRequestIdHeader);
    auto const sent = m_sent.find(id);
    ++m_counts.m_runs;
    bool isSame = sent != m_sent.end();
    std::string text = "engine " + m_id + " runs " + id;
    for (auto const* const name : kJudged) {
      auto const got = Combined(aRequest.m_headers, name);
      auto const wanted = isSame ? Combined(sent->second, name) : "";
      isSame = isSame && got == wanted;
      text += std::string("; ") + name + " sent " + wanted + ", got " + got;
    }
    m_counts.m_changed += isSame ? 0 : 1;
    m_record.Write(text + (isSame ? "" : ": changed"));
  }

  base::EventLoop& m_loop;
  standins::SiteStore& m_store;
  Sent const& m_sent;
  Counts& m_counts;
  Record& m_record;
  std::string m_id;
  std::string m_zone;
  base::Endpoint m_address;
  base::HttpServer m_server;
};

/// Sends streams with a prompt of three parts.
class Clients
{
public:
  Clients(base::EventLoop& aLoop, Options const& aOptions, Sent& aSent, Counts& aCounts,
          Record& aRecord)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_sent(aSent)
    , m_counts(aCounts)
    , m_record(aRecord)
    , m_http(aLoop, {})
  {
  }

  asio::awaitable<void> Run()
  {
    for (int number = 1;; ++number) {
      co_await m_loop.Sleep(std::chrono::milliseconds(100));
      m_loop.Start(Send(number));
    }
  }

private:
  asio::awaitable<void> Send(int aNumber)
  {
    auto const id = "r" + std::to_string(aNumber);
    auto const own = std::to_string(1000 + aNumber) + ":250";
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/chat/ask";
    request.m_headers.Add("Host", "site.example");
    request.m_headers.Add(platform::kRequestIdHeader, id);
    request.m_headers.Add("Authorization", "Bearer key-1");
    request.m_headers.Add("Model", "common");
    request.m_headers.Add("token-count", "1460,80");
    if (m_options.m_hasSeveralLines) {
      request.m_headers.Add("prompt-prefix", "5c1e07a2:800");
      request.m_headers.Add("prompt-prefix", "91bd3f06:410");
      request.m_headers.Add("prompt-prefix", own);
    } else {
      request.m_headers.Add("prompt-prefix", "5c1e07a2:800,91bd3f06:410," + own);
    }
    request.m_body = "text";
    m_sent[id] = request.m_headers;
    base::Endpoint const endpoint{ "127.0.4." + std::to_string(1 + aNumber % m_options.m_gateways),
                                   m_options.m_frontPort };
    auto const response =
      co_await m_http.Fetch(endpoint, std::move(request), std::chrono::seconds(6));
    m_counts.m_served += response && response->m_status == 200 ? 1 : 0;
    m_record.Write("request " + id + ": " +
                   (response ? std::to_string(response->m_status) : "no answer"));
  }

  base::EventLoop& m_loop;
  Options const& m_options;
  Sent& m_sent;
  Counts& m_counts;
  Record& m_record;
  base::HttpClient m_http;
};

/// The configuration of the project's stand-in with one model, which both engines hold, so
/// that no order for a model is due.
Json::Value Configuration()
{
  auto configuration = standins::SiteConfiguration(1);
  auto& models = configuration["services"][0]["engine"]["models"];
  models.resize(1);
  models[0]["adapters"] = 0;
  return configuration;
}

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "prefix-site",
           "A small deployment with prompts whose parts stand in several field lines.",
           { { "store-port", SettingKind::Count, "Port of the store at 127.0.1.1", "0" },
             { "engine-port", SettingKind::Count, "Port of the engines", "0" },
             { "front-port", SettingKind::Count, "Port of the gateways for clients", "0" },
             { "gateways", SettingKind::Count, "Gateways, at 127.0.4.1 and on", "2" },
             { "seconds", SettingKind::Count, "How long the clients send", "20" },
             { "several-lines", SettingKind::Count, "0 if the parts stand in one line", "1" },
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
  options.m_seconds = static_cast<int>(settings->Count("seconds"));
  options.m_hasSeveralLines = settings->Count("several-lines") == 1;

  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  standins::SiteStore store(loop);
  store.Put("config", "main", Configuration());
  Record record(loop, settings->Text("record"));
  Sent sent;
  Counts counts;
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int number = 1; number <= 2; ++number) {
    engines.push_back(
      std::make_unique<ModelEngine>(loop, store, options, number, sent, counts, record));
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
  Clients clients(loop, options, sent, counts, record);
  loop.Start(clients.Run());
  auto const end = [&]() -> asio::awaitable<void> {
    co_await loop.Sleep(std::chrono::seconds(options.m_seconds));
    loop.Stop();
  };
  loop.Start(end());
  loop.Run();

  auto const result = counts.m_served == 0 ? kNotRun : counts.m_changed > 0 ? kBroken : kHeld;
  auto const text = "served " + std::to_string(counts.m_served) + " requests; " +
                    std::to_string(counts.m_runs) + " runs, " + std::to_string(counts.m_changed) +
                    " of them changed: " +
                    (result == kBroken ? "broken"
                     : result == kHeld ? "held"
                                       : "not run");
  record.Write(text);
  std::puts(text.c_str());
  std::fflush(nullptr);
  std::_Exit(result);
}
