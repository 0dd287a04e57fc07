#pragma once

#include "Base/EventLoop.h"
#include "Base/Signal.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "StandIns/Platform/ObjectTable.h"

#include <deque>

namespace sardinefold::tests {

/// The fault injected into one call of a FakeObjectStore.
enum class CallFault
{
  None,
  /// The request is not sent, and the caller knows it.
  Unreachable,
  /// The call takes effect and its response is lost.
  ResponseLost,
  /// The request never arrives, but the caller can't tell whether it did.
  RequestLost,
  Throttled
};

/// An in-memory object store whose calls fail as scripted by a test.
class FakeObjectStore
{
public:
  explicit FakeObjectStore(base::EventLoop& aLoop);

  /// Sets the faults of the next calls, in order; later calls succeed.
  void Script(std::deque<CallFault> aFaults) { m_faults = std::move(aFaults); }
  /// Makes every call fail as Unreachable while the store is down.
  void SetDown(bool aIsDown) { m_isDown = aIsDown; }
  void SetHosts(objectstore::HostList aHosts) { m_hosts = std::move(aHosts); }
  standins::ObjectTable& Objects() { return m_objects; }
  std::size_t Calls() const { return m_calls; }

  objectstore::ReadTask<objectstore::Object> Get(objectstore::ObjectKey aKey, base::Duration aLimit,
                                                 objectstore::CallPurpose aPurpose);
  objectstore::ReadTask<objectstore::ObjectList> List(objectstore::ObjectKind aKind,
                                                      objectstore::ObjectName aPrefix,
                                                      base::Duration aLimit,
                                                      objectstore::CallPurpose aPurpose);
  objectstore::ReadTask<objectstore::ObjectChanges> Watch(objectstore::ObjectKind aKind,
                                                          objectstore::ObjectName aPrefix,
                                                          base::ObjectVersion aAfter,
                                                          base::Duration aLimit,
                                                          objectstore::CallPurpose aPurpose);
  objectstore::WriteTask Write(objectstore::ObjectWrite aWrite, base::Duration aLimit,
                               objectstore::CallPurpose aPurpose);
  objectstore::WriteTask Delete(objectstore::ObjectKey aKey, base::ObjectVersion aVersion,
                                base::Duration aLimit, objectstore::CallPurpose aPurpose);
  objectstore::ReadTask<objectstore::HostList> Hosts(base::Duration aLimit,
                                                     objectstore::CallPurpose aPurpose);

private:
  CallFault NextFault();
  objectstore::WriteResult Finish(standins::ObjectTable::WriteResult const& aResult,
                                  CallFault aFault);

  base::EventLoop& m_loop;
  base::Signal m_changed;
  standins::ObjectTable m_objects;
  objectstore::HostList m_hosts;
  std::deque<CallFault> m_faults;
  bool m_isDown = false;
  std::size_t m_calls = 0;
};

static_assert(objectstore::ObjectStore<FakeObjectStore>);

} // namespace sardinefold::tests
