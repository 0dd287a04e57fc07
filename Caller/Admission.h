#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Caller/Refusal.h"
#include "Caller/RouteTable.h"

#include <tl/expected.hpp>

#include <concepts>
#include <optional>
#include <string_view>

namespace sardinefold::caller {

/// Why a key is not accepted.
enum class KeyError
{
  Invalid,
  /// The verifier can't determine whether the key has been revoked.
  NotVerifiable
};

/// Returns the workspace that a secret key belongs to at the given time.
template<typename T>
concept KeyVerifier = requires(T const& aVerifier, std::string_view aSecret, base::Instant aNow)
{
  {
    aVerifier.Verify(aSecret, aNow)
    } -> std::same_as<tl::expected<base::WorkspaceId, KeyError>>;
};

/// The workspace of requests on routes that need no key.
base::WorkspaceId OpenWorkspace();

/// The route, workspace and deadline of a request that may be served.
struct Admitted
{
  operators::RouteSpec m_route;
  base::WorkspaceId m_workspace;
  /// When the first byte of the response is due.
  base::Instant m_deadline;
};

/// The secret of an "Authorization: Bearer" value; nullopt for any other value.
std::optional<std::string_view> BearerSecret(std::optional<std::string_view> aAuthorization);

/// Decides by path and key whether a request may be served.
template<KeyVerifier Keys>
tl::expected<Admitted, Refusal> Admit(RouteTable const& aRoutes, Keys const& aKeys,
                                      std::string_view aPath,
                                      std::optional<std::string_view> aAuthorization,
                                      base::Instant aNow)
{
  auto const* const route = aRoutes.Find(aPath);
  if (!route) {
    return tl::make_unexpected(
      RefuseBeforeSending(RefusalCode::UnknownRoute, "no route matches this path"));
  }
  if (route->m_isOpen) {
    return Admitted{ *route, OpenWorkspace(), aNow + route->m_deadline };
  }
  auto const secret = BearerSecret(aAuthorization);
  if (!secret) {
    return tl::make_unexpected(RefuseBeforeSending(
      RefusalCode::MissingKey, "this route needs a key in \"Authorization: Bearer KEY\""));
  }
  auto const workspace = aKeys.Verify(*secret, aNow);
  if (workspace) {
    return Admitted{ *route, *workspace, aNow + route->m_deadline };
  }
  if (workspace.error() == KeyError::NotVerifiable) {
    return tl::make_unexpected(RefuseBeforeSending(
      RefusalCode::KeysNotVerifiable, "this process has no fresh news of withdrawn keys",
      std::chrono::seconds(1)));
  }
  return tl::make_unexpected(
    RefuseBeforeSending(RefusalCode::InvalidKey, "the key is not valid or has been withdrawn"));
}

} // namespace sardinefold::caller
