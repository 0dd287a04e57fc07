#include "Base/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <utility>

namespace sardinefold::base {

tl::expected<Endpoint, std::string> Endpoint::Parse(std::string_view aText)
{
  auto const colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return tl::make_unexpected("expected address:port, got \"" + std::string(aText) + "\"");
  }
  std::string address(aText.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error) {
    return tl::make_unexpected("\"" + address + "\" is not an IP address");
  }
  auto const portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  auto const parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size()) {
    return tl::make_unexpected("\"" + std::string(portText) + "\" is not a port from 0 to 65535");
  }
  return Endpoint{ std::move(address), port };
}

std::string Endpoint::Text() const
{
  bool const isVersion6 = m_address.find(':') != std::string::npos;
  return (isVersion6 ? "[" + m_address + "]" : m_address) + ":" + std::to_string(m_port);
}

} // namespace sardinefold::base
