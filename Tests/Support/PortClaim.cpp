#include "Tests/Support/PortClaim.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace sardinefold::tests {

namespace {

namespace ip = boost::asio::ip;

constexpr char kClaimHost[] = "127.0.1.250";
constexpr int kMaximumAttempts = 1'000;

/// Returns whether a socket could be bound; it is closed again.
template<typename Protocol>
bool IsFree(boost::asio::io_context& aContext, std::string const& aHost, std::uint16_t aPort)
{
  typename Protocol::endpoint const endpoint(ip::make_address(aHost), aPort);
  typename Protocol::socket socket(aContext, endpoint.protocol());
  boost::system::error_code error;
  socket.bind(endpoint, error);
  return !error;
}

} // namespace

PortClaim::PortClaim(std::vector<std::string> const& aHosts)
{
  for (int attempt = 0; attempt < kMaximumAttempts && m_port == 0; ++attempt) {
    m_claim = ip::tcp::socket(m_context, { ip::make_address(kClaimHost), 0 });
    auto const port = m_claim.local_endpoint().port();
    bool const isFree = std::ranges::all_of(aHosts, [&](std::string const& aHost) {
      return IsFree<ip::tcp>(m_context, aHost, port) && IsFree<ip::udp>(m_context, aHost, port);
    });
    m_port = isFree ? port : 0;
  }
  BOOST_REQUIRE_MESSAGE(m_port != 0, "no port is free on all hosts");
}

} // namespace sardinefold::tests
