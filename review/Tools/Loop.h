#pragma once

#include "Programs/SystemClock.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinefold::review {

/// An HTTP message with a Content-Length.
struct Message
{
  std::string m_startLine;
  /// Fields by their name in lower case.
  std::map<std::string, std::string> m_fields;
  std::string m_body;

  std::string Field(std::string const& aName) const
  {
    auto const found = m_fields.find(aName);
    return found == m_fields.end() ? std::string() : found->second;
  }
  /// The status of a response.
  int Status() const { return m_startLine.size() > 9 ? std::atoi(m_startLine.c_str() + 9) : 0; }
};

/// One end of a TCP connection. It is destroyed by the loop once it is closed.
struct Connection
{
  int m_socket = -1;
  /// Unique in the process.
  std::uint64_t m_number = 0;
  std::string m_input;
  std::string m_output;
  bool m_isClosed = false;
  /// Called for each complete message, and with none when the peer has closed.
  std::function<void(Connection&, Message const*)> m_onMessage;

  void Write(std::string const& aText)
  {
    m_output += aText;
    Flush();
  }

  void Flush()
  {
    while (!m_isClosed && !m_output.empty()) {
      auto const sent = ::send(m_socket, m_output.data(), m_output.size(), MSG_NOSIGNAL);
      if (sent < 0) {
        if (errno != EAGAIN && errno != EINTR) {
          Close();
        }
        return;
      }
      m_output.erase(0, static_cast<std::size_t>(sent));
    }
  }

  void Close()
  {
    if (!m_isClosed) {
      m_isClosed = true;
      ::close(m_socket);
    }
  }
};

/// Removes a complete message from the front of the input.
inline std::optional<Message> TakeMessage(std::string& aInput)
{
  auto const headEnd = aInput.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::size_t position = aInput.find("\r\n");
  message.m_startLine = aInput.substr(0, position);
  while (position < headEnd) {
    auto const start = position + 2;
    position = aInput.find("\r\n", start);
    auto const line = aInput.substr(start, position - start);
    auto const colon = line.find(": ");
    if (colon != std::string::npos) {
      auto name = line.substr(0, colon);
      for (auto& letter : name) {
        letter = letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
      }
      message.m_fields[name] = line.substr(colon + 2);
    }
  }
  auto const length = std::strtoull(message.Field("content-length").c_str(), nullptr, 10);
  if (aInput.size() < headEnd + 4 + length) {
    return std::nullopt;
  }
  message.m_body = aInput.substr(headEnd + 4, length);
  aInput.erase(0, headEnd + 4 + length);
  return message;
}

inline sockaddr_in ToAddress(std::string const& aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

/// A single-threaded loop of sockets and timers.
class Loop
{
public:
  using Instant = base::Instant;
  using OnMessage = std::function<void(Connection&, Message const*)>;

  Instant Now() const { return programs::SystemClock::Monotonic(); }

  /// Returns the listening socket, or -1.
  int Listen(std::string const& aAddress, std::uint16_t aPort, OnMessage aOnMessage)
  {
    int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const address = ToAddress(aAddress, aPort);
    if (::bind(listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0 ||
        ::listen(listener, 1024) != 0) {
      ::close(listener);
      return -1;
    }
    m_listeners[listener] = std::move(aOnMessage);
    return listener;
  }

  void CloseListener(int aListener)
  {
    m_listeners.erase(aListener);
    ::close(aListener);
  }

  /// Opens a connection. On loopback it is established at once by the kernel, whether or
  /// not the process accepts it.
  std::shared_ptr<Connection> Connect(std::string const& aAddress, std::uint16_t aPort,
                                      OnMessage aOnMessage)
  {
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = ToAddress(aAddress, aPort);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0) {
      ::close(socket);
      return nullptr;
    }
    return Add(socket, std::move(aOnMessage));
  }

  void After(base::Duration aDelay, std::function<void()> aAction)
  {
    m_timers.emplace(Now() + aDelay, std::move(aAction));
  }

  /// Runs until the condition holds or the time has passed. Returns the condition.
  template<typename Condition>
  bool RunUntil(base::Duration aLimit, Condition aCondition)
  {
    auto const end = Now() + aLimit;
    while (!aCondition()) {
      auto const now = Now();
      if (now >= end) {
        return false;
      }
      RunOnce(end - now);
    }
    return true;
  }

  void RunFor(base::Duration aTime)
  {
    RunUntil(aTime, [] { return false; });
  }

private:
  std::shared_ptr<Connection> Add(int aSocket, OnMessage aOnMessage)
  {
    ::fcntl(aSocket, F_SETFL, O_NONBLOCK);
    int const on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_shared<Connection>();
    connection->m_socket = aSocket;
    connection->m_number = ++m_lastConnection;
    connection->m_onMessage = std::move(aOnMessage);
    m_connections.push_back(connection);
    return connection;
  }

  void RunOnce(base::Duration aLimit)
  {
    while (!m_timers.empty() && m_timers.begin()->first <= Now()) {
      auto const action = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      action();
    }
    auto wait = aLimit;
    if (!m_timers.empty()) {
      wait = std::min(wait, m_timers.begin()->first - Now());
    }
    m_connections.remove_if([](auto const& aItem) { return aItem->m_isClosed; });
    std::vector<pollfd> polled;
    std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(),
                                                         m_connections.end());
    for (auto const& connection : connections) {
      short const events = connection->m_output.empty() ? POLLIN : POLLIN | POLLOUT;
      polled.push_back({ connection->m_socket, events, 0 });
    }
    for (auto const& [listener, onMessage] : m_listeners) {
      polled.push_back({ listener, POLLIN, 0 });
    }
    auto const milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::max(wait, base::Duration::zero()));
    ::poll(polled.data(), polled.size(), static_cast<int>(milliseconds.count()) + 1);
    for (std::size_t index = 0; index < polled.size(); ++index) {
      if (polled[index].revents == 0) {
        continue;
      }
      if (index < connections.size()) {
        Handle(*connections[index]);
      } else {
        Accept(polled[index].fd);
      }
    }
  }

  void Accept(int aListener)
  {
    auto const found = m_listeners.find(aListener);
    if (found == m_listeners.end()) {
      return;
    }
    int const socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket >= 0) {
      Add(socket, found->second);
    }
  }

  static void Handle(Connection& aConnection)
  {
    if (aConnection.m_isClosed) {
      return;
    }
    aConnection.Flush();
    std::vector<char> buffer(256 * 1024);
    auto const size = ::recv(aConnection.m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
      aConnection.m_input.append(buffer.data(), static_cast<std::size_t>(size));
      while (auto const message = TakeMessage(aConnection.m_input)) {
        aConnection.m_onMessage(aConnection, &*message);
      }
    } else if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
      aConnection.Close();
      aConnection.m_onMessage(aConnection, nullptr);
    }
  }

  std::map<int, OnMessage> m_listeners;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::multimap<Instant, std::function<void()>> m_timers;
  std::uint64_t m_lastConnection = 0;
};

} // namespace sardinefold::review
