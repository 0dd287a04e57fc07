#include "Base/Http/HttpMessage.h"

#include "Base/CaseInsensitive.h"

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sardinefold::base {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames = { "Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade" };

std::vector<std::string> ConnectionTokens(HttpHeaders const& aHeaders)
{
  std::vector<std::string> tokens;
  for (auto const& field : aHeaders.Fields()) {
    if (!EqualIgnoringCase(field.m_name, "Connection")) {
      continue;
    }
    std::string_view rest = field.m_value;
    while (!rest.empty()) {
      auto const comma = std::min(rest.find(','), rest.size());
      std::string token(rest.substr(0, comma));
      boost::algorithm::trim(token);
      tokens.push_back(std::move(token));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return tokens;
}

} // namespace

void HttpHeaders::Add(std::string aName, std::string aValue)
{
  m_fields.push_back({ std::move(aName), std::move(aValue) });
}

void HttpHeaders::Set(std::string aName, std::string aValue)
{
  Remove(aName);
  Add(std::move(aName), std::move(aValue));
}

void HttpHeaders::Remove(std::string_view aName)
{
  std::erase_if(m_fields,
                [&](Field const& aField) { return EqualIgnoringCase(aField.m_name, aName); });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view aName) const
{
  for (auto const& field : m_fields) {
    if (EqualIgnoringCase(field.m_name, aName)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

std::size_t HttpHeaders::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_fields, [&](Field const& aField) { return EqualIgnoringCase(aField.m_name, aName); }));
}

void RemoveHopByHopHeaders(HttpHeaders& aHeaders)
{
  for (auto const& token : ConnectionTokens(aHeaders)) {
    aHeaders.Remove(token);
  }
  for (auto const& name : kHopByHopNames) {
    aHeaders.Remove(name);
  }
}

std::string_view HttpRequest::Path() const
{
  std::string_view const target = m_target;
  return target.substr(0, target.find('?'));
}

std::optional<std::string_view> HttpRequest::Query(std::string_view aName) const
{
  std::string_view rest = m_target;
  auto const question = rest.find('?');
  if (question == std::string_view::npos) {
    return std::nullopt;
  }
  rest.remove_prefix(question + 1);
  while (!rest.empty()) {
    auto const parameter = rest.substr(0, rest.find('&'));
    auto const equals = parameter.find('=');
    if (parameter.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string_view() : parameter.substr(equals + 1);
    }
    rest.remove_prefix(std::min(parameter.size() + 1, rest.size()));
  }
  return std::nullopt;
}

HttpResponse JsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers.Add("Content-Type", "application/json");
  response.m_body = std::move(aBody);
  return response;
}

} // namespace sardinefold::base
