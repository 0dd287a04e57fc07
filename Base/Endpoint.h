#pragma once

#include <tl/expected.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sardinefold::base {

/// An IP address and a TCP or UDP port.
struct Endpoint
{
  std::string m_address;
  std::uint16_t m_port = 0;

  /// Parses "address:port", with IPv6 addresses in brackets. The error says
  /// what is wrong with the text.
  static tl::expected<Endpoint, std::string> Parse(std::string_view aText);
  std::string Text() const;

  friend bool operator==(Endpoint const&, Endpoint const&) = default;
  friend auto operator<=>(Endpoint const&, Endpoint const&) = default;
};

} // namespace sardinefold::base
