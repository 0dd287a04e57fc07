#pragma once

#include "Base/Endpoint.h"
#include "Base/Http/HttpIdleLimits.h"
#include "Base/Time.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sardinefold::base {

/// A connection that can wait for its next request.
template<typename Connection>
concept PooledConnection = requires(Connection& aConnection)
{
  {
    aConnection.m_endpoint
    } -> std::convertible_to<Endpoint>;
  {
    aConnection.m_idleSince
    } -> std::convertible_to<Instant>;
  /// The peer's own idle timeout, if it named one.
  {
    aConnection.m_serverIdleTimeout
    } -> std::convertible_to<std::optional<Duration>>;
};

/// The connections of a client that wait for their next request. Beyond the bound over
/// all endpoints, the least recently used one is closed. To close a connection is to
/// destroy it.
template<PooledConnection Connection>
class HttpIdlePool
{
public:
  explicit HttpIdlePool(HttpIdleLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void Put(std::unique_ptr<Connection> aConnection, Instant aNow)
  {
    auto& connections = m_byEndpoint[aConnection->m_endpoint];
    if (connections.size() >= m_limits.m_perEndpoint) {
      return;
    }
    aConnection->m_idleSince = aNow;
    connections.push_back(m_byAge.insert(m_byAge.end(), std::move(aConnection)));
    while (m_byAge.size() > m_limits.m_total) {
      Remove(m_byAge.begin());
    }
  }

  /// Returns the most recently used connection to the endpoint, or null.
  std::unique_ptr<Connection> Take(Endpoint const& aEndpoint)
  {
    return Take(aEndpoint, [](Connection const&) { return true; });
  }

  /// Returns the most recently used of the connections to the endpoint that the predicate
  /// holds for, or null.
  template<std::predicate<Connection const&> Predicate>
  std::unique_ptr<Connection> Take(Endpoint const& aEndpoint, Predicate const& aPredicate)
  {
    auto const connections = m_byEndpoint.find(aEndpoint);
    if (connections == m_byEndpoint.end()) {
      return nullptr;
    }
    auto const& positions = connections->second;
    auto const found = std::find_if(positions.rbegin(), positions.rend(),
                                    [&](auto const& aItem) { return aPredicate(**aItem); });
    return found == positions.rend() ? nullptr : Remove(*found);
  }

  void Close(Endpoint const& aEndpoint)
  {
    while (Take(aEndpoint)) {
    }
  }

  /// Closes the connections that were idle for longer than the limit, or than half of
  /// the time after which the peer may close them.
  void CloseExpired(Instant aNow)
  {
    CloseIf([&](Connection const& aConnection) {
      auto const limit = std::min(
        m_limits.m_timeout, aConnection.m_serverIdleTimeout.value_or(2 * m_limits.m_timeout) / 2);
      return aNow - aConnection.m_idleSince >= limit;
    });
  }

  template<std::predicate<Connection const&> Predicate>
  void CloseIf(Predicate const& aPredicate)
  {
    for (auto position = m_byAge.begin(); position != m_byAge.end();) {
      auto const next = std::next(position);
      if (aPredicate(**position)) {
        Remove(position);
      }
      position = next;
    }
  }

  /// All connections, the least recently used one first.
  std::list<std::unique_ptr<Connection>> const& Connections() const { return m_byAge; }

  std::size_t Size() const { return m_byAge.size(); }

  std::size_t Size(Endpoint const& aEndpoint) const
  {
    auto const found = m_byEndpoint.find(aEndpoint);
    return found == m_byEndpoint.end() ? 0 : found->second.size();
  }

private:
  using Position = typename std::list<std::unique_ptr<Connection>>::iterator;

  std::unique_ptr<Connection> Remove(Position aPosition)
  {
    auto connection = std::move(*aPosition);
    auto const found = m_byEndpoint.find(connection->m_endpoint);
    std::erase(found->second, aPosition);
    if (found->second.empty()) {
      m_byEndpoint.erase(found);
    }
    m_byAge.erase(aPosition);
    return connection;
  }

  HttpIdleLimits m_limits;
  std::list<std::unique_ptr<Connection>> m_byAge;
  std::map<Endpoint, std::vector<Position>> m_byEndpoint;
};

} // namespace sardinefold::base
