#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinefold::base::detail {

/// Body of a request for Beast's parser. Its memory grows with what has arrived, not
/// with what is announced.
struct HttpRequestBody
{
  // Names that Beast requires.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader
  {
  public:
    template<bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& aBody)
      : m_body(aBody)
    {
    }

    void init(boost::optional<std::uint64_t> const& aLength, boost::system::error_code& aError)
    {
      m_announced = aLength ? std::optional<std::size_t>(*aLength) : std::nullopt;
      aError = {};
    }

    template<class Buffers>
    std::size_t put(Buffers const& aBuffers, boost::system::error_code& aError)
    {
      auto const added = boost::beast::buffer_bytes(aBuffers);
      auto const needed = m_body.size() + added;
      if (needed > m_body.capacity()) {
        auto const grown = std::max(needed, 2 * m_body.capacity());
        m_body.reserve(std::max(needed, std::min(grown, m_announced.value_or(grown))));
      }
      for (auto const buffer : boost::beast::buffers_range_ref(aBuffers)) {
        m_body.append(static_cast<char const*>(buffer.data()), buffer.size());
      }
      aError = {};
      return added;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
    std::optional<std::size_t> m_announced;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace sardinefold::base::detail
