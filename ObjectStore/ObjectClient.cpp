#include "ObjectStore/ObjectClient.h"

#include "ObjectStore/ObjectClientCalls.h"
#include "ObjectStore/ObjectCodec.h"

namespace sardinefold::objectstore {

base::HttpRequest JsonObjectCodec::EncodeGet(ObjectKey const& aKey)
{
  return objectstore::EncodeGet(aKey);
}

base::HttpRequest JsonObjectCodec::EncodeList(ObjectKind aKind, ObjectName const& aPrefix)
{
  return objectstore::EncodeList(aKind, aPrefix);
}

std::optional<base::HttpRequest> JsonObjectCodec::EncodeNextPage(ObjectKind, ObjectName const&,
                                                                 base::HttpResponse const&)
{
  return std::nullopt;
}

base::HttpRequest JsonObjectCodec::EncodeWatch(ObjectKind aKind, ObjectName const& aPrefix,
                                               base::ObjectVersion aAfter, base::Duration aLimit)
{
  return objectstore::EncodeWatch(aKind, aPrefix, aAfter, aLimit);
}

base::HttpRequest JsonObjectCodec::EncodeWrite(ObjectWrite const& aWrite)
{
  return objectstore::EncodeWrite(aWrite);
}

base::HttpRequest JsonObjectCodec::EncodeDelete(ObjectKey const& aKey, base::ObjectVersion aVersion)
{
  return objectstore::EncodeDelete(aKey, aVersion);
}

base::HttpRequest JsonObjectCodec::EncodeHosts()
{
  return objectstore::EncodeHosts();
}

tl::expected<Object, ReadError> JsonObjectCodec::DecodeObject(ObjectKind,
                                                              base::HttpResponse const& aResponse)
{
  return objectstore::DecodeObject(aResponse);
}

tl::expected<ObjectList, ReadError> JsonObjectCodec::DecodeList(ObjectKind,
                                                                base::HttpResponse const& aResponse)
{
  return objectstore::DecodeList(aResponse);
}

tl::expected<ObjectChanges, ReadError> JsonObjectCodec::DecodeChanges(
  ObjectKind, base::HttpResponse const& aResponse)
{
  return objectstore::DecodeChanges(aResponse);
}

tl::expected<base::ObjectVersion, WriteError> JsonObjectCodec::DecodeWrite(
  base::HttpResponse const& aResponse)
{
  return objectstore::DecodeWrite(aResponse);
}

tl::expected<HostList, ReadError> JsonObjectCodec::DecodeHosts(base::HttpResponse const& aResponse)
{
  return objectstore::DecodeHosts(aResponse);
}

template class HttpObjectClient<JsonObjectCodec>;

static_assert(ObjectStore<ObjectClient> && HostLister<ObjectClient>);

} // namespace sardinefold::objectstore
