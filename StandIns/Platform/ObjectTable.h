#pragma once

#include "Base/Units.h"

#include <tl/expected.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinefold::standins {

struct StoredObject
{
  std::string m_kind;
  std::string m_name;
  base::ObjectVersion m_version;
  std::string m_value;
};

struct StoredChange
{
  bool m_isDelete;
  /// For a delete, the last value with the version of the delete.
  StoredObject m_object;
};

enum class TableError
{
  NotFound,
  ConditionFailed,
  Compacted
};

/// Objects of the stand-in, and the changes that watches can still receive.
class ObjectTable
{
public:
  using WriteResult = tl::expected<base::ObjectVersion, TableError>;

  std::optional<StoredObject> Get(std::string const& aKind, std::string const& aName) const;
  std::vector<StoredObject> List(std::string const& aKind, std::string_view aPrefix) const;
  /// Writes if the object has the expected version. Version 0 stands for an
  /// object that does not exist.
  WriteResult Put(std::string const& aKind, std::string const& aName, std::string aValue,
                  base::ObjectVersion aExpected);
  WriteResult Delete(std::string const& aKind, std::string const& aName,
                     base::ObjectVersion aExpected);
  /// Returns the changes after a version, oldest first. Fails with Compacted if
  /// some of them have been discarded.
  tl::expected<std::vector<StoredChange>, TableError> ChangesAfter(
    std::string const& aKind, std::string_view aPrefix, base::ObjectVersion aAfter) const;

  /// Returns to an earlier copy of the table, in the next era.
  void RestoreFrom(ObjectTable const& aCopy);
  /// Discards all changes recorded so far.
  void Compact();
  base::ObjectVersion LatestVersion() const { return m_latest; }

private:
  void Record(bool aIsDelete, StoredObject const& aObject);

  std::map<std::pair<std::string, std::string>, StoredObject> m_objects;
  std::deque<StoredChange> m_changes;
  base::ObjectVersion m_latest;
  base::ObjectVersion m_compacted;
};

} // namespace sardinefold::standins
