#pragma once

#include "Base/FastHasher.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Log.h"
#include "Engine/HomeRegions.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"
#include "Programs/ServingWire.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>

namespace sardinefold::programs {

/// Decides whether a request is admitted: looks up its route and workspace,
/// charges its tokens to the workspace's allowance and selects the deployment.
template<ServingWire Wire>
class RequestAdmission
{
public:
  RequestAdmission(GatewayState& aState, base::HttpRequest const& aRequest,
                   RequestContext& aContext)
    : m_state(aState)
    , m_request(aRequest)
    , m_context(aContext)
  {
  }

  /// Fills in the context. Returns a refusal if the request is not admitted.
  std::optional<RequestRefusal> Admit()
  {
    auto decoded = Wire::DecodeRequest(m_request);
    if (!decoded) {
      return RequestRefusal{ 400, "malformed request", std::nullopt };
    }
    m_context.m_request = std::move(*decoded);
    auto const* const catalog = m_state.m_catalog.get();
    if (!catalog && m_state.m_stopEnd) {
      return RequestRefusal{ 503, kStoppingOutcome, kStopRetryAfter };
    }
    if (!catalog) {
      return RequestRefusal{ 503, "no configuration yet", kConfigurationRetryAfter };
    }
    if (m_state.m_catalogProgress.IsHeld(m_state.m_loop.Now())) {
      return RequestRefusal{ 503, "configuration is outdated", kConfigurationRetryAfter };
    }
    if (m_state.AwaitsEvacuations()) {
      return RequestRefusal{ 503, "evacuations are not known yet", kConfigurationRetryAfter };
    }
    m_context.m_catalog = catalog->Catalog().m_version;
    auto const* const route = catalog->FindRoute(m_context.m_request.m_host, m_request.Path());
    if (!route) {
      return RequestRefusal{ 404, "no route", std::nullopt };
    }
    SetRoute(*route);
    operators::WorkspaceGrant const* workspace = nullptr;
    if (!route->m_isPublic && catalog->HasWorkspaces()) {
      auto const& key = m_context.m_request.m_key;
      workspace = key ? catalog->FindWorkspace(*key) : nullptr;
      if (!workspace) {
        return RequestRefusal{ 401, "unknown key", std::nullopt };
      }
      m_context.m_workspace = workspace->m_id;
      m_context.m_urgency = workspace->m_urgency.value_or(route->m_urgency);
    }
    if (!m_state.Stop().MayBegin(m_context.m_route, m_context.m_end, m_context.m_start)) {
      return RequestRefusal{ 503, kStoppingOutcome, kStopRetryAfter };
    }
    m_context.m_fingerprint = Fingerprint();
    if (auto const refused =
          m_state.m_suspects.FindRefused({ m_context.m_fingerprint }, m_context.m_start)) {
      return RequestRefusal{ 503, "request ended its upstreams", refused->m_timeLeft };
    }
    auto const& parts = m_context.m_request.m_sharedParts;
    if (auto const refused = m_state.m_suspectParts.FindRefused(parts, m_context.m_start)) {
      LogRefusedPart(m_context, *refused);
      return RequestRefusal{ 503, kRefusedPartOutcome, refused->m_timeLeft };
    }
    ChooseUpstreams(*catalog);
    if (NamesUnknownModel()) {
      // A configuration that has it may be on its way.
      return RequestRefusal{ 503, "model is not in the configuration", kConfigurationRetryAfter };
    }
    if (auto refusal = workspace ? TakeTokens(*workspace) : std::nullopt) {
      return refusal;
    }
    if (m_context.m_query.m_model) {
      m_state.m_demand.OnRequest(*m_context.m_query.m_model, m_context.m_start);
    }
    m_context.m_query.m_failureDomains = engine::HomeDomains(
      route->m_homes, workspace ? workspace->m_homes : std::set<base::RegionId>(),
      m_state.m_profile.m_regions);
    return std::nullopt;
  }

private:
  /// Retry-After during start-up; the first catalog is read within this time.
  static constexpr base::Duration kConfigurationRetryAfter = std::chrono::milliseconds(1000);

  void SetRoute(operators::RouteRule const& aRoute)
  {
    m_context.m_route = aRoute;
    m_context.m_urgency = aRoute.m_urgency;
    auto const deadline = m_context.m_request.m_deadline.value_or(aRoute.m_timeout);
    m_context.m_end = m_context.m_start + std::min(deadline, aRoute.m_timeout);
  }

  std::optional<RequestRefusal> TakeTokens(operators::WorkspaceGrant const& aWorkspace)
  {
    auto const& tokens = m_context.m_request.m_tokens;
    m_context.m_tokens = tokens ? tokens->Total() : aWorkspace.m_defaultRequestTokens;
    auto const wait =
      m_state.m_allowance.Take(aWorkspace.m_id, m_context.m_tokens, m_context.m_start);
    if (!wait) {
      return std::nullopt;
    }
    LogAllowance(aWorkspace.m_id);
    return RequestRefusal{ 429, "allowance used up", *wait };
  }

  void LogAllowance(base::WorkspaceId const& aWorkspace) const
  {
    auto const standing = m_state.m_allowance.GrantStatusOf(aWorkspace, m_context.m_start);
    base::log::Info("allowance is used up",
                    { { "request", m_context.m_request.m_id.Text() },
                      { "workspace", aWorkspace.Text() },
                      { "tokens", std::to_string(m_context.m_tokens.Value()) },
                      { "level", std::to_string(standing.m_level.Value()) },
                      { "slice", std::to_string(standing.m_slice.Value()) },
                      { "reserve", std::to_string(standing.m_reserve.Value()) },
                      { "granted", std::to_string(standing.m_granted.Value()) },
                      { "granted_included", std::to_string(standing.m_includedGranted.Value()) },
                      { "asked_per_s", std::to_string(standing.m_asked.Value()) },
                      { "asked_by_all_per_s", std::to_string(standing.m_askedByAll.Value()) },
                      { "share", std::to_string(standing.m_share) },
                      { "news_age_ms", standing.m_updateAge ? std::to_string(base::ToMilliseconds(
                                                                *standing.m_updateAge))
                                                            : "" } });
  }

  void ChooseUpstreams(caller::CatalogIndex const& aCatalog)
  {
    auto& query = m_context.m_query;
    query.m_deployment = ChooseDeployment();
    m_deployment = aCatalog.FindDeployment(query.m_deployment);
    auto const& model = m_context.m_request.m_model;
    if (m_context.m_request.m_tokens) {
      query.m_prompt = m_context.m_request.m_tokens->m_prompt;
    }
    if (model && m_deployment && m_deployment->m_engine) {
      query.m_model = model->m_model;
      query.m_adapter = model->m_adapter;
    }
  }

  /// Whether no upstream of the deployment has the request's model or may load it. What is kept of
  /// a model stays, so that callers must not make up names of models.
  bool NamesUnknownModel() const
  {
    auto const& model = m_context.m_query.m_model;
    return model && !m_deployment->m_engine->m_models.contains(*model) &&
           !m_state.m_directory.IsHeld(m_context.m_query.m_deployment, *model, m_context.m_start);
  }

  base::FingerprintId Fingerprint() const
  {
    auto const workspace = m_context.m_workspace ? m_context.m_workspace->Text() : "";
    // The body may be large, so that it is not copied.
    base::FastHasher hasher;
    hasher.Add(m_request.m_target).Add("\n").Add(workspace).Add("\n").Add(m_request.m_body);
    auto const hash = hasher.Value();
    return base::FingerprintId::FromValidated(std::to_string(hash));
  }

  /// Selects one of the route's deployments by weight. The request id determines
  /// the choice, so that a repeated request gets the same deployment; a
  /// resumed stream goes on at the one that began it.
  base::DeploymentId ChooseDeployment() const
  {
    auto const& targets = m_context.m_route.m_targets;
    double total = 0;
    for (auto const& target : targets) {
      total += target.m_weight;
    }
    constexpr std::size_t kWeightSteps = 10'000;
    auto const& request = m_context.m_request;
    auto const& first = request.m_resumes.value_or(request.m_id);
    auto const hash = std::hash<std::string>()(first.Text());
    double point = static_cast<double>(hash % kWeightSteps) / kWeightSteps * total;
    for (auto const& target : targets) {
      point -= target.m_weight;
      if (point < 0) {
        return target.m_deployment;
      }
    }
    return targets.empty() ? base::DeploymentId() : targets.back().m_deployment;
  }

  GatewayState& m_state;
  base::HttpRequest const& m_request;
  RequestContext& m_context;
  /// Null if the catalog does not have the request's deployment.
  operators::DeploymentSpec const* m_deployment = nullptr;
};

} // namespace sardinefold::programs
