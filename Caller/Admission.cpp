#include "Caller/Admission.h"

#include "Base/CaseInsensitive.h"

#include <algorithm>

namespace sardinefold::caller {

base::WorkspaceId OpenWorkspace()
{
  return base::WorkspaceId::FromValidated("open");
}

std::optional<std::string_view> BearerSecret(std::optional<std::string_view> aAuthorization)
{
  constexpr std::string_view kScheme = "Bearer ";
  if (!aAuthorization || !base::StartsWithIgnoringCase(*aAuthorization, kScheme)) {
    return std::nullopt;
  }
  auto secret = aAuthorization->substr(kScheme.size());
  secret.remove_prefix(std::min(secret.find_first_not_of(' '), secret.size()));
  if (secret.empty()) {
    return std::nullopt;
  }
  return secret;
}

} // namespace sardinefold::caller
