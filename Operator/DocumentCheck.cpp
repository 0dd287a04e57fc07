#include "Operator/DocumentCheck.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace sardinefold::operators {

namespace {

/// Paths that the entries serve themselves.
constexpr std::array<std::string_view, 5> kReservedPrefixes{ "/operator/", "/rpc", "/metrics",
                                                             "/healthz", "/readyz" };

/// Combined capacity of the upstreams of one deployment.
struct Capacity
{
  std::set<UpstreamKind> m_kinds;
  std::vector<base::Bytes> m_engineMemory;
  base::Bytes m_totalMemory;

  base::Bytes LargestEngineMemory() const
  {
    auto const largest = std::ranges::max_element(m_engineMemory);
    return largest == m_engineMemory.end() ? base::Bytes() : *largest;
  }
};

class Checker
{
public:
  explicit Checker(Document const& aDocument)
    : m_document(aDocument)
  {
  }

  DocumentProblems Run()
  {
    CheckUpstreams();
    CheckModels();
    CheckAdapters();
    CheckWorkspaces();
    CheckKeys();
    CheckRoutes();
    return std::move(m_problems);
  }

private:
  template<typename Id>
  void Report(char const* aSection, Id const& aId, char const* aField, std::string aMessage)
  {
    auto const path = "/" + std::string(aSection) + "/" + PointerToken(aId.Text());
    m_problems.push_back({ path + "/" + aField, std::move(aMessage) });
  }

  void CheckUpstreams()
  {
    std::map<base::HostId, base::UpstreamId> hosts;
    for (auto const& [id, upstream] : m_document.m_upstreams) {
      auto const [position, isFirst] = hosts.emplace(upstream.m_host, id);
      if (!isFirst) {
        Report("upstreams", id, "host",
               "expected one upstream a host, got \"" + upstream.m_host.Text() + "\", where \"" +
                 position->second.Text() + "\" is already");
      }
      CheckMemory(upstream);
      auto& capacity = m_capacity[upstream.m_deployment];
      capacity.m_kinds.insert(upstream.m_kind);
      if (capacity.m_kinds.size() > 1) {
        Report("upstreams", id, "kind",
               "deployment \"" + upstream.m_deployment.Text() +
                 "\" has engines as well as services; expected one kind");
      }
      if (upstream.m_kind == UpstreamKind::Engine) {
        capacity.m_engineMemory.push_back(upstream.m_memory);
        capacity.m_totalMemory += upstream.m_memory;
      }
    }
  }

  void CheckMemory(UpstreamSpec const& aUpstream)
  {
    bool const isEngine = aUpstream.m_kind == UpstreamKind::Engine;
    bool const hasMemory = aUpstream.m_memory > base::Bytes(0);
    if (isEngine && !hasMemory) {
      Report("upstreams", aUpstream.m_id, "memory_bytes", "an engine needs memory; got 0");
    }
    if (!isEngine && hasMemory) {
      Report("upstreams", aUpstream.m_id, "memory_bytes",
             "a service holds no models; expected 0, got " +
               std::to_string(aUpstream.m_memory.Value()));
    }
  }

  void CheckModels()
  {
    std::map<base::DeploymentId, base::Bytes> reserved;
    for (auto const& [id, model] : m_document.m_models) {
      if (model.m_minimumReplicas > model.m_maximumReplicas) {
        Report("models", id, "minimum_replicas",
               "expected at most maximum_replicas (" + std::to_string(model.m_maximumReplicas) +
                 "), got " + std::to_string(model.m_minimumReplicas));
      }
      auto const capacity = m_capacity.find(model.m_deployment);
      if (capacity == m_capacity.end() || capacity->second.m_engineMemory.empty()) {
        Report("models", id, "deployment",
               "no engine belongs to deployment \"" + model.m_deployment.Text() + "\"");
        continue;
      }
      CheckFit(model, capacity->second);
      auto& total = reserved[model.m_deployment];
      auto const before = total;
      total += (model.m_weights + model.m_cache) * model.m_minimumReplicas;
      auto const limit = capacity->second.m_totalMemory;
      if (before <= limit && total > limit) {
        Report("models", id, "minimum_replicas",
               "the least replicas of deployment \"" + model.m_deployment.Text() + "\" need " +
                 std::to_string(total.Value()) + " bytes up to this model; its engines have " +
                 std::to_string(limit.Value()));
      }
    }
  }

  void CheckFit(ModelSpec const& aModel, Capacity const& aCapacity)
  {
    auto const required = aModel.m_weights + aModel.m_cache;
    auto const fits = [required](base::Bytes aMemory) { return aMemory >= required; };
    auto const engines = std::ranges::count_if(aCapacity.m_engineMemory, fits);
    if (engines == 0) {
      Report("models", aModel.m_id, "weights_bytes",
             "weights and cache need " + std::to_string(required.Value()) +
               " bytes; the largest engine of deployment \"" + aModel.m_deployment.Text() +
               "\" has " + std::to_string(aCapacity.LargestEngineMemory().Value()));
      return;
    }
    if (aModel.m_maximumReplicas > static_cast<unsigned>(engines)) {
      Report("models", aModel.m_id, "maximum_replicas",
             "expected at most " + std::to_string(engines) +
               ", the engines with room for it; got " + std::to_string(aModel.m_maximumReplicas));
    }
  }

  void CheckAdapters()
  {
    for (auto const& [id, adapter] : m_document.m_adapters) {
      if (m_document.m_models.contains(base::ModelId::FromValidated(id.Text()))) {
        Report("adapters", id, "model",
               "a model has the adapter's name, so a request could mean either");
      }
      auto const model = m_document.m_models.find(adapter.m_model);
      if (model == m_document.m_models.end()) {
        Report("adapters", id, "model", "no model is named \"" + adapter.m_model.Text() + "\"");
        continue;
      }
      auto const& base = model->second;
      auto const required = base.m_weights + base.m_cache + adapter.m_weights;
      auto const largest = m_capacity[base.m_deployment].LargestEngineMemory();
      if (required > largest) {
        Report("adapters", id, "weights_bytes",
               "with its model it needs " + std::to_string(required.Value()) +
                 " bytes; the largest engine has " + std::to_string(largest.Value()));
      }
    }
  }

  void CheckWorkspaces()
  {
    std::optional<base::Tokens> shortestContext;
    for (auto const& [id, model] : m_document.m_models) {
      shortestContext =
        shortestContext ? std::min(*shortestContext, model.m_contextTokens) : model.m_contextTokens;
    }
    for (auto const& [id, workspace] : m_document.m_workspaces) {
      if (shortestContext && workspace.m_burst < *shortestContext) {
        Report("workspaces", id, "burst_tokens",
               "expected room for one whole request, at least " +
                 std::to_string(shortestContext->Value()) + " tokens (the shortest context), got " +
                 std::to_string(workspace.m_burst.Value()));
      }
    }
  }

  void CheckKeys()
  {
    std::map<base::Sha256Value, base::KeyId> hashes;
    for (auto const& [id, key] : m_document.m_keys) {
      if (!m_document.m_workspaces.contains(key.m_workspace)) {
        Report("keys", id, "workspace", "no workspace is named \"" + key.m_workspace.Text() + "\"");
      }
      auto const [position, isFirst] = hashes.emplace(key.m_hash, id);
      if (!isFirst) {
        Report("keys", id, "sha256", "key \"" + position->second.Text() + "\" has the same value");
      }
    }
  }

  void CheckRoutes()
  {
    std::map<std::string, base::RouteId> prefixes;
    for (auto const& [id, route] : m_document.m_routes) {
      auto const& prefix = route.m_pathPrefix;
      if (!prefix.starts_with("/") || prefix.find_first_of(" ?#%\\") != std::string::npos) {
        Report("routes", id, "path_prefix",
               "expected a path that starts with \"/\" and has no space, ?, #, % or \\, got \"" +
                 prefix + "\"");
      }
      for (auto const reserved : kReservedPrefixes) {
        if (prefix.starts_with(reserved) || reserved.starts_with(prefix)) {
          Report("routes", id, "path_prefix",
                 "\"" + prefix + "\" would hide \"" + std::string(reserved) +
                   "\", which the entries serve themselves");
        }
      }
      auto const [position, isFirst] = prefixes.emplace(prefix, id);
      if (!isFirst) {
        Report("routes", id, "path_prefix",
               "route \"" + position->second.Text() + "\" has the same prefix");
      }
      if (!m_capacity.contains(route.m_deployment)) {
        Report("routes", id, "deployment",
               "no upstream belongs to deployment \"" + route.m_deployment.Text() + "\"");
      }
    }
  }

  Document const& m_document;
  std::map<base::DeploymentId, Capacity> m_capacity;
  DocumentProblems m_problems;
};

} // namespace

DocumentProblems CheckDocument(Document const& aDocument)
{
  return Checker(aDocument).Run();
}

} // namespace sardinefold::operators
