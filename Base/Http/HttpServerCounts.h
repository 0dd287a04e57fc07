#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace sardinefold::base {

/// What an HttpServer has open. Its sessions share it, as a loop that ends destroys those that are
/// left, which may be after the server.
struct HttpServerCounts
{
  std::size_t m_connections = 0;
  /// Requests that are being read or served.
  std::size_t m_exchanges = 0;
  /// Exchanges that have been answered, and whose peers are still sending.
  std::size_t m_lingering = 0;
};

namespace detail {

/// Increments a count for the lifetime of the guard.
class CountGuard
{
public:
  CountGuard(std::shared_ptr<HttpServerCounts> aCounts, std::size_t HttpServerCounts::*aCount)
    : m_counts(std::move(aCounts))
    , m_count(aCount)
  {
    ++(*m_counts.*m_count);
  }
  CountGuard(CountGuard const&) = delete;
  CountGuard& operator=(CountGuard const&) = delete;
  ~CountGuard() { --(*m_counts.*m_count); }

private:
  std::shared_ptr<HttpServerCounts> m_counts;
  std::size_t HttpServerCounts::*m_count;
};

} // namespace detail

} // namespace sardinefold::base
