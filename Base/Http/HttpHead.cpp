#include "Base/Http/HttpHead.h"

#include "Base/CaseInsensitive.h"

#include <boost/beast/http.hpp>

namespace sardinefold::base {

namespace {

constexpr std::size_t kTypicalHeadBytes = 1024;

bool IsFramingField(std::string_view aName)
{
  return EqualIgnoringCase(aName, "Content-Length") ||
         EqualIgnoringCase(aName, "Transfer-Encoding") || EqualIgnoringCase(aName, "Connection");
}

void AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

void AppendFields(std::string& aText, HttpHeaders const& aHeaders, HttpFraming aFraming)
{
  for (auto const& field : aHeaders.Fields()) {
    if (!IsFramingField(field.m_name)) {
      AppendField(aText, field.m_name, field.m_value);
    }
  }
  if (aFraming.m_isChunked) {
    AppendField(aText, "Transfer-Encoding", "chunked");
  } else if (aFraming.m_contentLength) {
    AppendField(aText, "Content-Length", std::to_string(*aFraming.m_contentLength));
  }
}

} // namespace

std::string RenderRequestHead(HttpRequest const& aRequest, Endpoint const& aEndpoint,
                              HttpFraming aFraming)
{
  std::string text;
  text.reserve(kTypicalHeadBytes);
  text.append(aRequest.m_method).append(" ").append(aRequest.m_target).append(" HTTP/1.1\r\n");
  AppendFields(text, aRequest.m_headers, aFraming);
  if (!aRequest.m_headers.Find("Host")) {
    AppendField(text, "Host", aEndpoint.Text());
  }
  text.append("\r\n");
  return text;
}

bool AllowsBody(unsigned aStatus)
{
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus >= kFirstFinalStatus && aStatus != kNoContent && aStatus != kNotModified;
}

std::string RenderResponseHead(unsigned aStatus, HttpHeaders const& aHeaders, HttpFraming aFraming,
                               bool aKeepAlive)
{
  auto const reason =
    boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(aStatus));
  std::string text;
  text.reserve(kTypicalHeadBytes);
  text.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  text.append(reason.data(), reason.size()).append("\r\n");
  AppendFields(text, aHeaders, aFraming);
  if (!aKeepAlive) {
    AppendField(text, "Connection", "close");
  }
  text.append("\r\n");
  return text;
}

} // namespace sardinefold::base
