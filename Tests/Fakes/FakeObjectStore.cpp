#include "Tests/Fakes/FakeObjectStore.h"

#include "Platform/ObjectCodec.h"

namespace sardinefold::tests {

using platform::ReadError;
using platform::WriteError;

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

platform::Object ToObject(standins::StoredObject const& aStored)
{
  platform::Object object;
  object.m_key = { *platform::ParseObjectKind(aStored.m_kind),
                   platform::ObjectName::FromValidated(aStored.m_name) };
  object.m_version = aStored.m_version;
  platform::DecodeValue(aStored.m_value, object);
  return object;
}

platform::ObjectChange ToChange(standins::StoredChange const& aStored)
{
  auto object = ToObject(aStored.m_object);
  if (aStored.m_isDelete) {
    return platform::ObjectDeleted{ std::move(object.m_key), object.m_version };
  }
  return platform::ObjectPut{ std::move(object) };
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

platform::ReadTask<platform::Object> FakeObjectStore::Get(platform::ObjectKey aKey, base::Duration,
                                                          platform::CallPurpose)
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

platform::ReadTask<platform::ObjectList> FakeObjectStore::List(platform::ObjectKind aKind,
                                                               platform::ObjectName aPrefix,
                                                               base::Duration,
                                                               platform::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  platform::ObjectList list;
  list.m_version = m_objects.LatestVersion();
  for (auto const& object : m_objects.List(std::string(ToText(aKind)), aPrefix.Text())) {
    list.m_objects.push_back(ToObject(object));
  }
  co_return list;
}

platform::ReadTask<platform::ObjectChanges> FakeObjectStore::Watch(platform::ObjectKind aKind,
                                                                   platform::ObjectName aPrefix,
                                                                   base::ObjectVersion aAfter,
                                                                   base::Duration aLimit,
                                                                   platform::CallPurpose)
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
  platform::ObjectChanges changes{ m_objects.LatestVersion(), {} };
  for (auto const& change : *found) {
    changes.m_changes.push_back(ToChange(change));
  }
  co_return changes;
}

platform::WriteResult FakeObjectStore::Finish(standins::ObjectTable::WriteResult const& aResult,
                                              CallFault aFault)
{
  m_changed.Notify();
  if (aFault == CallFault::AnswerLost) {
    return tl::make_unexpected(ToWriteError(aFault));
  }
  if (!aResult) {
    return tl::make_unexpected(WriteError{ WriteError::Kind::Conflict, "" });
  }
  return *aResult;
}

platform::WriteTask FakeObjectStore::Write(platform::ObjectWrite aWrite, base::Duration,
                                           platform::CallPurpose)
{
  auto const fault = NextFault();
  if (fault != CallFault::None && fault != CallFault::AnswerLost) {
    co_return tl::make_unexpected(ToWriteError(fault));
  }
  auto const* const expected = std::get_if<platform::IfVersion>(&aWrite.m_condition);
  auto const result =
    m_objects.Put(std::string(ToText(aWrite.m_key.m_kind)), aWrite.m_key.m_name.Text(),
                  platform::EncodeValue(aWrite.m_nonce, aWrite.m_value),
                  expected ? expected->m_version : base::ObjectVersion());
  co_return Finish(result, fault);
}

platform::WriteTask FakeObjectStore::Delete(platform::ObjectKey aKey, base::ObjectVersion aVersion,
                                            base::Duration, platform::CallPurpose)
{
  auto const fault = NextFault();
  if (fault != CallFault::None && fault != CallFault::AnswerLost) {
    co_return tl::make_unexpected(ToWriteError(fault));
  }
  auto const result =
    m_objects.Delete(std::string(ToText(aKey.m_kind)), aKey.m_name.Text(), aVersion);
  co_return Finish(result, fault);
}

platform::ReadTask<platform::HostList> FakeObjectStore::Hosts(base::Duration, platform::CallPurpose)
{
  if (auto const fault = NextFault(); fault != CallFault::None) {
    co_return tl::make_unexpected(ToReadError(fault));
  }
  co_return m_hosts;
}

} // namespace sardinefold::tests
