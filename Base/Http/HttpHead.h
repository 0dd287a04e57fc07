#pragma once

#include "Base/Http/HttpMessage.h"

#include <cstddef>
#include <optional>
#include <string>

namespace sardinefold::base {

/// How the end of a message body is determined.
struct HttpFraming
{
  /// Absent for bodies of unknown size.
  std::optional<std::size_t> m_contentLength;
  bool m_isChunked = false;
};

/// Renders the head of an HTTP/1.1 request. Framing fields among the headers are
/// replaced according to aFraming, and Host is added if it is missing.
std::string RenderRequestHead(HttpRequest const& aRequest, Endpoint const& aEndpoint,
                              HttpFraming aFraming);

/// Whether a response with this status has a body, and fields that say where it ends. Peers read
/// no body after the others, whatever their fields say (RFC 9112, section 6.3).
bool AllowsBody(unsigned aStatus);

/// Renders the head of an HTTP/1.1 response, with framing fields replaced likewise.
std::string RenderResponseHead(unsigned aStatus, HttpHeaders const& aHeaders, HttpFraming aFraming,
                               bool aKeepAlive);

} // namespace sardinefold::base
