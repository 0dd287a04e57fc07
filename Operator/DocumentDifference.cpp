#include "Operator/DocumentDifference.h"

#include "Operator/DocumentProblem.h"

namespace sardinefold::operators {

namespace {

template<typename Section>
void CompareSections(char const* aName, Section const& aBefore, Section const& aAfter,
                     std::vector<DocumentChange>& aChanges)
{
  auto const path = [aName](auto const& aId) {
    return "/" + std::string(aName) + "/" + PointerToken(aId.Text());
  };
  for (auto const& [id, spec] : aBefore) {
    auto const other = aAfter.find(id);
    if (other == aAfter.end()) {
      aChanges.push_back({ ChangeKind::Removed, path(id) });
    } else if (!(other->second == spec)) {
      aChanges.push_back({ ChangeKind::Changed, path(id) });
    }
  }
  for (auto const& [id, spec] : aAfter) {
    if (!aBefore.contains(id)) {
      aChanges.push_back({ ChangeKind::Added, path(id) });
    }
  }
}

} // namespace

std::vector<DocumentChange> CompareDocuments(Document const& aBefore, Document const& aAfter)
{
  std::vector<DocumentChange> changes;
  CompareSections("models", aBefore.m_models, aAfter.m_models, changes);
  CompareSections("adapters", aBefore.m_adapters, aAfter.m_adapters, changes);
  CompareSections("workspaces", aBefore.m_workspaces, aAfter.m_workspaces, changes);
  CompareSections("keys", aBefore.m_keys, aAfter.m_keys, changes);
  CompareSections("upstreams", aBefore.m_upstreams, aAfter.m_upstreams, changes);
  CompareSections("routes", aBefore.m_routes, aAfter.m_routes, changes);
  return changes;
}

} // namespace sardinefold::operators
