#include "Base/EventLoop.h"
#include "Base/Http/HttpServer.h"
#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

#include <iostream>

using namespace sardinefold;

namespace {

constexpr std::size_t kChunkBytes = 4096;
constexpr std::size_t kStreamBytes = std::size_t(1024) * 1024;

/// Responds to a path that ends in "/stream" with a streamed megabyte, to one
/// that ends in "/hold" with a stream that stays open, and to others with a few
/// bytes.
boost::asio::awaitable<void> Respond(base::EventLoop& aLoop, base::HttpExchange& aExchange)
{
  auto const path = aExchange.Request().Path();
  bool const isHold = path.ends_with("/hold");
  if (!isHold && !path.ends_with("/stream")) {
    auto response = base::JsonResponse(200, R"({"answer":"ok"})");
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  base::HttpHeaders headers;
  headers.Add("Content-Type", "text/plain");
  auto sent = co_await aExchange.StartStream(200, headers);
  std::string const chunk(kChunkBytes, 'x');
  while (isHold && sent) {
    sent = co_await aExchange.Write("x\n");
    co_await aLoop.Sleep(std::chrono::seconds(1));
  }
  for (std::size_t written = 0; sent && written < kStreamBytes; written += kChunkBytes) {
    sent = co_await aExchange.Write(chunk);
  }
  if (sent) {
    co_await aExchange.Finish();
  }
}

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "bench-source",
           "The upstream of the speed benchmark.",
           {
             { "listen", SettingKind::Address, "Address to listen on", std::nullopt },
             { "log-level", SettingKind::Text, "Lowest level logged", "info" },
           } };
}

base::HttpResponse RenderError(base::HttpRequestError const& aError)
{
  return base::JsonResponse(aError.m_status, "{}");
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  auto const start = programs::StartProgram(Table(), "bench-source", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  auto const handler = [&loop](base::HttpExchange& aExchange) { return Respond(loop, aExchange); };
  base::HttpServer server(loop, {}, handler, RenderError);
  if (auto const listening = server.Listen(start.m_settings->Address("listen")); !listening) {
    std::cerr << "bench-source: " << listening.error() << "\n";
    return programs::kExitUsage;
  }
  loop.Run();
}
