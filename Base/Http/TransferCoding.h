#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>

#include <iterator>

namespace sardinefold::base::detail {

/// Whether a message has no transfer coding, or one that tells where its body ends and that Beast
/// decodes. Beast ignores all codings but chunked, and with them how the body is delimited
/// (RFC 9112, sections 6.1 and 6.3).
template<bool kIsRequest, class Fields>
bool HasSupportedTransferCoding(boost::beast::http::header<kIsRequest, Fields> const& aHead)
{
  constexpr unsigned kFirstVersionWithCodings = 11;
  auto const fields = aHead.equal_range(boost::beast::http::field::transfer_encoding);
  if (fields.first == fields.second) {
    return true;
  }
  bool const isSingle = std::next(fields.first) == fields.second;
  return isSingle && aHead.version() >= kFirstVersionWithCodings &&
         boost::beast::iequals(fields.first->value(), "chunked");
}

} // namespace sardinefold::base::detail
