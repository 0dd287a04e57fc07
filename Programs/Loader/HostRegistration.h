#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "ObjectStore/PlatformObject.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Decides how the loader of a host registers in the host's object of the store,
/// and when it may send orders. The fencing number is made from the version of the
/// object that holds the registration. A store that came back from a copy may lack
/// it, so that in a later era the loader confirms the registration or writes it
/// again. Its number never falls.
///
/// No order of another sender may still be in flight: the first order waits out
/// the lease after a registration that replaced another loader's, or may have, and
/// where no loader was registered although the engine has taken orders.
/// NOTE: A loader that moved to another address of its host and back within the
/// age of the copy is not told apart from one that stayed.
class HostRegistration
{
public:
  struct Write
  {
    objectstore::WriteCondition m_condition;
    objectstore::WriteNonce m_nonce;
  };

  /// aAddress is the value of this loader's registration.
  explicit HostRegistration(std::string aAddress)
    : m_address(std::move(aAddress))
  {
  }

  /// Whether the host's object has to be read because this loader has not
  /// registered yet, or the store may have lost that.
  bool IsDue() const { return !m_version || m_version->Era() < m_era; }
  void OnEra(base::StoreEra aEra) { m_era = std::max(m_era, aEra); }

  /// Takes the host's object, null if there is none. Returns the write that
  /// registers this loader; none if the object holds its registration.
  std::optional<Write> OnRead(objectstore::Object const* aHeld, objectstore::WriteNonce aNonce,
                              base::Instant aNow)
  {
    if (aHeld && m_nonce && aHeld->m_nonce == *m_nonce) {
      Confirm(aHeld->m_version, aNow);
      return std::nullopt;
    }
    bool const isKnown = aHeld && m_replaced && aHeld->m_nonce == *m_replaced;
    if (aHeld && aHeld->m_value != m_address && !isKnown) {
      OnPredecessor(aNow);
    }
    m_wasAbsent = m_wasAbsent || (!aHeld && !m_version);
    m_replaced = aHeld ? std::optional(aHeld->m_nonce) : std::nullopt;
    m_nonce = std::move(aNonce);
    if (!aHeld) {
      return Write{ objectstore::IfAbsent{}, *m_nonce };
    }
    return Write{ objectstore::IfVersion{ aHeld->m_version }, *m_nonce };
  }

  /// Called when the write was applied and the object had aVersion then.
  void OnWritten(objectstore::WriteCondition const& aCondition, base::ObjectVersion aVersion,
                 base::Instant aNow)
  {
    auto const* const expected = std::get_if<objectstore::IfVersion>(&aCondition);
    if (expected && expected->m_version.Era() != aVersion.Era()) {
      // The number is that of another object in the later era.
      OnPredecessor(aNow);
    }
    Confirm(aVersion, aNow);
  }

  /// Called with the number of orders that the engine has accepted, before each
  /// order of this loader.
  void OnEngineOrders(base::OrderCount aCount)
  {
    m_engineOrders = aCount;
    WaitForUnregistered();
  }
  void OnOrderSent() { m_hasOrdered = true; }

  bool MayOrder(base::Instant aNow, base::Duration aLease) const
  {
    return Number() && (!m_waitsSince || aNow - *m_waitsSince >= aLease);
  }
  std::optional<base::FencingNumber> Number() const
  {
    return m_version ? base::ToFencingNumber(*m_version) : std::nullopt;
  }

private:
  void WaitForUnregistered()
  {
    if (m_version && m_wasAbsent && !m_hasOrdered && m_engineOrders > base::OrderCount()) {
      m_wasAbsent = false;
      m_waitsSince = m_registeredAt;
    }
  }

  void OnPredecessor(base::Instant aNow)
  {
    m_hasPredecessor = true;
    m_waitsSince = aNow;
  }

  void Confirm(base::ObjectVersion aVersion, base::Instant aNow)
  {
    OnEra(aVersion.Era());
    if (!m_version) {
      m_registeredAt = aNow;
    }
    m_version = m_version ? std::max(*m_version, aVersion) : aVersion;
    if (m_hasPredecessor) {
      // The predecessor may have sent orders until it was replaced.
      m_hasPredecessor = false;
      m_waitsSince = aNow;
    }
    WaitForUnregistered();
  }

  std::string m_address;
  base::StoreEra m_era;
  /// The version of the registration; the highest over all eras.
  std::optional<base::ObjectVersion> m_version;
  /// Identifies the latest write of this loader, and the value it replaced.
  std::optional<objectstore::WriteNonce> m_nonce;
  std::optional<objectstore::WriteNonce> m_replaced;
  /// Whether the registration in progress replaces another loader's.
  bool m_hasPredecessor = false;
  /// Whether the store had no object of the host when this loader first registered.
  bool m_wasAbsent = false;
  bool m_hasOrdered = false;
  base::OrderCount m_engineOrders;
  base::Instant m_registeredAt{};
  /// Since when orders wait until those of a predecessor have expired.
  std::optional<base::Instant> m_waitsSince;
};

} // namespace sardinefold::programs
