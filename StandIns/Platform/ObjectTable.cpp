#include "StandIns/Platform/ObjectTable.h"

namespace sardinefold::standins {

namespace {

constexpr std::size_t kMaximumChanges = 20'000;

} // namespace

std::optional<StoredObject> ObjectTable::Get(std::string const& aKind,
                                             std::string const& aName) const
{
  auto const found = m_objects.find({ aKind, aName });
  return found == m_objects.end() ? std::nullopt : std::optional<StoredObject>(found->second);
}

std::vector<StoredObject> ObjectTable::List(std::string const& aKind,
                                            std::string_view aPrefix) const
{
  std::vector<StoredObject> objects;
  for (auto at = m_objects.lower_bound({ aKind, std::string(aPrefix) }); at != m_objects.end();
       ++at) {
    auto const& object = at->second;
    if (object.m_kind != aKind || !object.m_name.starts_with(aPrefix)) {
      break;
    }
    objects.push_back(object);
  }
  return objects;
}

ObjectTable::WriteResult ObjectTable::Put(std::string const& aKind, std::string const& aName,
                                          std::string aValue, base::ObjectVersion aExpected)
{
  auto const found = m_objects.find({ aKind, aName });
  auto const current = found == m_objects.end() ? base::ObjectVersion() : found->second.m_version;
  if (current != aExpected) {
    return tl::make_unexpected(TableError::ConditionFailed);
  }
  m_latest = m_latest.Next();
  StoredObject object{ aKind, aName, m_latest, std::move(aValue) };
  Record(false, object);
  m_objects.insert_or_assign({ aKind, aName }, std::move(object));
  return m_latest;
}

ObjectTable::WriteResult ObjectTable::Delete(std::string const& aKind, std::string const& aName,
                                             base::ObjectVersion aExpected)
{
  auto const found = m_objects.find({ aKind, aName });
  if (found == m_objects.end()) {
    return tl::make_unexpected(TableError::NotFound);
  }
  if (found->second.m_version != aExpected) {
    return tl::make_unexpected(TableError::ConditionFailed);
  }
  m_latest = m_latest.Next();
  auto object = std::move(found->second);
  object.m_version = m_latest;
  m_objects.erase(found);
  Record(true, object);
  return m_latest;
}

tl::expected<std::vector<StoredChange>, TableError> ObjectTable::ChangesAfter(
  std::string const& aKind, std::string_view aPrefix, base::ObjectVersion aAfter) const
{
  if (aAfter < m_compacted || aAfter > m_latest) {
    return tl::make_unexpected(TableError::Compacted);
  }
  std::vector<StoredChange> changes;
  for (auto at = m_changes.rbegin(); at != m_changes.rend(); ++at) {
    if (at->m_object.m_version <= aAfter) {
      break;
    }
    if (at->m_object.m_kind == aKind && at->m_object.m_name.starts_with(aPrefix)) {
      changes.push_back(*at);
    }
  }
  return std::vector<StoredChange>(changes.rbegin(), changes.rend());
}

void ObjectTable::RestoreFrom(ObjectTable const& aCopy)
{
  auto const era = m_latest.Era().Next();
  auto copy = aCopy;
  *this = std::move(copy);
  auto const moveToEra = [era](base::ObjectVersion& aVersion) {
    aVersion = { era, aVersion.Value() };
  };
  for (auto& [path, object] : m_objects) {
    moveToEra(object.m_version);
  }
  for (auto& change : m_changes) {
    moveToEra(change.m_object.m_version);
  }
  moveToEra(m_latest);
  moveToEra(m_compacted);
}

void ObjectTable::Compact()
{
  m_compacted = m_latest;
  m_changes.clear();
}

void ObjectTable::Record(bool aIsDelete, StoredObject const& aObject)
{
  m_changes.push_back({ aIsDelete, aObject });
  if (m_changes.size() > kMaximumChanges) {
    m_compacted = m_changes.front().m_object.m_version;
    m_changes.pop_front();
  }
}

} // namespace sardinefold::standins
