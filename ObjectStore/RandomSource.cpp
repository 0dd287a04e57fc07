#include "ObjectStore/RandomSource.h"

namespace sardinefold::objectstore {

double RandomSource::Fraction()
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  m_state += 0x9e3779b97f4a7c15U;
  auto mixed = m_state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
  mixed ^= mixed >> 31U;
  return static_cast<double>(mixed >> 11U) * kScale;
}

base::Duration RandomSource::Below(base::Duration aLimit)
{
  return base::FromSeconds(base::ToSeconds(aLimit) * Fraction());
}

} // namespace sardinefold::objectstore
