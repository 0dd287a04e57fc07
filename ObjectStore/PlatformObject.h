#pragma once

#include "ObjectStore/ObjectKey.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sardinefold::objectstore {

/// Maximum size of an object's value, including its nonce line.
inline constexpr base::Bytes kMaximumValueBytes{ 1024 * 1024 };

struct Object
{
  ObjectKey m_key;
  base::ObjectVersion m_version;
  std::string m_value;
  /// Empty if the value was not written by this system.
  WriteNonce m_nonce;
};

/// The objects of one kind at one version of the store.
struct ObjectList
{
  base::ObjectVersion m_version;
  std::vector<Object> m_objects;
};

struct ObjectPut
{
  Object m_object;
};

struct ObjectDeleted
{
  ObjectKey m_key;
  base::ObjectVersion m_version;
};

using ObjectChange = std::variant<ObjectPut, ObjectDeleted>;

/// All changes up to m_version, in the order of their versions.
struct ObjectChanges
{
  base::ObjectVersion m_version;
  std::vector<ObjectChange> m_changes;
  /// Set if the store has come back from a copy: the version known before, of an
  /// earlier era. The changes then lead from what was known to all that exists;
  /// objects may be missing because the copy lacks them.
  std::optional<base::ObjectVersion> m_restoredFrom{};
};

/// Changes as the store reported them, for processes that may know more or less
/// than the one that received them.
struct ObjectUpdate
{
  /// m_changes holds all changes after this version; none if it holds every object
  /// that exists, whatever was known before.
  std::optional<base::ObjectVersion> m_from;
  ObjectChanges m_changes;
};

/// The object must not exist.
struct IfAbsent
{};

/// The object must have this version.
struct IfVersion
{
  base::ObjectVersion m_version;
};

using WriteCondition = std::variant<IfAbsent, IfVersion>;

/// One logical write; repeating it with the same nonce applies it once.
struct ObjectWrite
{
  ObjectKey m_key;
  WriteCondition m_condition;
  std::string m_value;
  WriteNonce m_nonce;
};

} // namespace sardinefold::objectstore
