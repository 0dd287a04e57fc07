#define BOOST_TEST_MODULE UnfinishedResponse
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Base/Log.h"
#include "Programs/SystemClock.h"
#include "Tests/Support/PortClaim.h"

#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

// A response to HTTP/1.0 that has no length ends with its connection. A part of one must not end
// like a whole one, whatever ends it, and with HTTP/1.1 it must not have the last chunk.

using namespace sardinefold;
using namespace std::chrono_literals;
using base::HttpExchange;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
namespace ssl = boost::asio::ssl;

namespace {

/// What becomes of a stream after its first part.
enum class Stop
{
  Finished,
  /// The handler gives the response up, as an upstream has failed.
  GivenUp,
  Thrown,
  /// The caller reads nothing until the write timeout has passed.
  WriteTimedOut,
  ProcessExited,
  ProcessKilled
};

std::ostream& operator<<(std::ostream& aStream, Stop aStop)
{
  constexpr std::array kNames = { "finished",        "given up",       "thrown",
                                  "write timed out", "process exited", "process killed" };
  return aStream << kNames.at(static_cast<std::size_t>(aStop));
}

std::vector<Stop> const kStops = { Stop::Finished,      Stop::GivenUp,       Stop::Thrown,
                                   Stop::WriteTimedOut, Stop::ProcessExited, Stop::ProcessKilled };

constexpr base::Duration kWriteTimeout = 200ms;

/// A folder with a certificate of its own and its key.
class Certificate
{
public:
  Certificate()
  {
    auto const make = "Meta/certificate.sh " + m_folder.string();
    BOOST_REQUIRE(std::system(make.c_str()) == 0);
  }
  ~Certificate() { std::filesystem::remove_all(m_folder); }
  Certificate(Certificate const&) = delete;
  Certificate& operator=(Certificate const&) = delete;

  std::shared_ptr<ssl::context> ServerContext() const
  {
    auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
    context->use_certificate_chain_file(m_folder / "certificate.pem");
    context->use_private_key_file(m_folder / "key.pem", ssl::context::pem);
    return context;
  }

private:
  std::filesystem::path m_folder = std::filesystem::temp_directory_path() /
                                   ("sardinefold-unfinished-" + std::to_string(::getpid()));
};

awaitable<void> Stream(base::EventLoop& aLoop, HttpExchange& aExchange, Stop aStop)
{
  co_await aExchange.StartStream(200, {});
  co_await aExchange.Write("part");
  std::string const block(64UL * 1024, 'x');
  while (aStop == Stop::WriteTimedOut && !aExchange.IsPeerDisconnected()) {
    co_await aExchange.Write(block);
  }
  co_await aLoop.Sleep(50ms);
  switch (aStop) {
    case Stop::Finished:
      co_await aExchange.Finish();
      break;
    case Stop::Thrown:
      throw std::runtime_error("the handler failed");
    case Stop::ProcessExited:
      std::_Exit(0);
    case Stop::ProcessKilled:
      std::raise(SIGKILL);
      break;
    default:
      aExchange.CloseAfterResponse();
  }
}

/// A process that serves one kind of stream.
class ServerProcess
{
public:
  ServerProcess(Stop aStop, Certificate const* aCertificate)
    : m_pid(::fork())
  {
    if (m_pid == 0) {
      Serve(aStop, aCertificate);
      std::_Exit(0);
    }
  }
  ~ServerProcess()
  {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
  ServerProcess(ServerProcess const&) = delete;
  ServerProcess& operator=(ServerProcess const&) = delete;

  void Connect(tcp::socket& aSocket) const
  {
    tcp::endpoint const address(boost::asio::ip::make_address("127.0.0.1"), m_port.Port());
    boost::system::error_code error = boost::asio::error::not_connected;
    for (int attempt = 0; error && attempt < 300; ++attempt) {
      aSocket.close();
      aSocket.connect(address, error);
      if (error) {
        std::this_thread::sleep_for(10ms);
      }
    }
    BOOST_REQUIRE(!error);
  }

private:
  void Serve(Stop aStop, Certificate const* aCertificate) const
  {
    if (!base::log::Configure("server", "error")) {
      return;
    }
    base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
    base::HttpServerLimits limits;
    limits.m_writeTimeout = kWriteTimeout;
    base::HttpServer server(
      loop, limits, [&](HttpExchange& aExchange) { return Stream(loop, aExchange, aStop); },
      [](base::HttpRequestError const& aError) {
        return base::JsonResponse(aError.m_status, "{}");
      });
    if (aCertificate) {
      server.UseTls(aCertificate->ServerContext());
    }
    if (server.Listen({ "127.0.0.1", m_port.Port() })) {
      loop.Run();
    }
  }

  tests::PortClaim m_port{ { "127.0.0.1" } };
  ::pid_t m_pid;
};

/// What a caller received, and how it ended.
struct Received
{
  std::string m_text;
  boost::system::error_code m_end;
};

template<typename Connection>
Received Exchange(Connection& aConnection, std::string const& aVersion, Stop aStop)
{
  Received received;
  boost::asio::write(
    aConnection,
    boost::asio::buffer("GET / HTTP/" + aVersion + "\r\nHost: h\r\nConnection: close\r\n\r\n"),
    received.m_end);
  if (aStop == Stop::WriteTimedOut) {
    std::this_thread::sleep_for(3 * kWriteTimeout);
  }
  std::array<char, 64UL * 1024> part{};
  while (!received.m_end) {
    auto const size = aConnection.read_some(boost::asio::buffer(part), received.m_end);
    received.m_text.append(part.data(), size);
  }
  return received;
}

void CheckEnd(Received const& aReceived, bool aIsChunked, Stop aStop)
{
  bool const isWhole = aStop == Stop::Finished;
  BOOST_TEST(aReceived.m_text.starts_with("HTTP/1.1 200"));
  if (aIsChunked) {
    BOOST_TEST(aReceived.m_text.ends_with("\r\n0\r\n\r\n") == isWhole);
  } else {
    BOOST_TEST((aReceived.m_end == boost::asio::error::eof) == isWhole, aReceived.m_end.message());
  }
}

} // namespace

BOOST_DATA_TEST_CASE(APartOfAResponseDoesNotEndLikeAWholeOne,
                     boost::unit_test::data::make(kStops) *
                       boost::unit_test::data::make({ "1.0", "1.1" }),
                     aStop, aVersion)
{
  ServerProcess const server(aStop, nullptr);
  boost::asio::io_context context;
  tcp::socket socket(context);
  server.Connect(socket);
  CheckEnd(Exchange(socket, aVersion, aStop), aVersion == std::string("1.1"), aStop);
}

BOOST_DATA_TEST_CASE(APartOfAnEncryptedResponseDoesNotEndLikeAWholeOne,
                     boost::unit_test::data::make(kStops) *
                       boost::unit_test::data::make({ "1.0", "1.1" }),
                     aStop, aVersion)
{
  Certificate const certificate;
  ServerProcess const server(aStop, &certificate);
  boost::asio::io_context context;
  ssl::context tls(ssl::context::tls_client);
  ssl::stream<tcp::socket> stream(context, tls);
  server.Connect(stream.next_layer());
  stream.handshake(ssl::stream_base::client);
  CheckEnd(Exchange(stream, aVersion, aStop), aVersion == std::string("1.1"), aStop);
}
