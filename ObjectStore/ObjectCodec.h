#pragma once

#include "Base/Http/HttpMessage.h"
#include "ObjectStore/HostEntry.h"
#include "ObjectStore/PlatformError.h"
#include "ObjectStore/PlatformObject.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::objectstore {

/// Requests and responses of the object API (docs/INTERFACES.md).
base::HttpRequest EncodeGet(ObjectKey const& aKey);
base::HttpRequest EncodeList(ObjectKind aKind, ObjectName const& aPrefix);
base::HttpRequest EncodeWatch(ObjectKind aKind, ObjectName const& aPrefix,
                              base::ObjectVersion aAfter, base::Duration aLimit);
base::HttpRequest EncodeWrite(ObjectWrite const& aWrite);
base::HttpRequest EncodeDelete(ObjectKey const& aKey, base::ObjectVersion aVersion);
base::HttpRequest EncodeHosts();

tl::expected<Object, ReadError> DecodeObject(base::HttpResponse const& aResponse);
tl::expected<ObjectList, ReadError> DecodeList(base::HttpResponse const& aResponse);
tl::expected<ObjectChanges, ReadError> DecodeChanges(base::HttpResponse const& aResponse);
tl::expected<HostList, ReadError> DecodeHosts(base::HttpResponse const& aResponse);
/// Decodes the response to a write or a deletion.
tl::expected<base::ObjectVersion, WriteError> DecodeWrite(base::HttpResponse const& aResponse);

/// Encodes a stored value: a line with the write's nonce, then the value.
std::string EncodeValue(WriteNonce const& aNonce, std::string_view aValue);
void DecodeValue(std::string aStored, Object& aObject);

} // namespace sardinefold::objectstore
