#pragma once

#include "Base/Time.h"

#include <algorithm>
#include <optional>

namespace sardinefold::caller {

/// Deadline for reading an upstream's response: the request's own deadline plus
/// a grace period, in which the upstream can still respond that the deadline
/// has passed. Arriving data does not extend it. A process that was suspended
/// past the deadline reads for one more grace period after it resumes, since
/// the response may have arrived in the meantime.
class ResponseDeadline
{
public:
  ResponseDeadline(base::Instant aEnd, base::Duration aGrace)
    : m_end(aEnd)
    , m_grace(aGrace)
  {
  }

  /// Time left to read; zero after the deadline.
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
  /// When the process first noticed that the end had passed.
  std::optional<base::Instant> m_noticedAt;
};

} // namespace sardinefold::caller
