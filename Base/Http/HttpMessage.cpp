#include "Base/Http/HttpMessage.h"

#include "Base/CaseInsensitive.h"

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>
#include <set>
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

/// Names in lower case. An ordered set, as peers can choose names that collide in a hash table.
using Names = std::set<std::string>;

std::string ToLowerCase(std::string_view aText)
{
  std::string text;
  AppendLowerCase(aText, text);
  return text;
}

bool IsHopByHop(std::string_view aName)
{
  return std::ranges::any_of(
    kHopByHopNames, [&](std::string_view aKnown) { return EqualIgnoringCase(aName, aKnown); });
}

/// Adds the names in the value of a Connection field.
void AddConnectionOptions(std::string_view aValue, Names& aNames)
{
  while (!aValue.empty()) {
    auto const comma = std::min(aValue.find(','), aValue.size());
    auto name = ToLowerCase(aValue.substr(0, comma));
    boost::algorithm::trim(name);
    aNames.insert(std::move(name));
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
  }
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
  Names named;
  for (auto const& field : aHeaders.Fields()) {
    if (EqualIgnoringCase(field.m_name, "Connection")) {
      AddConnectionOptions(field.m_value, named);
    }
  }
  aHeaders.RemoveIf([&](HttpHeaders::Field const& aField) {
    return IsHopByHop(aField.m_name) ||
           (!named.empty() && named.contains(ToLowerCase(aField.m_name)));
  });
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
