#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr int kArguments = 6;
constexpr std::size_t kReadBytes = 4096;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthField = "\r\nContent-Length: ";

/// A connection to a gateway that carries one request after the other.
class Connection
{
public:
  Connection(char const* aAddress, char const* aPort)
  {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(aPort, nullptr, 10)));
    m_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    int const isSet = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &isSet, sizeof(isSet));
    m_isOpen = ::inet_pton(AF_INET, aAddress, &peer.sin_addr) == 1 &&
               ::connect(m_socket, reinterpret_cast<sockaddr const*>(&peer), sizeof(peer)) == 0;
  }

  bool IsOpen() const { return m_isOpen; }

  void Send(std::string const& aText)
  {
    m_isOpen = m_isOpen && ::send(m_socket, aText.data(), aText.size(), MSG_NOSIGNAL) ==
                             static_cast<ssize_t>(aText.size());
  }

  /// Reads one response with a length. Returns its status, or 0 if the connection ended.
  unsigned ReadStatus()
  {
    std::string text;
    while (m_isOpen) {
      auto const headEnd = text.find(kHeadEnd);
      if (headEnd != std::string::npos &&
          text.size() >= headEnd + kHeadEnd.size() + LengthOf(text)) {
        return static_cast<unsigned>(
          std::strtoul(text.c_str() + std::strlen("HTTP/1.1 "), nullptr, 10));
      }
      char bytes[kReadBytes];
      auto const size = ::recv(m_socket, bytes, sizeof(bytes), 0);
      m_isOpen = size > 0;
      text.append(bytes, m_isOpen ? static_cast<std::size_t>(size) : 0);
    }
    return 0;
  }

private:
  static std::size_t LengthOf(std::string const& aText)
  {
    auto const field = aText.find(kLengthField);
    return field == std::string::npos
             ? 0
             : std::strtoul(aText.c_str() + field + kLengthField.size(), nullptr, 10);
  }

  int m_socket = -1;
  bool m_isOpen = false;
};

/// A model's name of the greatest length that gateways accept.
std::string NameFor(std::string const& aSuffix)
{
  constexpr std::size_t kNameBytes = 200;
  return std::string(kNameBytes - aSuffix.size(), 'm') + aSuffix;
}

std::string RequestFor(std::string const& aModel, std::string const& aId)
{
  return "POST /chat/run HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-1\r\n"
         "Token-Count: 1,1\r\nDeadline-Ms: 20\r\nContent-Length: 0\r\nModel: " +
         aModel + "\r\nRequest-Id: " + aId + "\r\n\r\n";
}

} // namespace

/// Arguments: address, port, connections, requests on each connection, prefix of the ids, and
/// 1 if each request names another model, or 0 if all name the same one. Prints the number of
/// requests that were answered 503, and ends when the gateway closes a connection.
int main(int aCount, char** aArguments)
{
  if (aCount != kArguments + 1) {
    return 2;
  }
  std::vector<Connection> connections;
  for (unsigned long number = std::strtoul(aArguments[3], nullptr, 10); number > 0; --number) {
    connections.emplace_back(aArguments[1], aArguments[2]);
  }
  std::string const prefix = aArguments[5];
  bool const isVaried = std::string_view(aArguments[6]) == "1";
  auto const rounds = std::strtoul(aArguments[4], nullptr, 10);
  unsigned long sent = 0;
  unsigned long refused = 0;
  bool isOpen = true;
  for (unsigned long round = 0; round < rounds && isOpen; ++round) {
    for (auto& connection : connections) {
      auto const id = prefix + std::to_string(sent++);
      connection.Send(RequestFor(NameFor(isVaried ? id : ""), id));
    }
    for (auto& connection : connections) {
      refused += connection.ReadStatus() == 503 ? 1 : 0;
      isOpen = isOpen && connection.IsOpen();
    }
  }
  std::printf("%lu\n", refused);
  return isOpen ? 0 : 1;
}
