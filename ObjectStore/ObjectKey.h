#pragma once

#include "Base/Identifier.h"
#include "Base/Units.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::objectstore {

/// The kinds of objects that the system keeps in the platform.
enum class ObjectKind
{
  /// The manifest of an environment.
  Document,
  /// A part of a document, named by its hash.
  Chunk,
  /// Which upstreams may hold a model; one for each model.
  Placement,
  /// Fencing number and incarnation; one for each upstream.
  Agent,
  /// Who owns a share of the workspaces' allowances.
  Bucket,
  /// A request that may not repeat.
  Claim,
  /// What operators have put in force, where they write it themselves.
  Catalog,
  /// An engine or a service, where these list themselves.
  Upstream
};

std::string_view ToText(ObjectKind aKind);
std::optional<ObjectKind> ParseObjectKind(std::string_view aText);

/// The name of an object within its kind.
using ObjectName = base::Identifier<struct ObjectNameTag>;
/// Names one write, so that its writer knows the value again when it reads it.
using WriteNonce = base::Identifier<struct WriteNonceTag>;

struct ObjectKey
{
  ObjectKind m_kind = ObjectKind::Document;
  ObjectName m_name;

  friend bool operator==(ObjectKey const&, ObjectKey const&) = default;
  friend auto operator<=>(ObjectKey const&, ObjectKey const&) = default;
};

} // namespace sardinefold::objectstore
