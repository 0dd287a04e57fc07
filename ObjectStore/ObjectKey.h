#pragma once

#include "Base/Identifier.h"
#include "Base/Units.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::objectstore {

/// The kinds of objects that the system stores in the platform.
enum class ObjectKind
{
  /// The manifest of an environment.
  Document,
  /// A part of a document, named by its hash.
  Chunk,
  /// The upstreams that may hold a model; one object for each model.
  Placement,
  /// Fencing number and incarnation; one object for each upstream.
  Agent,
  /// The owner of a share of the workspaces' allowances.
  Bucket,
  /// The claim of a request that may not be repeated.
  Claim,
  /// The configuration in force, where operators write it to the store themselves.
  Catalog,
  /// An engine or a service, where these register themselves.
  Upstream,
  /// An operator's wish that a failure domain's upstreams get no new requests; one
  /// object for each domain, named for it.
  Evacuation
};

std::string_view ToText(ObjectKind aKind);
std::optional<ObjectKind> ParseObjectKind(std::string_view aText);

/// The name of an object within its kind.
using ObjectName = base::Identifier<struct ObjectNameTag>;
/// Identifies one write, so that its writer recognizes the value when reading it
/// back.
using WriteNonce = base::Identifier<struct WriteNonceTag>;

struct ObjectKey
{
  ObjectKind m_kind = ObjectKind::Document;
  ObjectName m_name;

  friend bool operator==(ObjectKey const&, ObjectKey const&) = default;
  friend auto operator<=>(ObjectKey const&, ObjectKey const&) = default;
};

} // namespace sardinefold::objectstore
