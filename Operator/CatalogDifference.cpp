#include "Operator/CatalogDifference.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace sardinefold::operators {

namespace {

std::string ToText(double aNumber)
{
  std::ostringstream text;
  text << std::setprecision(12) << aNumber;
  return text.str();
}

std::string ToText(base::Duration aTime)
{
  return std::to_string(base::ToMilliseconds(aTime)) + " ms";
}

std::string const& ToText(std::string const& aText)
{
  return aText;
}

std::string ToText(bool aFlag)
{
  return aFlag ? "yes" : "no";
}

std::string ToText(std::set<base::RegionId> const& aRegions)
{
  std::string text;
  for (auto const& region : aRegions) {
    text += (text.empty() ? "" : ", ") + region.Text();
  }
  return text.empty() ? "any" : text;
}

std::string ToText(std::vector<RouteTarget> const& aTargets)
{
  std::string text;
  for (auto const& target : aTargets) {
    text += (text.empty() ? "" : ", ") + target.m_deployment.Text() + " " + ToText(target.m_weight);
  }
  return text.empty() ? "none" : text;
}

std::string ToText(Repeatability aRepeatability)
{
  switch (aRepeatability) {
    case Repeatability::Idempotent:
      return "any number of runs";
    case Repeatability::AtMostOnce:
      return "at most one run";
    case Repeatability::Stream:
      return "stream";
  }
  return "unknown";
}

/// Collects the effects of one entry's change.
class EffectList
{
public:
  template<typename Value>
  void Compare(char const* aField, Value const& aBefore, Value const& aAfter)
  {
    std::string const before = ToText(aBefore);
    std::string const after = ToText(aAfter);
    if (before != after) {
      m_effects.push_back(std::string(aField) + " " + before + " -> " + after);
    }
  }

  /// The same for a limit where zero means none.
  void CompareLimit(char const* aField, double aBefore, double aAfter)
  {
    if (aBefore > 0 && aAfter > 0) {
      CompareBound(aField, aBefore, aAfter);
    } else if (aBefore != aAfter) {
      Add(std::string(aField) +
          (aAfter > 0 ? " limited to " + ToText(aAfter) : std::string(" no longer limited")));
    }
  }

  /// The same for a bound, of which a lower one is said to be tightened.
  void CompareBound(char const* aField, double aBefore, double aAfter)
  {
    if (aBefore != aAfter) {
      m_effects.push_back(std::string(aField) + (aAfter < aBefore ? " tightened " : " raised ") +
                          ToText(aBefore) + " -> " + ToText(aAfter));
    }
  }

  void Add(std::string aEffect) { m_effects.push_back(std::move(aEffect)); }
  std::vector<std::string> Take() { return std::move(m_effects); }

private:
  std::vector<std::string> m_effects;
};

std::vector<std::string> EffectsOf(RouteRule const& aBefore, RouteRule const& aAfter)
{
  EffectList effects;
  effects.Compare("host", aBefore.m_host, aAfter.m_host);
  effects.Compare("prefix", aBefore.m_pathPrefix, aAfter.m_pathPrefix);
  effects.Compare("repetition", aBefore.m_repeatability, aAfter.m_repeatability);
  effects.Compare("deployments", aBefore.m_targets, aAfter.m_targets);
  effects.Compare("time-out", aBefore.m_timeout, aAfter.m_timeout);
  effects.Compare("goal", aBefore.m_goal, aAfter.m_goal);
  effects.Compare("pause", aBefore.m_pause, aAfter.m_pause);
  effects.Compare("urgency", static_cast<double>(aBefore.m_urgency),
                  static_cast<double>(aAfter.m_urgency));
  effects.CompareBound("attempts", aBefore.m_maximumAttempts, aAfter.m_maximumAttempts);
  effects.Compare("public", aBefore.m_isPublic, aAfter.m_isPublic);
  effects.Compare("resumable", aBefore.m_isResumable, aAfter.m_isResumable);
  effects.Compare("homes", aBefore.m_homes, aAfter.m_homes);
  return effects.Take();
}

std::size_t CountMissing(std::vector<std::string> const& aKeys,
                         std::vector<std::string> const& aOthers)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aKeys, [&](auto const& aKey) { return std::ranges::find(aOthers, aKey) == aOthers.end(); }));
}

std::vector<std::string> EffectsOf(WorkspaceGrant const& aBefore, WorkspaceGrant const& aAfter)
{
  EffectList effects;
  if (auto const revoked = CountMissing(aBefore.m_keys, aAfter.m_keys); revoked > 0) {
    effects.Add(std::to_string(revoked) + " of its keys revoked");
  }
  if (auto const added = CountMissing(aAfter.m_keys, aBefore.m_keys); added > 0) {
    effects.Add(std::to_string(added) + " keys added");
  }
  effects.CompareLimit("rate", aBefore.m_rate.Value(), aAfter.m_rate.Value());
  effects.CompareBound("burst", static_cast<double>(aBefore.m_burst.Value()),
                       static_cast<double>(aAfter.m_burst.Value()));
  effects.Compare("tokens of a request that states none",
                  static_cast<double>(aBefore.m_defaultRequestTokens.Value()),
                  static_cast<double>(aAfter.m_defaultRequestTokens.Value()));
  auto const urgency = [](WorkspaceGrant const& aGrant) {
    return aGrant.m_urgency ? std::to_string(*aGrant.m_urgency) : std::string("as the route");
  };
  effects.Compare("urgency", urgency(aBefore), urgency(aAfter));
  effects.Compare("homes", aBefore.m_homes, aAfter.m_homes);
  return effects.Take();
}

void CompareModel(std::string const& aName, ModelSpec const& aBefore, ModelSpec const& aAfter,
                  EffectList& aEffects)
{
  auto const field = [&aName](char const* aField) { return "model " + aName + ": " + aField; };
  aEffects.CompareBound(field("memory").c_str(), aBefore.m_weights.Value(),
                        aAfter.m_weights.Value());
  aEffects.CompareBound(field("memory of an adapter").c_str(), aBefore.m_adapterWeights.Value(),
                        aAfter.m_adapterWeights.Value());
  aEffects.Compare(field("load from the store").c_str(), aBefore.m_loadFromStore,
                   aAfter.m_loadFromStore);
  aEffects.Compare(field("load from memory").c_str(), aBefore.m_loadFromMemory,
                   aAfter.m_loadFromMemory);
  aEffects.Compare(field("load from disk").c_str(), aBefore.m_loadFromDisk, aAfter.m_loadFromDisk);
}

void CompareModels(EngineSpec const& aBefore, EngineSpec const& aAfter, EffectList& aEffects)
{
  for (auto const& [id, model] : aBefore.m_models) {
    if (!aAfter.m_models.contains(id)) {
      aEffects.Add("model " + id.Text() + " removed");
    }
  }
  for (auto const& [id, model] : aAfter.m_models) {
    auto const before = aBefore.m_models.find(id);
    if (before == aBefore.m_models.end()) {
      aEffects.Add("model " + id.Text() + " added");
    } else {
      CompareModel(id.Text(), before->second, model, aEffects);
    }
  }
}

std::vector<std::string> EffectsOf(DeploymentSpec const& aBefore, DeploymentSpec const& aAfter)
{
  EffectList effects;
  effects.Compare("health path", aBefore.m_healthPath, aAfter.m_healthPath);
  effects.CompareLimit("connections", aBefore.m_maximumConnections, aAfter.m_maximumConnections);
  auto const rate = [](DeploymentSpec const& aSpec) {
    return aSpec.m_warmUp ? ToText(aSpec.m_warmUp->m_requestsPerSecond) : std::string("unlimited");
  };
  effects.Compare("requests a second while warming up", rate(aBefore), rate(aAfter));
  auto const time = [](DeploymentSpec const& aSpec) {
    return aSpec.m_warmUp ? aSpec.m_warmUp->m_time : base::Duration{};
  };
  effects.Compare("time to warm up", time(aBefore), time(aAfter));
  effects.Compare("engines", aBefore.m_engine.has_value(), aAfter.m_engine.has_value());
  if (aBefore.m_engine && aAfter.m_engine) {
    effects.CompareBound("concurrency", aBefore.m_engine->m_concurrency,
                         aAfter.m_engine->m_concurrency);
    effects.CompareBound("memory for prompts, in tokens",
                         static_cast<double>(aBefore.m_engine->m_cacheTokens.Value()),
                         static_cast<double>(aAfter.m_engine->m_cacheTokens.Value()));
    effects.CompareBound("memory for weights", aBefore.m_engine->m_weights.Value(),
                         aAfter.m_engine->m_weights.Value());
    effects.CompareBound("adapter slots", aBefore.m_engine->m_adapterSlots,
                         aAfter.m_engine->m_adapterSlots);
    CompareModels(*aBefore.m_engine, *aAfter.m_engine, effects);
  }
  return effects.Take();
}

/// Entries by their names; of entries with the same name, the first one.
template<typename Entry>
std::map<std::string, Entry const*> ByName(std::vector<Entry> const& aEntries)
{
  std::map<std::string, Entry const*> entries;
  for (auto const& entry : aEntries) {
    entries.emplace(entry.m_id.Text(), &entry);
  }
  return entries;
}

std::map<std::string, DeploymentSpec const*> ByName(
  std::map<base::DeploymentId, DeploymentSpec> const& aEntries)
{
  std::map<std::string, DeploymentSpec const*> entries;
  for (auto const& [id, entry] : aEntries) {
    entries.emplace(id.Text(), &entry);
  }
  return entries;
}

template<typename Entries>
void CompareEntries(CatalogSection aSection, Entries const& aBefore, Entries const& aAfter,
                    std::vector<CatalogChange>& aChanges)
{
  auto const before = ByName(aBefore);
  auto const after = ByName(aAfter);
  for (auto const& [name, entry] : before) {
    auto const other = after.find(name);
    if (other == after.end()) {
      aChanges.push_back({ ChangeKind::Removed, aSection, name, {} });
      continue;
    }
    if (auto effects = EffectsOf(*entry, *other->second); !effects.empty()) {
      aChanges.push_back({ ChangeKind::Changed, aSection, name, std::move(effects) });
    }
  }
  for (auto const& [name, entry] : after) {
    if (!before.contains(name)) {
      aChanges.push_back({ ChangeKind::Added, aSection, name, {} });
    }
  }
}

std::vector<std::string> EffectsOf(CallerLimits const& aBefore, CallerLimits const& aAfter)
{
  EffectList effects;
  effects.CompareBound("bytes of the headers", static_cast<double>(aBefore.m_headerBytes.Value()),
                       static_cast<double>(aAfter.m_headerBytes.Value()));
  effects.CompareBound("bytes of the body", static_cast<double>(aBefore.m_bodyBytes.Value()),
                       static_cast<double>(aAfter.m_bodyBytes.Value()));
  effects.Compare("time for the headers", aBefore.m_headerTimeout, aAfter.m_headerTimeout);
  effects.Compare("idle time", aBefore.m_idleTimeout, aAfter.m_idleTimeout);
  return effects.Take();
}

} // namespace

std::vector<CatalogChange> CompareCatalogs(ServingCatalog const& aInForce,
                                           ServingCatalog const& aAfter)
{
  std::vector<CatalogChange> changes;
  CompareEntries(CatalogSection::Routes, aInForce.m_routes, aAfter.m_routes, changes);
  CompareEntries(CatalogSection::Deployments, aInForce.m_deployments, aAfter.m_deployments,
                 changes);
  CompareEntries(CatalogSection::Workspaces, aInForce.m_workspaces, aAfter.m_workspaces, changes);
  if (auto effects = EffectsOf(aInForce.m_limits, aAfter.m_limits); !effects.empty()) {
    changes.push_back({ ChangeKind::Changed, CatalogSection::Limits, "", std::move(effects) });
  }
  return changes;
}

CatalogFindings CheckReplacement(ServingCatalog const& aInForce, ServingCatalog const& aAfter)
{
  CatalogFindings findings;
  auto const changes = CompareCatalogs(aInForce, aAfter);
  if (aAfter.m_version < aInForce.m_version ||
      (aAfter.m_version == aInForce.m_version && !changes.empty())) {
    findings.push_back({ FindingSeverity::Error, CatalogSection::Whole, "",
                         "version " + std::to_string(aAfter.m_version.Value()) +
                           " does not follow version " +
                           std::to_string(aInForce.m_version.Value()) + ", which is in force" });
  }
  auto const workspaces = ByName(aAfter.m_workspaces);
  for (auto const& [name, before] : ByName(aInForce.m_workspaces)) {
    auto const after = workspaces.find(name);
    bool const losesAllKeys =
      after != workspaces.end() && !before->m_keys.empty() &&
      CountMissing(before->m_keys, after->second->m_keys) == before->m_keys.size();
    if (losesAllKeys) {
      findings.push_back({ FindingSeverity::Warning, CatalogSection::Workspaces, name,
                           "all keys that its callers hold are revoked" });
    }
  }
  return findings;
}

} // namespace sardinefold::operators
