#pragma once

#include "ObjectStore/CallPurpose.h"
#include "ObjectStore/HostEntry.h"
#include "ObjectStore/PlatformError.h"
#include "ObjectStore/PlatformObject.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <concepts>

namespace sardinefold::objectstore {

template<typename Value>
using ReadResult = tl::expected<Value, ReadError>;
using WriteResult = tl::expected<base::ObjectVersion, WriteError>;

template<typename Value>
using ReadTask = boost::asio::awaitable<ReadResult<Value>>;
using WriteTask = boost::asio::awaitable<WriteResult>;

/// A client of the platform's object API. Each function makes at most one
/// call. Sessions are templates over it, so that they also run over an in-memory
/// store. Callers pass arguments with destructors as named objects.
template<typename Client>
concept ObjectStore = requires(Client& aClient, ObjectKey aKey, ObjectKind aKind,
                               ObjectName aPrefix, ObjectWrite aWrite, base::ObjectVersion aVersion,
                               base::Duration aLimit, CallPurpose aPurpose)
{
  {
    aClient.Get(aKey, aLimit, aPurpose)
    } -> std::same_as<ReadTask<Object>>;
  /// An empty prefix lists the whole kind.
  {
    aClient.List(aKind, aPrefix, aLimit, aPurpose)
    } -> std::same_as<ReadTask<ObjectList>>;
  /// Waits at most aLimit for changes after a version. Returns an empty list of
  /// changes, not an error, if there are none.
  {
    aClient.Watch(aKind, aPrefix, aVersion, aLimit, aPurpose)
    } -> std::same_as<ReadTask<ObjectChanges>>;
  {
    aClient.Write(aWrite, aLimit, aPurpose)
    } -> std::same_as<WriteTask>;
  /// Returns the version of the deletion, or 0 if the platform does not report it.
  {
    aClient.Delete(aKey, aVersion, aLimit, aPurpose)
    } -> std::same_as<WriteTask>;
};

/// A client of the platform's list of hosts.
template<typename Client>
concept HostLister = requires(Client& aClient, base::Duration aLimit, CallPurpose aPurpose)
{
  {
    aClient.Hosts(aLimit, aPurpose)
    } -> std::same_as<ReadTask<HostList>>;
};

} // namespace sardinefold::objectstore
