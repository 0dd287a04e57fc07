#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"
#include "Caller/CatalogIndexBuilder.h"
#include "Programs/ServingWire.h"

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Reads configurations in their order, in slices between which the loop serves
/// requests. The catalog in force stays so until a newer one is complete.
template<ServingWire Wire>
class CatalogReader
{
public:
  /// aInForce is replaced by each newer catalog, and aOnCatalog called after that.
  CatalogReader(base::EventLoop& aLoop, std::unique_ptr<caller::CatalogIndex>& aInForce,
                std::function<void()> aOnCatalog)
    : m_loop(aLoop)
    , m_inForce(aInForce)
    , m_onCatalog(std::move(aOnCatalog))
  {
  }

  CatalogReader(CatalogReader const&) = delete;
  CatalogReader& operator=(CatalogReader const&) = delete;

  void Read(std::string aText)
  {
    m_waiting.push_back({ std::move(aText), m_loop.Now() });
    if (!m_isReading) {
      m_isReading = true;
      m_loop.Start(ReadWaiting());
    }
  }

  bool IsReading() const { return m_isReading; }

private:
  using Decoder = typename Wire::CatalogDecoder;

  struct Configuration
  {
    std::string m_text;
    base::Instant m_receivedAt;
  };

  static constexpr std::size_t kEntriesPerTurn = 16;

  boost::asio::awaitable<void> ReadWaiting()
  {
    while (!m_waiting.empty()) {
      auto next = std::move(m_waiting.front());
      m_waiting.pop_front();
      co_await ReadOne(std::move(next));
    }
    m_isReading = false;
  }

  boost::asio::awaitable<void> ReadOne(Configuration aConfiguration)
  {
    auto const bytes = aConfiguration.m_text.size();
    auto decoder = std::make_unique<Decoder>(std::move(aConfiguration.m_text), m_decoder.get(),
                                             m_decoder ? &m_inForce->Catalog() : nullptr);
    auto catalog = decoder->Decode(kEntriesPerTurn);
    while (!catalog) {
      co_await m_loop.Yield();
      catalog = decoder->Decode(kEntriesPerTurn);
    }
    if (!*catalog) {
      base::log::Error("configuration is unusable", { { "error", catalog->error() } });
      co_return;
    }
    if (m_inForce && m_inForce->Catalog().m_version >= (*catalog)->m_version) {
      co_return;
    }
    caller::CatalogIndexBuilder builder(std::move(**catalog));
    while (!builder.Add(kEntriesPerTurn)) {
      co_await m_loop.Yield();
    }
    auto const replaced = std::exchange(m_inForce, builder.Take());
    auto const replacedDecoder = std::exchange(m_decoder, std::move(decoder));
    LogInForce(bytes, m_loop.Now() - aConfiguration.m_receivedAt);
    m_onCatalog();
  }

  void LogInForce(std::size_t aBytes, base::Duration aTime) const
  {
    auto const& catalog = m_inForce->Catalog();
    base::log::Info("configuration in force",
                    { { "version", std::to_string(catalog.m_version.Value()) },
                      { "routes", std::to_string(catalog.m_routes.size()) },
                      { "bytes", std::to_string(aBytes) },
                      { "read_ms", std::to_string(base::ToMilliseconds(aTime)) } });
  }

  base::EventLoop& m_loop;
  std::unique_ptr<caller::CatalogIndex>& m_inForce;
  std::function<void()> m_onCatalog;
  /// The decoder of the catalog in force.
  std::unique_ptr<Decoder> m_decoder;
  std::deque<Configuration> m_waiting;
  bool m_isReading = false;
};

} // namespace sardinefold::programs
