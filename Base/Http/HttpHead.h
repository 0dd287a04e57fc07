#pragma once

#include "Base/Http/HttpMessage.h"

#include <cstddef>
#include <optional>
#include <string>

namespace sardinefold::base {

/// How the end of a body is found.
struct HttpFraming
{
  /// Absent for bodies of unknown size.
  std::optional<std::size_t> m_contentLength;
  bool m_isChunked = false;
};

/// Renders the head of an HTTP/1.1 request. The headers' own framing fields
/// are left out for the given ones; Host is added if it is missing.
std::string RenderRequestHead(HttpRequest const& aRequest, Endpoint const& aEndpoint,
                              HttpFraming aFraming);

/// Renders the head of an HTTP/1.1 response.
std::string RenderResponseHead(unsigned aStatus, HttpHeaders const& aHeaders, HttpFraming aFraming,
                               bool aKeepAlive);

} // namespace sardinefold::base
