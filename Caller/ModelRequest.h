#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <optional>
#include <string>

namespace sardinefold::caller {

/// Limits for parsing requests to models.
struct ModelRequestLimits
{
  /// Maximum output of a request that states none.
  base::Tokens m_defaultOutput{ 256 };
  /// Minimum number of bytes of text for each token. With 1, the reservation is
  /// never below the count of any tokenizer.
  std::int64_t m_bytesPerToken = 1;
};

/// The properties of a chat or completion request that determine how it is
/// dispatched.
struct ModelRequest
{
  /// The model or adapter that the caller names.
  std::string m_name;
  /// Upper bound for the number of tokens in the prompt.
  base::Tokens m_prompt;
  /// Maximum number of generated tokens over all choices.
  base::Tokens m_output;
  /// Maximum number of generated tokens for one choice, which must fit the
  /// context together with the prompt.
  base::Tokens m_outputOfChoice;
  bool m_isStream = false;
  /// The body's "user" field, which identifies requests of the same
  /// conversation.
  std::optional<base::SessionId> m_session;
  /// Hash of the start of the prompt, for routing to upstreams whose prefix
  /// cache holds it.
  std::uint64_t m_prefixHash = 0;
  /// The body for the engine: the caller's body with explicit limits.
  std::string m_body;
};

/// Why a body is not a valid request to a model; the message names the field
/// and what was expected.
struct ModelRequestError
{
  std::string m_message;
};

} // namespace sardinefold::caller
