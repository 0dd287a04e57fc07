#include "ObjectStore/ObjectKey.h"

#include <array>

namespace sardinefold::objectstore {

std::string_view ToText(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Document:
      return "document";
    case ObjectKind::Chunk:
      return "chunk";
    case ObjectKind::Placement:
      return "placement";
    case ObjectKind::Agent:
      return "agent";
    case ObjectKind::Bucket:
      return "bucket";
    case ObjectKind::Claim:
      return "claim";
    case ObjectKind::Catalog:
      return "catalog";
    case ObjectKind::Upstream:
      return "upstream";
    case ObjectKind::Evacuation:
      return "evacuation";
  }
  return "";
}

std::optional<ObjectKind> ParseObjectKind(std::string_view aText)
{
  constexpr std::array kKinds = {
    ObjectKind::Document, ObjectKind::Chunk,    ObjectKind::Placement,
    ObjectKind::Agent,    ObjectKind::Bucket,   ObjectKind::Claim,
    ObjectKind::Catalog,  ObjectKind::Upstream, ObjectKind::Evacuation
  };
  for (auto const kind : kKinds) {
    if (ToText(kind) == aText) {
      return kind;
    }
  }
  return std::nullopt;
}

} // namespace sardinefold::objectstore
