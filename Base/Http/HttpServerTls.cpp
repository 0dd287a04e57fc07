#include "Base/Http/HttpSession.h"

#include <boost/beast/ssl.hpp>

namespace sardinefold::base {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using detail::kAwait;

namespace detail {

bool HasDecryptedInput(HttpExchange::TlsStream& aStream)
{
  auto* const handle = aStream.native_handle();
  return SSL_has_pending(handle) == 1 || BIO_ctrl_pending(SSL_get_rbio(handle)) > 0;
}

} // namespace detail

asio::awaitable<void> HttpServer::ServeTls(tcp::socket aSocket,
                                           std::shared_ptr<asio::ssl::context> aContext)
{
  detail::CountGuard const guard(m_counts, &HttpServerCounts::m_connections);
  HttpBudgetShare share(m_loop, m_budget);
  if (!share.IsAdmitted()) {
    ReportTurnedAway();
    co_return;
  }
  HttpExchange::TlsStream stream(boost::beast::tcp_stream(std::move(aSocket)), *aContext);
  stream.next_layer().expires_after(m_limits.m_headerTimeout);
  share.OnCut([&stream] {
    boost::system::error_code ignored;
    stream.next_layer().socket().close(ignored);
  });
  auto const [error] = co_await stream.async_handshake(asio::ssl::stream_base::server, kAwait);
  if (error) {
    co_return;
  }
  Session<HttpExchange::TlsStream> session(*this, stream, share);
  bool const mayEndInOrder = co_await session.Run();
  if (!mayEndInOrder) {
    co_return;
  }
  share.OnCut([&stream] {
    boost::system::error_code ignored;
    stream.next_layer().socket().close(ignored);
  });
  stream.next_layer().expires_after(std::chrono::seconds(1));
  co_await stream.async_shutdown(kAwait);
}

} // namespace sardinefold::base
