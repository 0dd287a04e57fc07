#pragma once

#include "Base/Units.h"

#include <utility>

namespace sardinefold::caller {

/// Limits the memory for responses that are buffered before they are forwarded.
/// One response may not grow beyond the memory that then remains free for the
/// others, so that an endless response leaves room for finite ones.
class ResponseMemoryBudget
{
public:
  explicit ResponseMemoryBudget(base::Bytes aTotal)
    : m_total(aTotal)
  {
  }

  /// The memory of one response, released when the lease is destroyed.
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

    /// Sets the response's total to aBytes; returns false, without a change, if
    /// that exceeds the budget. Shrinking always succeeds.
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
