#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinefold::standins {

/// Tokens of a text: one for each four bytes begun, at least one.
std::uint64_t CountTokens(std::string_view aText);

/// Hash that the answer to a prompt follows from.
std::uint64_t PromptHash(std::string_view aModel, std::string_view aPrompt);

/// The token of an answer at a position. The first names the prompt's hash, so
/// that a crossed answer is seen, and each names its position, so that a lost
/// or doubled token is seen.
std::string CompletionToken(std::uint64_t aPromptHash, std::uint64_t aIndex);

/// The first tokens of the answer, joined.
std::string CompletionText(std::uint64_t aPromptHash, std::uint64_t aTokens);

/// Tokens after which the answer ends by itself: from 8 to 64.
std::uint64_t NaturalLength(std::uint64_t aPromptHash);

} // namespace sardinefold::standins
