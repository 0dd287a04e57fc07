#pragma once

#include "Base/Units.h"

#include <utility>

namespace sardinefold::caller {

/// The memory for answers that are held before they are passed on. One answer
/// gets no more than is then left for the others, so that an answer without end
/// leaves room for those that have one.
class ResponseMemoryBudget
{
public:
  explicit ResponseMemoryBudget(base::Bytes aTotal)
    : m_total(aTotal)
  {
  }

  /// The part of one answer; it is given back with the lease's end.
  class Lease
  {
  public:
    explicit Lease(ResponseMemoryBudget& aMemory)
      : m_memory(&aMemory)
    {
    }
    Lease(Lease&& aOther) noexcept
      : m_memory(aOther.m_memory)
      , m_held(std::exchange(aOther.m_held, base::Bytes()))
    {
    }
    Lease& operator=(Lease&& aOther) noexcept
    {
      std::swap(m_memory, aOther.m_memory);
      std::swap(m_held, aOther.m_held);
      return *this;
    }
    ~Lease() { m_memory->m_used = m_memory->m_used - m_held; }

    /// Returns whether the answer may hold so many bytes in all.
    bool Resize(base::Bytes aBytes)
    {
      auto const used = m_memory->m_used - m_held + aBytes;
      bool const isGrowth = aBytes > m_held;
      if (isGrowth && aBytes > m_memory->m_total - used) {
        return false;
      }
      m_memory->m_used = used;
      m_held = aBytes;
      return true;
    }

  private:
    ResponseMemoryBudget* m_memory;
    base::Bytes m_held;
  };

  base::Bytes Used() const { return m_used; }

private:
  base::Bytes m_total;
  base::Bytes m_used;
};

} // namespace sardinefold::caller
