#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace sardinefold::base {

/// Computes FastHash() of a text that is in several pieces, without joining them.
class FastHasher
{
public:
  FastHasher();
  ~FastHasher();
  FastHasher(FastHasher const&) = delete;
  FastHasher& operator=(FastHasher const&) = delete;

  FastHasher& Add(std::string_view aPiece);
  std::uint64_t Value() const;

private:
  struct Free
  {
    void operator()(XXH3_state_s* aState) const;
  };
  std::unique_ptr<XXH3_state_s, Free> m_state;
};

} // namespace sardinefold::base
