#include "StandIns/Engine/CompletionText.h"

#include "Base/Digest.h"

#include <algorithm>

namespace sardinefold::standins {

namespace {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kMinimumTokens = 8;
constexpr std::uint64_t kMaximumTokens = 64;

} // namespace

std::uint64_t CountTokens(std::string_view aText)
{
  return std::max<std::uint64_t>(1, (aText.size() + kBytesPerToken - 1) / kBytesPerToken);
}

std::uint64_t PromptHash(std::string_view aModel, std::string_view aPrompt)
{
  return base::FastHash(aPrompt, base::FastHash(aModel));
}

std::string CompletionToken(std::uint64_t aPromptHash, std::uint64_t aIndex)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string token;
  for (unsigned shift = 64; shift > 0; shift -= 4) {
    token += kDigits[(aPromptHash >> (shift - 4)) & 15U];
    if (aIndex > 0 && shift == 52) {
      break;
    }
  }
  return token + "-" + std::to_string(aIndex) + " ";
}

std::string CompletionText(std::uint64_t aPromptHash, std::uint64_t aTokens)
{
  std::string text;
  for (std::uint64_t index = 0; index < aTokens; ++index) {
    text += CompletionToken(aPromptHash, index);
  }
  return text;
}

std::uint64_t NaturalLength(std::uint64_t aPromptHash)
{
  return kMinimumTokens + aPromptHash % (kMaximumTokens - kMinimumTokens + 1);
}

} // namespace sardinefold::standins
