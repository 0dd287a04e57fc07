#pragma once

#include "Base/Time.h"

#include <algorithm>
#include <optional>

namespace sardinefold::caller {

/// Until when an upstream's answer is read: a little longer than the request has
/// time, for the upstream's own answer to that. The end stays where it is while
/// pieces keep arriving. A process that stood still past it reads for the same
/// while from when it looks again, as the answer may have come meanwhile.
class ResponseDeadline
{
public:
  ResponseDeadline(base::Instant aEnd, base::Duration aGrace)
    : m_end(aEnd)
    , m_grace(aGrace)
  {
  }

  /// Time left to read; none once it is over.
  base::Duration Left(base::Instant aNow)
  {
    if (aNow < m_end) {
      return m_end + m_grace - aNow;
    }
    if (!m_noticedAt) {
      m_noticedAt = aNow;
    }
    return std::max(*m_noticedAt + m_grace - aNow, base::Duration::zero());
  }

private:
  base::Instant m_end;
  base::Duration m_grace;
  /// When the end was first seen to have passed.
  std::optional<base::Instant> m_noticedAt;
};

} // namespace sardinefold::caller
