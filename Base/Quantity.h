#pragma once

#include <compare>
#include <concepts>
#include <cstdint>
#include <ostream>

namespace sardinefold::base {

/// A strongly typed amount of one unit. Amounts of different units are distinct
/// types that neither mix nor convert.
template<typename Tag, typename Representation = std::int64_t>
class Quantity
{
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Representation aValue)
    : m_value(aValue)
  {
  }

  constexpr Representation Value() const { return m_value; }

  constexpr Quantity& operator+=(Quantity aOther)
  {
    m_value += aOther.m_value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    m_value -= aOther.m_value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.m_value + aRight.m_value);
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.m_value - aRight.m_value);
  }
  friend constexpr Quantity operator*(Quantity aLeft, Representation aFactor)
  {
    return Quantity(aLeft.m_value * aFactor);
  }
  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;
  friend std::ostream& operator<<(std::ostream& aStream, Quantity aQuantity)
  {
    return aStream << aQuantity.m_value;
  }

private:
  Representation m_value{};
};

/// A number that only increases, such as an epoch, a version or a fencing number.
template<typename Tag>
class Ordinal
{
public:
  constexpr Ordinal() = default;
  constexpr explicit Ordinal(std::uint64_t aValue)
    : m_value(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return m_value; }
  constexpr Ordinal Next() const { return Ordinal(m_value + 1); }

  friend constexpr bool operator==(Ordinal, Ordinal) = default;
  friend constexpr auto operator<=>(Ordinal, Ordinal) = default;
  friend std::ostream& operator<<(std::ostream& aStream, Ordinal aOrdinal)
  {
    return aStream << aOrdinal.m_value;
  }

private:
  std::uint64_t m_value = 0;
};

} // namespace sardinefold::base
