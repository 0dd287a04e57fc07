#pragma once

namespace sardinefold::engine {

/// Learns how long work takes at an upstream, relative to what is usual, from the times
/// of answers. Single answers vary, so that the estimate leaves 1 slowly.
class PaceEstimate
{
public:
  /// aRatio is the time that an answer took over what was expected at usual pace.
  void OnAnswer(double aRatio);
  /// 1 is usual; at 2 work takes twice as long.
  double Value() const;

private:
  double m_logarithm = 0;
  unsigned m_answers = 0;
};

} // namespace sardinefold::engine
