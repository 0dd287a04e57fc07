#include "Tests/Fakes/FakeObjectStore.h"

#include "ObjectStore/ObjectCodec.h"

namespace sardinefold::tests {

using objectstore::ReadError;
using objectstore::WriteError;

namespace {

ReadError ToReadError(CallFault aFault)
{
  bool const isThrottled = aFault == CallFault::Throttled;
  return { isThrottled ? ReadError::Kind::Throttled : ReadError::Kind::Unavailable, "scripted" };
}

WriteError ToWriteError(CallFault aFault)
{
  switch (aFault) {
    case CallFault::Unreachable:
      return { WriteError::Kind::NotApplied, "scripted" };
    case CallFault::Throttled:
      return { WriteError::Kind::Throttled, "scripted" };
    default:
      return { WriteError::Kind::Unknown, "scripted" };
  }
}

objectstore::Object ToObject(standins::StoredObject const& aStored)
{
  objectstore::Object object;
  object.m_key = { *objectstore::ParseObjectKind(aStored.m_kind),
                   objectstore::ObjectName::FromValidated(aStored.m_name) };
  object.m_version = aStored.m_version;
  objectstore::DecodeValue(aStored.m_value, object);
  return object;
}

objectstore::ObjectChange ToChange(standins::StoredChange const& aStored)
{
  auto object = ToObject(aStored.m_object);
  if (aStored.m_isDelete) {
    return objectstore::ObjectDeleted{ std::move(object.m_key), object.m_version };
  }
  return objectstore::ObjectPut{ std::move(object) };
}

} // namespace

FakeObjectStore::FakeObjectStore(base::EventLoop& aLoop)
  : m_loop(aLoop)
  , m_changed(aLoop.Context())
{
}

CallFault FakeObjectStore::NextFault()
{
  ++m_calls;
  if (m_isDown) {
    return CallFault::Unreachable;
  }
  if (m_faults.empty()) {
    return CallFault::None;
  }
  auto const fault = m_faults.front();
  m_faults.pop_front();
  return fault;
}

objectstore::ReadTask<objectstore::Object> FakeObjectStore::Get(objectstore::ObjectKey aKey,
                                                                base::Duration,
                                                                objectstore::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  auto const object = m_objects.Get(std::string(ToText(aKey.m_kind)), aKey.m_name.Text());
  if (!object) {
    co_return tl::make_unexpected(ReadError{ ReadError::Kind::NotFound, "" });
  }
  co_return ToObject(*object);
}

objectstore::ReadTask<objectstore::ObjectList> FakeObjectStore::List(
  objectstore::ObjectKind aKind, objectstore::ObjectName aPrefix, base::Duration,
  objectstore::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  objectstore::ObjectList list;
  list.m_version = m_objects.LatestVersion();
  for (auto const& object : m_objects.List(std::string(ToText(aKind)), aPrefix.Text())) {
    list.m_objects.push_back(ToObject(object));
  }
  co_return list;
}

objectstore::ReadTask<objectstore::ObjectChanges> FakeObjectStore::Watch(
  objectstore::ObjectKind aKind, objectstore::ObjectName aPrefix, base::ObjectVersion aAfter,
  base::Duration aLimit, objectstore::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  auto const kind = std::string(ToText(aKind));
  auto const end = m_loop.Now() + aLimit;
  auto found = m_objects.ChangesAfter(kind, aPrefix.Text(), aAfter);
  while (found && found->empty() && m_loop.Now() < end) {
    co_await m_changed.Wait(end - m_loop.Now());
    found = m_objects.ChangesAfter(kind, aPrefix.Text(), aAfter);
  }
  if (!found) {
    co_return tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" });
  }
  objectstore::ObjectChanges changes{ m_objects.LatestVersion(), {} };
  for (auto const& change : *found) {
    changes.m_changes.push_back(ToChange(change));
  }
  co_return changes;
}

objectstore::WriteResult FakeObjectStore::Finish(standins::ObjectTable::WriteResult const& aResult,
                                                 CallFault aFault)
{
  m_changed.Notify();
  if (aFault == CallFault::ResponseLost) {
    return tl::make_unexpected(ToWriteError(aFault));
  }
  if (!aResult) {
    return tl::make_unexpected(WriteError{ WriteError::Kind::Conflict, "" });
  }
  return *aResult;
}

objectstore::WriteTask FakeObjectStore::Write(objectstore::ObjectWrite aWrite, base::Duration,
                                              objectstore::CallPurpose)
{
  auto const fault = NextFault();
  if (fault != CallFault::None && fault != CallFault::ResponseLost) {
    co_return tl::make_unexpected(ToWriteError(fault));
  }
  auto const* const expected = std::get_if<objectstore::IfVersion>(&aWrite.m_condition);
  auto const result =
    m_objects.Put(std::string(ToText(aWrite.m_key.m_kind)), aWrite.m_key.m_name.Text(),
                  objectstore::EncodeValue(aWrite.m_nonce, aWrite.m_value),
                  expected ? expected->m_version : base::ObjectVersion());
  co_return Finish(result, fault);
}

objectstore::WriteTask FakeObjectStore::Delete(objectstore::ObjectKey aKey,
                                               base::ObjectVersion aVersion, base::Duration,
                                               objectstore::CallPurpose)
{
  auto const fault = NextFault();
  if (fault != CallFault::None && fault != CallFault::ResponseLost) {
    co_return tl::make_unexpected(ToWriteError(fault));
  }
  auto const result =
    m_objects.Delete(std::string(ToText(aKey.m_kind)), aKey.m_name.Text(), aVersion);
  co_return Finish(result, fault);
}

objectstore::ReadTask<objectstore::HostList> FakeObjectStore::Hosts(base::Duration,
                                                                    objectstore::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  co_return m_hosts;
}

} // namespace sardinefold::tests
