#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Agent/Fleet/StreamOriginHolders.h"
#include "Agent/Fleet/StreamOriginTable.h"
#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Base/Signal.h"
#include "Programs/FleetMessenger.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Keeps the origins of this gateway's streams at some of the loaders, which outlive the
/// gateways, and finds there the origin of a stream that a caller resumes.
class StreamOriginExchange
{
public:
  /// How the search for an origin ended.
  enum class Outcome
  {
    Found,
    /// All loaders that should know the origin do not know it.
    Unknown,
    /// Some of them have not answered.
    Unanswered
  };
  struct SearchResult
  {
    Outcome m_outcome = Outcome::Unknown;
    std::optional<agent::StreamOrigin> m_origin;
  };

  /// A stream that runs here; its origin is repeated until this is destroyed.
  class OpenStream
  {
  public:
    OpenStream(StreamOriginExchange& aExchange, agent::StreamOrigin aOrigin)
      : m_exchange(aExchange)
      , m_place(aExchange.m_openStreams.insert(aExchange.m_openStreams.end(), std::move(aOrigin)))
    {
      m_exchange.OnOpened(*m_place);
    }
    OpenStream(OpenStream const&) = delete;
    OpenStream& operator=(OpenStream const&) = delete;
    ~OpenStream() { m_exchange.m_openStreams.erase(m_place); }

  private:
    StreamOriginExchange& m_exchange;
    std::list<agent::StreamOrigin>::iterator m_place;
  };

  StreamOriginExchange(base::EventLoop& aLoop, FleetMessenger& aMessenger)
    : m_loop(aLoop)
    , m_messenger(aMessenger)
  {
  }

  /// Sets the loaders of all engines that are known.
  void SetLoaders(std::vector<base::Endpoint> aLoaders) { m_loaders = std::move(aLoaders); }

  /// Finds where the stream began whose first event was in the response to the request.
  boost::asio::awaitable<SearchResult> Find(base::RequestId aRequest,
                                            base::Cancellation const& aCancellation)
  {
    if (auto known = m_known.Find(aRequest, m_loop.Now())) {
      co_return SearchResult{ Outcome::Found, std::move(known) };
    }
    auto const holders =
      agent::StreamOriginHolders(m_loaders, aRequest, kHolders + kFurtherLoadersAsked);
    Search search{
      aRequest, { holders.begin(), holders.end() }, std::nullopt, base::Signal(m_loop.Context())
    };
    auto const place = m_searches.insert(m_searches.end(), &search);
    auto const end = m_loop.Now() + kSearchTime;
    while (!search.m_origin && !search.m_unanswered.empty() && m_loop.Now() < end &&
           !aCancellation.IsCancelled()) {
      m_messenger.SendToEach({ search.m_unanswered.begin(), search.m_unanswered.end() },
                             agent::StreamOriginQuery{ aRequest });
      auto const repeatAt = std::min(m_loop.Now() + kRepeatInterval, end);
      while (!search.m_origin && !search.m_unanswered.empty() && m_loop.Now() < repeatAt) {
        co_await search.m_answered.Wait(repeatAt - m_loop.Now());
      }
    }
    m_searches.erase(place);
    if (search.m_origin) {
      co_return SearchResult{ Outcome::Found, std::move(search.m_origin) };
    }
    bool const isKnownNowhere = search.m_unanswered.empty() && !holders.empty();
    co_return SearchResult{ isKnownNowhere ? Outcome::Unknown : Outcome::Unanswered, std::nullopt };
  }

  void OnReply(agent::StreamOriginReply const& aReply, base::Endpoint const& aLoader)
  {
    for (auto* const search : m_searches) {
      if (search->m_request != aReply.m_request) {
        continue;
      }
      search->m_unanswered.erase(aLoader);
      if (aReply.m_origin) {
        search->m_origin = aReply.m_origin;
      }
      search->m_answered.Notify();
    }
  }

  /// Repeats the origins of open streams, as a loader may have restarted or lost a message,
  /// and as other loaders may keep them now. To be called once a second.
  void Repeat()
  {
    std::map<base::Endpoint, std::vector<agent::StreamOrigin>> origins;
    for (auto const& origin : m_openStreams) {
      m_known.Record(origin, m_loop.Now());
      for (auto const& holder : HoldersOf(origin)) {
        origins[holder].push_back(origin);
      }
    }
    for (auto const& [holder, list] : origins) {
      for (std::size_t sent = 0; sent < list.size(); sent += kMaximumOrigins) {
        auto const first = list.begin() + static_cast<std::ptrdiff_t>(sent);
        auto const count = std::min(kMaximumOrigins, list.size() - sent);
        m_messenger.Send(
          holder, agent::StreamOrigins{ { first, first + static_cast<std::ptrdiff_t>(count) } });
      }
    }
  }

private:
  /// Loaders that keep one origin. Several may be killed or replaced at once.
  static constexpr std::size_t kHolders = 3;
  /// Loaders that came since the origin was told have taken the places of some holders.
  static constexpr std::size_t kFurtherLoadersAsked = 3;
  static constexpr base::Duration kSearchTime = std::chrono::milliseconds(400);
  static constexpr base::Duration kRepeatInterval = std::chrono::milliseconds(80);
  /// Origins that fit in a datagram.
  static constexpr std::size_t kMaximumOrigins = 100;

  struct Search
  {
    base::RequestId m_request;
    std::set<base::Endpoint> m_unanswered;
    std::optional<agent::StreamOrigin> m_origin;
    base::Signal m_answered;
  };

  std::vector<base::Endpoint> HoldersOf(agent::StreamOrigin const& aOrigin) const
  {
    return agent::StreamOriginHolders(m_loaders, aOrigin.m_request, kHolders);
  }

  void OnOpened(agent::StreamOrigin const& aOrigin)
  {
    m_known.Record(aOrigin, m_loop.Now());
    m_messenger.SendToEach(HoldersOf(aOrigin), agent::StreamOrigins{ { aOrigin } });
  }

  base::EventLoop& m_loop;
  FleetMessenger& m_messenger;
  std::vector<base::Endpoint> m_loaders;
  agent::StreamOriginTable m_known;
  std::list<agent::StreamOrigin> m_openStreams;
  std::list<Search*> m_searches;
};

} // namespace sardinefold::programs
