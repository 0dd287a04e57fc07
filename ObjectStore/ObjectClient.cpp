#include "ObjectStore/ObjectClient.h"

#include "ObjectStore/ObjectClientCalls.h"
#include "ObjectStore/ObjectCodec.h"

namespace sardinefold::objectstore {

base::HttpRequest PlainObjectCodec::EncodeGet(ObjectKey const& aKey)
{
  return objectstore::EncodeGet(aKey);
}

base::HttpRequest PlainObjectCodec::EncodeList(ObjectKind aKind, ObjectName const& aPrefix)
{
  return objectstore::EncodeList(aKind, aPrefix);
}

std::optional<base::HttpRequest> PlainObjectCodec::EncodeNextPage(ObjectKind, ObjectName const&,
                                                                  base::HttpResponse const&)
{
  return std::nullopt;
}

base::HttpRequest PlainObjectCodec::EncodeWatch(ObjectKind aKind, ObjectName const& aPrefix,
                                                base::ObjectVersion aAfter, base::Duration aLimit)
{
  return objectstore::EncodeWatch(aKind, aPrefix, aAfter, aLimit);
}

base::HttpRequest PlainObjectCodec::EncodeWrite(ObjectWrite const& aWrite)
{
  return objectstore::EncodeWrite(aWrite);
}

base::HttpRequest PlainObjectCodec::EncodeDelete(ObjectKey const& aKey,
                                                 base::ObjectVersion aVersion)
{
  return objectstore::EncodeDelete(aKey, aVersion);
}

base::HttpRequest PlainObjectCodec::EncodeHosts()
{
  return objectstore::EncodeHosts();
}

tl::expected<Object, ReadError> PlainObjectCodec::DecodeObject(ObjectKind,
                                                               base::HttpResponse const& aResponse)
{
  return objectstore::DecodeObject(aResponse);
}

tl::expected<ObjectList, ReadError> PlainObjectCodec::DecodeList(
  ObjectKind, base::HttpResponse const& aResponse)
{
  return objectstore::DecodeList(aResponse);
}

tl::expected<ObjectChanges, ReadError> PlainObjectCodec::DecodeChanges(
  ObjectKind, base::HttpResponse const& aResponse)
{
  return objectstore::DecodeChanges(aResponse);
}

tl::expected<base::ObjectVersion, WriteError> PlainObjectCodec::DecodeWrite(
  base::HttpResponse const& aResponse)
{
  return objectstore::DecodeWrite(aResponse);
}

tl::expected<HostList, ReadError> PlainObjectCodec::DecodeHosts(base::HttpResponse const& aResponse)
{
  return objectstore::DecodeHosts(aResponse);
}

template class CodedObjectClient<PlainObjectCodec>;

static_assert(ObjectStore<ObjectClient> && HostLister<ObjectClient>);

} // namespace sardinefold::objectstore
