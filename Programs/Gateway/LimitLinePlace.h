#pragma once

#include "Engine/RequestLimiter.h"

#include <optional>

namespace sardinefold::programs {

/// A request's place in the line for permits of an upstream that names a limit, if it
/// waits in one; the destructor leaves the line.
class LimitLinePlace
{
public:
  /// The limiter must outlive the place.
  explicit LimitLinePlace(engine::RequestLimiter& aLimiter)
    : m_limiter(aLimiter)
  {
  }
  LimitLinePlace(LimitLinePlace const&) = delete;
  LimitLinePlace& operator=(LimitLinePlace const&) = delete;
  ~LimitLinePlace() { Leave(); }

  /// Joins the line of that upstream, unless the request is in it already.
  void MoveTo(engine::UpstreamStart const& aStart)
  {
    if (m_place && m_place->m_start == aStart) {
      return;
    }
    Leave();
    m_place = m_limiter.Join(aStart);
  }

  /// Returns whether there was a line to leave.
  bool Leave()
  {
    if (!m_place) {
      return false;
    }
    m_limiter.Leave(*m_place);
    m_place.reset();
    return true;
  }

  std::optional<engine::RequestLimitPlace> const& Place() const { return m_place; }

private:
  engine::RequestLimiter& m_limiter;
  std::optional<engine::RequestLimitPlace> m_place;
};

} // namespace sardinefold::programs
