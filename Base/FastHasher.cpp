#include "Base/FastHasher.h"

#include <xxhash.h>

#include <new>

namespace sardinefold::base {

void FastHasher::Free::operator()(XXH3_state_s* aState) const
{
  XXH3_freeState(aState);
}

FastHasher::FastHasher()
  : m_state(XXH3_createState())
{
  if (!m_state) {
    throw std::bad_alloc();
  }
  XXH3_64bits_reset(m_state.get());
}

FastHasher::~FastHasher() = default;

FastHasher& FastHasher::Add(std::string_view aPiece)
{
  XXH3_64bits_update(m_state.get(), aPiece.data(), aPiece.size());
  return *this;
}

std::uint64_t FastHasher::Value() const
{
  return XXH3_64bits_digest(m_state.get());
}

} // namespace sardinefold::base
