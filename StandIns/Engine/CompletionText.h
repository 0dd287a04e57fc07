#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinefold::standins {

/// Returns the number of tokens in a text: one for every four bytes, rounded
/// up, and at least one.
std::uint64_t CountTokens(std::string_view aText);

/// Returns the hash that determines the completion of a prompt.
std::uint64_t PromptHash(std::string_view aModel, std::string_view aPrompt);

/// Returns the token of a completion at an index. The first token contains the
/// whole prompt hash, so that a response to another prompt is detected. Each
/// token contains its index, so that lost or repeated tokens are detected.
std::string CompletionToken(std::uint64_t aPromptHash, std::uint64_t aIndex);

/// Returns the first aTokens tokens of the completion, joined.
std::string CompletionText(std::uint64_t aPromptHash, std::uint64_t aTokens);

/// Returns the number of tokens, from 8 to 64, after which the completion ends
/// by itself.
std::uint64_t NaturalLength(std::uint64_t aPromptHash);

} // namespace sardinefold::standins
