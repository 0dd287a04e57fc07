#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

namespace sardinefold::programs {

/// The requests that are being served, each with the action that ends it.
class OpenRequests
{
public:
  /// Lists a request for the lifetime of the entry.
  class Entry
  {
  public:
    Entry(OpenRequests& aRequests, std::function<void()> aEnd)
      : m_requests(aRequests)
      , m_position(aRequests.m_ends.insert(aRequests.m_ends.end(), std::move(aEnd)))
    {
    }
    Entry(Entry const&) = delete;
    Entry& operator=(Entry const&) = delete;
    ~Entry() { m_requests.m_ends.erase(m_position); }

  private:
    OpenRequests& m_requests;
    std::list<std::function<void()>>::iterator m_position;
  };

  /// Ends all requests and returns their number. An action ends no other request.
  std::size_t EndAll() const
  {
    for (auto const& end : m_ends) {
      end();
    }
    return m_ends.size();
  }

private:
  std::list<std::function<void()>> m_ends;
};

} // namespace sardinefold::programs
