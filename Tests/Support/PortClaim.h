#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sardinefold::tests {

/// A port that was free for TCP and UDP on all given hosts, and that no other claim
/// of any process has while this one exists.
class PortClaim
{
public:
  explicit PortClaim(std::vector<std::string> const& aHosts);

  std::uint16_t Port() const { return m_port; }

private:
  boost::asio::io_context m_context;
  /// Bound to the port on a host that only claims use.
  boost::asio::ip::tcp::socket m_claim{ m_context };
  std::uint16_t m_port = 0;
};

} // namespace sardinefold::tests
