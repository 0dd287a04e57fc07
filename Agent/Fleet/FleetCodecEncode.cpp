#include "Agent/Fleet/FleetCodec.h"
#include "Base/Json.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace sardinefold::agent {

namespace {

Json::Value FromMilliseconds(base::Duration aDuration)
{
  return Json::Int64(base::ToMilliseconds(aDuration));
}

template<typename Container>
Json::Value FromNames(Container const& aNames)
{
  Json::Value list(Json::arrayValue);
  for (auto const& name : aNames) {
    list.append(name.Text());
  }
  return list;
}

Json::Value FromAllowanceReport(entry::AllowanceReport const& aReport)
{
  Json::Value value;
  value["number"] = Json::UInt64(aReport.m_number.Value());
  value["joining"] = aReport.m_isJoining;
  value["whole"] = aReport.m_isWhole;
  value["last"] = aReport.m_isLast;
  value["age_ms"] = FromMilliseconds(aReport.m_age);
  value["fleet"] = aReport.m_fleet;
  value["catalog"] = Json::UInt64(aReport.m_catalog.Value());
  value["grants"] = Json::Value(Json::objectValue);
  for (auto const& [workspace, grants] : aReport.m_grants) {
    Json::Value entry(Json::arrayValue);
    entry.append(grants.m_limit.m_rate.Value());
    entry.append(Json::Int64(grants.m_limit.m_burst.Value()));
    entry.append(Json::Int64(grants.m_granted.Value()));
    entry.append(Json::Int64(std::llround(grants.m_asked.Value())));
    entry.append(Json::Int64(grants.m_slice.Value()));
    value["grants"][workspace.Text()] = std::move(entry);
  }
  return value;
}

Json::Value FromAllowanceSummary(entry::AllowanceSummary const& aSummary)
{
  Json::Value value;
  value["epoch"] = aSummary.m_epoch;
  value["number"] = Json::UInt64(aSummary.m_number.Value());
  value["receiver"] = aSummary.m_receiver.Text();
  value["included"] = Json::UInt64(aSummary.m_included.Value());
  value["fleet"] = aSummary.m_fleet;
  value["sharing"] = aSummary.m_sharing;
  value["filled_for_ms"] = FromMilliseconds(aSummary.m_filledFor);
  value["pools"] = Json::Value(Json::objectValue);
  for (auto const& [workspace, pool] : aSummary.m_pools) {
    Json::Value entry(Json::arrayValue);
    entry.append(Json::Int64(pool.m_level.Value()));
    entry.append(Json::Int64(std::llround(pool.m_asked.Value())));
    entry.append(Json::Int64(pool.m_ownGranted.Value()));
    value["pools"][workspace.Text()] = std::move(entry);
  }
  return value;
}

Json::Value FromEvacuations(entry::EvacuationState const& aState)
{
  Json::Value object;
  object["version"] = Json::UInt64(aState.m_version.Value());
  if (auto const era = aState.m_version.Era(); era != base::StoreEra()) {
    object["era"] = Json::UInt64(era.Value());
  }
  object["domains"] = FromNames(aState.m_domains);
  return object;
}

/// Encodes crashes; aSubject is the name of the field with the subject.
template<typename Subject>
Json::Value FromCrashes(std::vector<SubjectCrash<Subject>> const& aCrashes, char const* aSubject)
{
  Json::Value list(Json::arrayValue);
  for (auto const& crash : aCrashes) {
    Json::Value entry;
    entry[aSubject] = crash.m_subject.Text();
    entry["upstream"] = crash.m_upstream.Text();
    entry["age_ms"] = FromMilliseconds(crash.m_age);
    entry["sent_age_ms"] = FromMilliseconds(crash.m_sentAge);
    list.append(std::move(entry));
  }
  return list;
}

template<typename Subject>
Json::Value FromAcquittals(std::vector<SubjectAcquittal<Subject>> const& aAcquittals,
                           char const* aSubject)
{
  Json::Value list(Json::arrayValue);
  for (auto const& acquittal : aAcquittals) {
    Json::Value entry;
    entry[aSubject] = acquittal.m_subject.Text();
    entry["age_ms"] = FromMilliseconds(acquittal.m_age);
    list.append(std::move(entry));
  }
  return list;
}

/// Adds what there is of the news on prompt parts and on requests that were served.
template<typename Message>
void AddCrashNews(Json::Value& aParams, Message const& aMessage)
{
  if (!aMessage.m_acquittals.empty()) {
    aParams["acquittals"] = FromAcquittals(aMessage.m_acquittals, "fingerprint");
  }
  if (!aMessage.m_partCrashes.empty()) {
    aParams["part_deaths"] = FromCrashes(aMessage.m_partCrashes, "part");
  }
  if (!aMessage.m_partAcquittals.empty()) {
    aParams["part_beginnings"] = FromAcquittals(aMessage.m_partAcquittals, "part");
  }
}

Json::Value FromStarts(std::vector<engine::UpstreamStart> const& aStarts)
{
  Json::Value list(Json::arrayValue);
  for (auto const& start : aStarts) {
    Json::Value entry(Json::arrayValue);
    entry.append(start.m_instance.Text());
    entry.append(start.m_endpoint.Text());
    entry.append(Json::Int64(start.m_startedAt));
    list.append(std::move(entry));
  }
  return list;
}

Json::Value FromRequestLimit(engine::RequestLimitState const& aState)
{
  Json::Value entry(Json::arrayValue);
  entry.append(aState.m_start.m_instance.Text());
  entry.append(aState.m_start.m_endpoint.Text());
  entry.append(Json::Int64(aState.m_start.m_startedAt));
  entry.append(FromMilliseconds(std::max(aState.m_age, base::Duration::zero())));
  entry.append(aState.m_limit ? Json::Value(std::min(*aState.m_limit, kLargestRequestRate).Value())
                              : Json::Value());
  return entry;
}

template<typename Entry>
std::span<Entry const> FirstOf(std::vector<Entry> const& aEntries)
{
  return std::span(aEntries).first(std::min(aEntries.size(), kMaximumRequestLimits));
}

void AddRequestLimits(Json::Value& aParams, std::vector<engine::RequestLimitDemand> const& aDemands)
{
  for (auto const& demand : FirstOf(aDemands)) {
    constexpr double kThousand = 1000;
    auto entry = FromRequestLimit(demand.m_state);
    auto const asked = std::min(demand.m_asked, kLargestRequestRate);
    entry.append(Json::Int64(std::llround(asked.Value() * kThousand)));
    entry.append(demand.m_waiting);
    entry.append(Json::Int64(demand.m_received));
    aParams["request_limits"].append(std::move(entry));
  }
}

void AddRequestLimits(Json::Value& aParams, std::vector<engine::RequestLimitGrant> const& aGrants)
{
  for (auto const& grant : FirstOf(aGrants)) {
    auto entry = FromRequestLimit(grant.m_state);
    entry.append(Json::Int64(grant.m_total));
    entry.append(grant.m_waiting);
    aParams["request_limits"].append(std::move(entry));
  }
}

Json::Value FromEndpoints(std::vector<base::Endpoint> const& aEndpoints)
{
  Json::Value list(Json::arrayValue);
  for (auto const& endpoint : aEndpoints) {
    list.append(endpoint.Text());
  }
  return list;
}

Json::Value FromEngines(std::map<base::Endpoint, EngineIdentity> const& aEngines)
{
  Json::Value list(Json::arrayValue);
  for (auto const& [endpoint, engine] : aEngines) {
    Json::Value entry(Json::arrayValue);
    entry.append(endpoint.Text());
    entry.append(engine.m_instance.Text());
    entry.append(Json::Int64(engine.m_startedAt));
    list.append(std::move(entry));
  }
  return list;
}

/// Names the software of the engines; peers of the former build ignore it.
void AddVersions(Json::Value& aParams, std::map<base::Endpoint, EngineIdentity> const& aEngines)
{
  for (auto const& [endpoint, engine] : aEngines) {
    if (!engine.m_version.IsEmpty()) {
      aParams["versions"][endpoint.Text()] = engine.m_version.Text();
    }
  }
}

void AddStatus(Json::Value& aParams, EngineStatus const& aStatus)
{
  aParams["host"] = aStatus.m_host.Text();
  aParams["engine"] = aStatus.m_engine.Text();
  aParams["deployment"] = aStatus.m_deployment.Text();
  aParams["failure_domain"] = aStatus.m_failureDomain.Text();
  aParams["models"] = Json::Value(Json::arrayValue);
  for (auto const& held : aStatus.m_models) {
    Json::Value model;
    model["name"] = held.m_model.Text();
    model["adapters"] = FromNames(held.m_adapters);
    aParams["models"].append(std::move(model));
  }
  if (!aStatus.m_copies.m_inMemory.empty() || !aStatus.m_copies.m_onDisk.empty()) {
    aParams["in_memory"] = FromNames(aStatus.m_copies.m_inMemory);
    aParams["on_disk"] = FromNames(aStatus.m_copies.m_onDisk);
  }
  if (aStatus.m_change.m_loading) {
    aParams["loading"] = aStatus.m_change.m_loading->Text();
    aParams["ready_in_ms"] = FromMilliseconds(aStatus.m_change.m_readyIn);
  }
  if (aStatus.m_change.m_unloading) {
    aParams["unloading"] = aStatus.m_change.m_unloading->Text();
  }
  aParams["running"] = aStatus.m_running;
  aParams["waiting"] = aStatus.m_waiting;
  aParams["cache_used"] = Json::Int64(aStatus.m_cacheUsed.Value());
  aParams["cache_total"] = Json::Int64(aStatus.m_cacheTotal.Value());
  aParams["can_order"] = aStatus.m_canOrder;
  if (aStatus.m_leavingStart) {
    aParams["leaving_start"] = Json::Int64(*aStatus.m_leavingStart);
  }
  if (aStatus.m_engineStart) {
    aParams["engine_start"] = Json::Int64(*aStatus.m_engineStart);
  }
  if (!aStatus.m_version.IsEmpty()) {
    aParams["version"] = aStatus.m_version.Text();
  }
  aParams["gateways"] = aStatus.m_gatewaysPresent;
  if (!aStatus.m_incarnation.Text().empty()) {
    aParams["incarnation"] = aStatus.m_incarnation.Text();
  }
  aParams["number"] = Json::UInt64(aStatus.m_number);
}

void AddHeartbeat(Json::Value& aParams, EngineHeartbeat const& aHeartbeat)
{
  aParams["host"] = aHeartbeat.m_host.Text();
  aParams["engine"] = aHeartbeat.m_engine.Text();
  if (!aHeartbeat.m_incarnation.Text().empty()) {
    aParams["incarnation"] = aHeartbeat.m_incarnation.Text();
  }
  aParams["number"] = Json::UInt64(aHeartbeat.m_number);
  aParams["running"] = aHeartbeat.m_running;
  aParams["waiting"] = aHeartbeat.m_waiting;
  aParams["can_order"] = aHeartbeat.m_canOrder;
  aParams["gateways"] = aHeartbeat.m_gatewaysPresent;
}

/// Encodes a heartbeat of a digest, which holds many, without field names.
Json::Value FromHeartbeat(EngineHeartbeat const& aHeartbeat)
{
  Json::Value entry(Json::arrayValue);
  entry.append(aHeartbeat.m_host.Text());
  entry.append(aHeartbeat.m_engine.Text());
  entry.append(aHeartbeat.m_incarnation.Text());
  entry.append(Json::UInt64(aHeartbeat.m_number));
  entry.append(aHeartbeat.m_running);
  entry.append(aHeartbeat.m_waiting);
  entry.append(aHeartbeat.m_canOrder);
  entry.append(aHeartbeat.m_gatewaysPresent);
  return entry;
}

/// Encodes a gateway of a domain's presence; the failure domain is that of the
/// message.
Json::Value FromDomainGateway(DomainPresence::Gateway const& aGateway)
{
  auto const& presence = aGateway.m_presence;
  Json::Value entry(Json::arrayValue);
  entry.append(aGateway.m_endpoint.Text());
  entry.append(presence.m_host.Text());
  entry.append(presence.m_incarnation.Text());
  entry.append(presence.m_planner.Text());
  entry.append(Json::UInt64(presence.m_catalog.Value()));
  entry.append(Json::UInt64(presence.m_engineSpecs));
  entry.append(Json::UInt64(presence.m_storeEra.Value()));
  return entry;
}

/// Encodes a change; a deletion has no value.
Json::Value FromChange(objectstore::ObjectChange const& aChange)
{
  Json::Value entry(Json::arrayValue);
  if (auto const* const put = std::get_if<objectstore::ObjectPut>(&aChange)) {
    entry.append(put->m_object.m_key.m_name.Text());
    entry.append(Json::UInt64(put->m_object.m_version.Value()));
    entry.append(put->m_object.m_value);
    return entry;
  }
  auto const& deleted = std::get<objectstore::ObjectDeleted>(aChange);
  entry.append(deleted.m_key.m_name.Text());
  entry.append(Json::UInt64(deleted.m_version.Value()));
  return entry;
}

Json::Value FromStreamOrigin(StreamOrigin const& aOrigin)
{
  Json::Value entry;
  entry["request"] = aOrigin.m_request.Text();
  entry["deployment"] = aOrigin.m_deployment.Text();
  if (!aOrigin.m_version.IsEmpty()) {
    entry["version"] = aOrigin.m_version.Text();
  }
  return entry;
}

Json::Value FromVersioned(engine::VersionedModel const& aModel, Json::Value aValue)
{
  Json::Value entry(Json::arrayValue);
  entry.append(aModel.m_model.Text());
  entry.append(aModel.m_version.Text());
  entry.append(std::move(aValue));
  return entry;
}

struct Encoder
{
  Json::Value& m_root;

  Json::Value& Start(char const* aMethod)
  {
    m_root["jsonrpc"] = "2.0";
    m_root["method"] = aMethod;
    return m_root["params"];
  }

  void operator()(EngineStatus const& aStatus) { AddStatus(Start("engine.status"), aStatus); }

  void operator()(EngineHeartbeat const& aHeartbeat)
  {
    AddHeartbeat(Start("engine.alive"), aHeartbeat);
  }

  void operator()(EngineDigest const& aDigest)
  {
    auto& params = Start("engine.digest");
    params["failure_domain"] = aDigest.m_failureDomain.Text();
    params["statuses"] = Json::Value(Json::arrayValue);
    for (auto const& status : aDigest.m_statuses) {
      AddStatus(params["statuses"].append(Json::Value()), status);
    }
    params["alive"] = Json::Value(Json::arrayValue);
    for (auto const& heartbeat : aDigest.m_heartbeats) {
      params["alive"].append(FromHeartbeat(heartbeat));
    }
  }

  void operator()(DomainPresence const& aPresence)
  {
    auto& params = Start("domain.presence");
    params["failure_domain"] = aPresence.m_failureDomain.Text();
    params["gateways"] = Json::Value(Json::arrayValue);
    for (auto const& gateway : aPresence.m_gateways) {
      params["gateways"].append(FromDomainGateway(gateway));
    }
    params["aggregators"] = FromEndpoints(aPresence.m_aggregators);
    params["engines"] = FromEngines(aPresence.m_engines);
    AddVersions(params, aPresence.m_engines);
  }

  void operator()(StatusRequest const& aRequest)
  {
    Start("engine.status_wanted")["host"] = aRequest.m_host.Text();
  }

  void operator()(GatewayPresence const& aPresence)
  {
    auto& params = Start("gateway.presence");
    params["host"] = aPresence.m_host.Text();
    params["incarnation"] = aPresence.m_incarnation.Text();
    params["failure_domain"] = aPresence.m_failureDomain.Text();
    params["planner"] = aPresence.m_planner.Text();
    params["catalog"] = Json::UInt64(aPresence.m_catalog.Value());
    params["engine_specs"] = Json::UInt64(aPresence.m_engineSpecs);
    if (aPresence.m_storeEra != base::StoreEra()) {
      params["store_era"] = Json::UInt64(aPresence.m_storeEra.Value());
    }
    params["engines"] = FromEngines(aPresence.m_engines);
    AddVersions(params, aPresence.m_engines);
  }

  void operator()(GatewayReport const& aReport)
  {
    auto& params = Start("gateway.report");
    params["host"] = aReport.m_host.Text();
    params["incarnation"] = aReport.m_incarnation.Text();
    params["failure_domain"] = aReport.m_failureDomain.Text();
    if (aReport.m_processorShare > 0) {
      params["processor_share"] = aReport.m_processorShare;
    }
    params["demand"] = Json::Value(Json::arrayValue);
    for (auto const& demand : aReport.m_demand) {
      // An array without field names keeps the message small, since gateways
      // report many models frequently.
      constexpr double kThousand = 1000;
      Json::Value entry(Json::arrayValue);
      entry.append(demand.m_model.Text());
      entry.append(demand.m_waiting);
      entry.append(Json::Int64(std::lround(demand.m_worth * kThousand)));
      entry.append(FromMilliseconds(demand.m_timeToGoal));
      entry.append(Json::Int64(std::lround(demand.m_rate * kThousand)));
      entry.append(Json::Int64(std::lround(demand.m_recentRate * kThousand)));
      entry.append(demand.m_running);
      params["demand"].append(std::move(entry));
    }
    for (auto const& [model, waiting] : aReport.m_versionedDemand) {
      params["versioned_demand"].append(FromVersioned(model, waiting));
    }
    params["complete"] = aReport.m_isComplete;
    params["allowance"] = FromAllowanceReport(aReport.m_allowance);
    params["store_age_ms"] = FromMilliseconds(aReport.m_storeAge);
    if (!aReport.m_crashes.empty()) {
      params["deaths"] = FromCrashes(aReport.m_crashes, "fingerprint");
    }
    if (!aReport.m_leaving.empty()) {
      params["leaving"] = FromStarts(aReport.m_leaving);
    }
    if (!aReport.m_drained.empty()) {
      params["drained"] = FromStarts(aReport.m_drained);
    }
    AddCrashNews(params, aReport);
    if (aReport.m_evacuations) {
      params["evacuations"] = FromEvacuations(*aReport.m_evacuations);
    }
    AddRequestLimits(params, aReport.m_requestLimits);
  }

  void operator()(PlannerSummary const& aSummary)
  {
    auto& params = Start("planner.summary");
    params["outlooks"] = Json::Value(Json::objectValue);
    for (auto const& [model, readyIn] : aSummary.m_forecasts) {
      params["outlooks"][model.Text()] = FromMilliseconds(readyIn);
    }
    for (auto const& [model, readyIn] : aSummary.m_versionedForecasts) {
      params["versioned_outlooks"].append(FromVersioned(model, FromMilliseconds(readyIn)));
    }
    params["present"] = aSummary.m_gatewaysPresent;
    params["allowance"] = FromAllowanceSummary(aSummary.m_allowance);
    if (aSummary.m_catalog != base::CatalogVersion()) {
      params["catalog"] = Json::UInt64(aSummary.m_catalog.Value());
    }
    if (aSummary.m_storeAge) {
      params["store_age_ms"] = FromMilliseconds(*aSummary.m_storeAge);
    }
    params["neighbours"] = Json::Value(Json::objectValue);
    for (auto const& [host, endpoint] : aSummary.m_neighbours) {
      params["neighbours"][host.Text()] = endpoint.Text();
    }
    for (auto const& [domain, endpoints] : aSummary.m_aggregators) {
      params["aggregators"][domain.Text()] = FromEndpoints(endpoints);
    }
    if (aSummary.m_evacuations) {
      params["evacuations"] = FromEvacuations(*aSummary.m_evacuations);
    }
    AddRequestLimits(params, aSummary.m_requestLimits);
  }

  void operator()(PlannerNews const& aNews)
  {
    auto& params = Start("planner.news");
    params["deaths"] = FromCrashes(aNews.m_crashes, "fingerprint");
    params["leaving"] = FromStarts(aNews.m_leaving);
    if (!aNews.m_drained.empty()) {
      params["drained"] = FromStarts(aNews.m_drained);
    }
    AddCrashNews(params, aNews);
  }

  void operator()(StoreUpdate const& aUpdate)
  {
    auto& params = Start("store.news");
    params["host"] = aUpdate.m_host.Text();
    // A receiver that does not know "complete" misses the changes before "from" and
    // reads the store.
    params["from"] = Json::UInt64(aUpdate.m_from.value_or(aUpdate.m_changes.m_version).Value());
    params["to"] = Json::UInt64(aUpdate.m_changes.m_version.Value());
    if (!aUpdate.m_from) {
      params["complete"] = true;
    }
    // All versions of an update are of one era.
    if (auto const era = aUpdate.m_changes.m_version.Era(); era != base::StoreEra()) {
      params["era"] = Json::UInt64(era.Value());
    }
    params["part"] = aUpdate.m_part;
    params["parts"] = aUpdate.m_parts;
    params["catalog"] = Json::UInt64(aUpdate.m_catalog.Value());
    params["list_age_ms"] = FromMilliseconds(aUpdate.m_listAge);
    params["catalog_age_ms"] = FromMilliseconds(aUpdate.m_catalogAge);
    if (aUpdate.m_evacuations) {
      params["evacuations"] = FromEvacuations(aUpdate.m_evacuations->m_state);
      params["evacuations_age_ms"] = FromMilliseconds(aUpdate.m_evacuations->m_age);
    }
    params["changes"] = Json::Value(Json::arrayValue);
    for (auto const& change : aUpdate.m_changes.m_changes) {
      params["changes"].append(FromChange(change));
    }
  }

  void operator()(SwapRequest const& aRequest)
  {
    auto& params = Start("engine.swap");
    params["load"] = aRequest.m_load.Text();
    params["unload"] = FromNames(aRequest.m_unload);
  }

  void operator()(AdapterRequest const& aRequest)
  {
    auto& params = Start("engine.adapter");
    params["model"] = aRequest.m_model.Text();
    params["adapter"] = aRequest.m_adapter.Text();
  }

  void operator()(StreamOrigins const& aOrigins)
  {
    auto& params = Start("stream.origins");
    params["origins"] = Json::Value(Json::arrayValue);
    for (auto const& origin : aOrigins.m_origins) {
      params["origins"].append(FromStreamOrigin(origin));
    }
  }

  void operator()(StreamOriginQuery const& aQuery)
  {
    Start("stream.origin_wanted")["request"] = aQuery.m_request.Text();
  }

  void operator()(StreamOriginReply const& aReply)
  {
    auto& params = Start("stream.origin");
    params["request"] = aReply.m_request.Text();
    if (aReply.m_origin) {
      params["origin"] = FromStreamOrigin(*aReply.m_origin);
    }
  }
};

} // namespace

std::string EncodeFleetMessage(FleetEnvelope const& aEnvelope)
{
  Json::Value root;
  std::visit(Encoder{ root }, aEnvelope.m_message);
  if (aEnvelope.m_origin) {
    root["origin"] = aEnvelope.m_origin->Text();
  }
  for (auto const& receiver : aEnvelope.m_forwardTo) {
    root["forward_to"].append(receiver.Text());
  }
  return base::RenderJson(root);
}

std::string EncodeFleetMessage(FleetMessage const& aMessage)
{
  return EncodeFleetMessage(FleetEnvelope{ aMessage, std::nullopt, {} });
}

} // namespace sardinefold::agent
