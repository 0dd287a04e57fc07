#pragma once

#include "Base/Endpoint.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::base {

/// The header fields of an HTTP message, in order. Names are case-insensitive.
class HttpHeaders
{
public:
  struct Field
  {
    std::string m_name;
    std::string m_value;
  };

  /// Makes room for as many fields, so that more than they need is not taken as they are added.
  void Reserve(std::size_t aFields) { m_fields.reserve(aFields); }
  void Add(std::string aName, std::string aValue);
  /// Replaces all fields of this name by one.
  void Set(std::string aName, std::string aValue);
  void Remove(std::string_view aName);
  /// Removes all fields for which the predicate returns true.
  template<typename Predicate>
  void RemoveIf(Predicate const& aPredicate)
  {
    std::erase_if(m_fields, aPredicate);
  }
  /// Returns the value of the first field of this name.
  std::optional<std::string_view> Find(std::string_view aName) const;
  std::size_t Count(std::string_view aName) const;
  std::vector<Field> const& Fields() const { return m_fields; }

private:
  std::vector<Field> m_fields;
};

/// Removes the hop-by-hop fields of RFC 9110, section 7.6.1: Connection and all
/// fields that it names, Keep-Alive, Proxy-*, TE, Trailer, Transfer-Encoding and
/// Upgrade.
void RemoveHopByHopHeaders(HttpHeaders& aHeaders);

struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_target = "/";
  HttpHeaders m_headers;
  std::string m_body;

  /// Returns the target without its query.
  std::string_view Path() const;
  /// Returns the value of a query parameter, not percent-decoded.
  std::optional<std::string_view> Query(std::string_view aName) const;
};

struct HttpResponse
{
  unsigned m_status = 200;
  HttpHeaders m_headers;
  std::string m_body;
};

/// Makes a response whose body is the given JSON text.
HttpResponse JsonResponse(unsigned aStatus, std::string aBody);

} // namespace sardinefold::base
