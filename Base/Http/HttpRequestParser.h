#pragma once

#include "Base/Http/HttpRequestBody.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>

namespace sardinefold::base::detail {

/// Parser of requests that discards trailer fields: nobody asks for them, and they must not be
/// taken for header fields (RFC 9110, section 6.5.1).
class HttpRequestParser : public boost::beast::http::request_parser<HttpRequestBody>
{
public:
  /// The number of header fields that have been read.
  std::size_t FieldCount() const { return m_fieldCount; }

private:
  // Beast throws an exception for a longer name or value, whose size it keeps with a separator in
  // 16 bits.
  static constexpr std::size_t kMaximumFieldBytes = 65'533;

  // NOLINTNEXTLINE(readability-identifier-naming)
  void on_field_impl(boost::beast::http::field aField, boost::beast::string_view aName,
                     boost::beast::string_view aValue, boost::system::error_code& aError) override
  {
    if (is_header_done()) {
      return;
    }
    if (aName.size() > kMaximumFieldBytes || aValue.size() > kMaximumFieldBytes) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    get().insert(aField, aName, aValue);
    ++m_fieldCount;
  }

  std::size_t m_fieldCount = 0;
};

} // namespace sardinefold::base::detail
