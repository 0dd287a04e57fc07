#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"
#include "Base/ObjectVersion.h"
#include "Caller/CatalogIndexBuilder.h"
#include "Programs/ServingWire.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Reads configurations in slices between which the loop serves requests. The catalog
/// in force stays so until a newer one is complete. Of those that wait, the one that
/// arrived last is read first, and replaces the others of its era if it is usable.
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

  /// aEra is the era in which the store held the configuration.
  void Read(std::string aText, base::StoreEra aEra)
  {
    m_waiting.push_back({ std::move(aText), aEra, m_loop.Now() });
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
    base::StoreEra m_era;
    base::Instant m_receivedAt;
  };

  static constexpr std::size_t kEntriesPerTurn = 16;

  boost::asio::awaitable<void> ReadWaiting()
  {
    while (!m_waiting.empty()) {
      auto next = std::move(m_waiting.back());
      m_waiting.pop_back();
      auto const era = next.m_era;
      auto const olderCount = m_waiting.size();
      bool const isUsable = co_await ReadOne(std::move(next));
      if (isUsable) {
        DiscardOlder(olderCount, era);
      }
    }
    m_isReading = false;
  }

  /// Discards those of the first aCount configurations that are of the era.
  void DiscardOlder(std::size_t aCount, base::StoreEra aEra)
  {
    auto const end = m_waiting.begin() + static_cast<std::ptrdiff_t>(aCount);
    auto const kept = std::remove_if(m_waiting.begin(), end,
                                     [aEra](auto const& aOther) { return aOther.m_era == aEra; });
    m_waiting.erase(kept, end);
  }

  /// Returns whether the configuration could be decoded.
  boost::asio::awaitable<bool> ReadOne(Configuration aConfiguration)
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
      co_return false;
    }
    if (m_inForce && m_inForce->Catalog().m_version >= (*catalog)->m_version) {
      co_return true;
    }
    caller::CatalogIndexBuilder builder(std::move(**catalog));
    while (!builder.Add(kEntriesPerTurn)) {
      co_await m_loop.Yield();
    }
    auto const replaced = std::exchange(m_inForce, builder.Take());
    auto const replacedDecoder = std::exchange(m_decoder, std::move(decoder));
    LogInForce(bytes, m_loop.Now() - aConfiguration.m_receivedAt);
    m_onCatalog();
    co_return true;
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
  std::vector<Configuration> m_waiting;
  bool m_isReading = false;
};

} // namespace sardinefold::programs
