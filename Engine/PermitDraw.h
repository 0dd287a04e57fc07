#pragma once

namespace sardinefold::engine {

/// What all processes together may send to an upstream within a window of time.
struct PermitTerms
{
  /// Requests wanted within the window.
  double m_total = 0;
  /// Most requests allowed within the window.
  double m_maximum = 0;
  /// Chance, for one start of one upstream, that the permits of all processes exceed the
  /// maximum.
  double m_excessChance = 0;
};

/// The permits that a process takes without asking the others. Processes that draw
/// independently keep the terms together, as long as there are no more of them than
/// counted here.
class PermitDraw
{
public:
  PermitDraw() = default;
  PermitDraw(PermitTerms const& aTerms, unsigned aProcesses);

  /// Requests that a process may send within the window. aDraw, from 0 to 1, is the
  /// process's own for each start of an upstream.
  unsigned PermitsFor(double aDraw) const { return m_certain + (aDraw < m_chance ? 1 : 0); }

private:
  /// Permits of each process.
  unsigned m_certain = 0;
  /// Chance that a process has one more.
  double m_chance = 0;
};

} // namespace sardinefold::engine
