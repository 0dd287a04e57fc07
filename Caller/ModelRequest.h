#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <optional>
#include <string>

namespace sardinefold::caller {

/// Limits that a request to a model is held to.
struct ModelRequestLimits
{
  /// Output of a request that names no maximum.
  base::Tokens m_defaultOutput{ 256 };
  /// Bytes of text that one token stands for at least. With 1 the reservation
  /// is never below what any tokenizer can count.
  std::int64_t m_bytesPerToken = 1;
};

/// What the system needs to know of a chat or completion request.
struct ModelRequest
{
  /// The model or adapter that the caller names.
  std::string m_name;
  /// Upper bound of the prompt's tokens.
  base::Tokens m_prompt;
  /// The most tokens that may be generated, over all choices.
  base::Tokens m_output;
  /// The most for one choice: with the prompt it has to fit the context.
  base::Tokens m_outputOfChoice;
  bool m_isStream = false;
  /// The body's "user", by which requests of one conversation are found.
  std::optional<base::SessionId> m_session;
  /// Hash of the start of the prompt, where prefix caches hit.
  std::uint64_t m_prefixHash = 0;
  /// The body for the engine: the caller's, with the limits made explicit.
  std::string m_body;
};

/// Why a body is not a request to a model: which field, and what was expected.
struct ModelRequestError
{
  std::string m_message;
};

} // namespace sardinefold::caller
