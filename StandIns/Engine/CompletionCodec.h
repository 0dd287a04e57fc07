#pragma once

#include "Base/Http/HttpMessage.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace sardinefold::standins {

/// A completion request in OpenAI's format.
struct CompletionRequest
{
  bool m_isChat = true;
  std::string m_model;
  /// The prompt, or all messages as "role: content" lines.
  std::string m_prompt;
  std::optional<std::uint64_t> m_maximumTokens;
  bool m_ignoreEnd = false;
  bool m_stream = false;
  bool m_includeUsage = false;
  /// Lower values are served first.
  std::int64_t m_priority = 0;
};

/// Fields that all messages of a response share.
struct CompletionResponse
{
  bool m_isChat = true;
  std::string m_id;
  std::string m_model;
  std::int64_t m_createdSeconds = 0;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_cachedTokens = 0;
  std::uint64_t m_generatedTokens = 0;
  /// "stop" or "length".
  std::string m_finishReason;
};

/// Decodes a completion request. The error names the field.
tl::expected<CompletionRequest, std::string> ParseCompletionRequest(
  base::HttpRequest const& aRequest);

std::string RenderCompletion(CompletionResponse const& aResponse, std::string const& aText);
/// Each of these renders one event of a stream, with "data: " and a blank line.
std::string RenderTokenEvent(CompletionResponse const& aResponse, std::string const& aToken,
                             bool aIsFirst);
std::string RenderFinishEvent(CompletionResponse const& aResponse);
std::string RenderUsageEvent(CompletionResponse const& aResponse);
std::string RenderDoneEvent();

} // namespace sardinefold::standins
