#include "Caller/UsageScanner.h"

#include <charconv>

namespace sardinefold::caller {

namespace {

/// Large enough for a usage object and the end of the response after it.
constexpr std::size_t kTailBytes = 2048;

} // namespace

void UsageScanner::Feed(std::string_view aPiece)
{
  if (aPiece.size() >= kTailBytes) {
    m_tail.assign(aPiece.substr(aPiece.size() - kTailBytes));
    return;
  }
  m_tail.append(aPiece);
  // Trimmed only at twice the size, so that small pieces do not move the tail
  // each time.
  if (m_tail.size() > 2 * kTailBytes) {
    m_tail.erase(0, m_tail.size() - kTailBytes);
  }
}

std::optional<base::Tokens> UsageScanner::Total() const
{
  constexpr std::string_view kField = "\"total_tokens\":";
  auto const found = m_tail.rfind(kField);
  if (found == std::string::npos) {
    return std::nullopt;
  }
  auto position = found + kField.size();
  while (position < m_tail.size() && m_tail[position] == ' ') {
    ++position;
  }
  std::int64_t value = 0;
  auto const parsed =
    std::from_chars(m_tail.data() + position, m_tail.data() + m_tail.size(), value);
  if (parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return base::Tokens(value);
}

} // namespace sardinefold::caller
