#include "Agent/Fleet/FleetCodec.h"

#include "Base/Json.h"

#include <cmath>

namespace sardinefold::agent {

namespace {

/// A field that is missing or has another type than expected.
struct FieldError
{
  std::string m_message;
};

Json::Value const& Member(Json::Value const& aObject, char const* aName)
{
  if (!aObject.isObject() || !aObject.isMember(aName)) {
    throw FieldError{ std::string(aName) + " is missing" };
  }
  return aObject[aName];
}

std::string Text(Json::Value const& aValue)
{
  if (!aValue.isString()) {
    throw FieldError{ "a text is expected" };
  }
  return aValue.asString();
}

template<typename Id>
Id Name(Json::Value const& aValue)
{
  auto id = Id::Create(Text(aValue));
  if (!id) {
    throw FieldError{ std::string(ToText(id.error())) };
  }
  return std::move(*id);
}

std::int64_t Whole(Json::Value const& aValue)
{
  if (!aValue.isInt64()) {
    throw FieldError{ "a whole number is expected" };
  }
  return aValue.asInt64();
}

unsigned Count(Json::Value const& aValue)
{
  if (!aValue.isUInt()) {
    throw FieldError{ "a count is expected" };
  }
  return aValue.asUInt();
}

base::Endpoint Address(Json::Value const& aValue)
{
  auto endpoint = base::Endpoint::Parse(Text(aValue));
  if (!endpoint) {
    throw FieldError{ endpoint.error() };
  }
  return std::move(*endpoint);
}

base::Duration Milliseconds(Json::Value const& aValue)
{
  return std::chrono::milliseconds(Whole(aValue));
}

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

template<typename Id>
std::set<Id> ToNames(Json::Value const& aList)
{
  std::set<Id> names;
  for (auto const& entry : aList) {
    names.insert(Name<Id>(entry));
  }
  return names;
}

Json::Value FromGrants(entry::GrantedTokens const& aGrants)
{
  Json::Value object(Json::objectValue);
  for (auto const& [workspace, tokens] : aGrants) {
    object[workspace.Text()] = Json::Int64(tokens.Value());
  }
  return object;
}

entry::GrantedTokens ToGrants(Json::Value const& aObject)
{
  entry::GrantedTokens grants;
  if (!aObject.isObject()) {
    throw FieldError{ "grants are expected" };
  }
  for (auto const& name : aObject.getMemberNames()) {
    grants.emplace(Name<base::WorkspaceId>(Json::Value(name)), base::Tokens(Whole(aObject[name])));
  }
  return grants;
}

ModelOutlooks ToOutlooks(Json::Value const& aObject)
{
  ModelOutlooks outlooks;
  if (!aObject.isObject()) {
    throw FieldError{ "outlooks are expected" };
  }
  for (auto const& name : aObject.getMemberNames()) {
    outlooks.emplace(Name<base::ModelId>(Json::Value(name)), Milliseconds(aObject[name]));
  }
  return outlooks;
}

Json::Value FromDeaths(std::vector<SuspectNews> const& aDeaths)
{
  Json::Value list(Json::arrayValue);
  for (auto const& death : aDeaths) {
    Json::Value entry;
    entry["fingerprint"] = death.m_fingerprint.Text();
    entry["upstream"] = death.m_upstream.Text();
    entry["age_ms"] = FromMilliseconds(death.m_age);
    list.append(std::move(entry));
  }
  return list;
}

std::vector<SuspectNews> ToDeaths(Json::Value const& aParams)
{
  std::vector<SuspectNews> deaths;
  for (auto const& entry : aParams["deaths"]) {
    deaths.push_back({ Name<base::FingerprintId>(Member(entry, "fingerprint")),
                       Name<base::UpstreamId>(Member(entry, "upstream")),
                       Milliseconds(Member(entry, "age_ms")) });
  }
  return deaths;
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

  void operator()(EngineStatus const& aStatus)
  {
    auto& params = Start("engine.status");
    params["host"] = aStatus.m_host.Text();
    params["engine"] = aStatus.m_engine.Text();
    params["deployment"] = aStatus.m_deployment.Text();
    params["failure_domain"] = aStatus.m_failureDomain.Text();
    params["models"] = Json::Value(Json::arrayValue);
    for (auto const& held : aStatus.m_models) {
      Json::Value model;
      model["name"] = held.m_model.Text();
      model["adapters"] = FromNames(held.m_adapters);
      params["models"].append(std::move(model));
    }
    if (!aStatus.m_copies.m_inMemory.empty() || !aStatus.m_copies.m_onDisk.empty()) {
      params["in_memory"] = FromNames(aStatus.m_copies.m_inMemory);
      params["on_disk"] = FromNames(aStatus.m_copies.m_onDisk);
    }
    if (aStatus.m_change.m_loading) {
      params["loading"] = aStatus.m_change.m_loading->Text();
      params["ready_in_ms"] = FromMilliseconds(aStatus.m_change.m_readyIn);
    }
    if (aStatus.m_change.m_unloading) {
      params["unloading"] = aStatus.m_change.m_unloading->Text();
    }
    params["running"] = aStatus.m_running;
    params["waiting"] = aStatus.m_waiting;
    params["cache_used"] = Json::Int64(aStatus.m_cacheUsed.Value());
    params["cache_total"] = Json::Int64(aStatus.m_cacheTotal.Value());
    params["can_order"] = aStatus.m_canOrder;
    params["gateways"] = aStatus.m_gatewaysPresent;
  }

  void operator()(GatewayPresence const& aPresence)
  {
    auto& params = Start("gateway.presence");
    params["host"] = aPresence.m_host.Text();
    params["incarnation"] = aPresence.m_incarnation.Text();
    params["planner"] = aPresence.m_planner.Text();
    params["catalog"] = Json::UInt64(aPresence.m_catalog.Value());
    params["instance"] = aPresence.m_engine.m_instance.Text();
    params["started_at"] = Json::Int64(aPresence.m_engine.m_startedAt);
  }

  void operator()(GatewayReport const& aReport)
  {
    auto& params = Start("gateway.report");
    params["host"] = aReport.m_host.Text();
    params["incarnation"] = aReport.m_incarnation.Text();
    params["demand"] = Json::Value(Json::arrayValue);
    for (auto const& demand : aReport.m_demand) {
      // In order, without names: gateways name many models, many times.
      constexpr double kThousand = 1000;
      Json::Value entry(Json::arrayValue);
      entry.append(demand.m_model.Text());
      entry.append(demand.m_waiting);
      entry.append(Json::Int64(std::lround(demand.m_worth * kThousand)));
      entry.append(FromMilliseconds(demand.m_goalIn));
      entry.append(Json::Int64(std::lround(demand.m_rate * kThousand)));
      entry.append(Json::Int64(std::lround(demand.m_recentRate * kThousand)));
      entry.append(demand.m_running);
      params["demand"].append(std::move(entry));
    }
    params["complete"] = aReport.m_isComplete;
    params["granted"] = FromGrants(aReport.m_granted);
    if (!aReport.m_deaths.empty()) {
      params["deaths"] = FromDeaths(aReport.m_deaths);
    }
  }

  void operator()(PlannerSummary const& aSummary)
  {
    auto& params = Start("planner.summary");
    params["outlooks"] = Json::Value(Json::objectValue);
    for (auto const& [model, readyIn] : aSummary.m_outlooks) {
      params["outlooks"][model.Text()] = FromMilliseconds(readyIn);
    }
    params["epoch"] = aSummary.m_epoch;
    params["present"] = aSummary.m_gatewaysPresent;
    params["reporting"] = aSummary.m_gatewaysReporting;
    params["granted"] = FromGrants(aSummary.m_grantedByOthers);
    if (!aSummary.m_deaths.empty()) {
      params["deaths"] = FromDeaths(aSummary.m_deaths);
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
};

EngineStatus ToEngineStatus(Json::Value const& aParams)
{
  EngineStatus status;
  status.m_host = Name<base::HostId>(Member(aParams, "host"));
  status.m_engine = Address(Member(aParams, "engine"));
  status.m_deployment = Name<base::DeploymentId>(Member(aParams, "deployment"));
  status.m_failureDomain = Name<base::FailureDomainId>(Member(aParams, "failure_domain"));
  for (auto const& entry : Member(aParams, "models")) {
    status.m_models.push_back({ Name<base::ModelId>(Member(entry, "name")),
                                ToNames<base::AdapterId>(Member(entry, "adapters")) });
  }
  if (aParams.isMember("in_memory")) {
    status.m_copies.m_inMemory = ToNames<base::ModelId>(aParams["in_memory"]);
    status.m_copies.m_onDisk = ToNames<base::ModelId>(Member(aParams, "on_disk"));
  }
  if (aParams.isMember("loading")) {
    status.m_change.m_loading = Name<base::ModelId>(aParams["loading"]);
    status.m_change.m_readyIn = Milliseconds(Member(aParams, "ready_in_ms"));
  }
  if (aParams.isMember("unloading")) {
    status.m_change.m_unloading = Name<base::ModelId>(aParams["unloading"]);
  }
  status.m_running = Count(Member(aParams, "running"));
  status.m_waiting = Count(Member(aParams, "waiting"));
  status.m_cacheUsed = base::Tokens(Whole(Member(aParams, "cache_used")));
  status.m_cacheTotal = base::Tokens(Whole(Member(aParams, "cache_total")));
  status.m_canOrder = Member(aParams, "can_order").asBool();
  status.m_gatewaysPresent = Count(Member(aParams, "gateways"));
  return status;
}

GatewayPresence ToGatewayPresence(Json::Value const& aParams)
{
  GatewayPresence presence;
  presence.m_host = Name<base::HostId>(Member(aParams, "host"));
  presence.m_incarnation = Name<base::IncarnationId>(Member(aParams, "incarnation"));
  presence.m_planner = Address(Member(aParams, "planner"));
  presence.m_catalog =
    base::CatalogVersion(static_cast<std::uint64_t>(Whole(Member(aParams, "catalog"))));
  presence.m_engine = { Name<engine::InstanceId>(Member(aParams, "instance")),
                        Whole(Member(aParams, "started_at")) };
  return presence;
}

GatewayReport ToGatewayReport(Json::Value const& aParams)
{
  GatewayReport report;
  report.m_host = Name<base::HostId>(Member(aParams, "host"));
  report.m_incarnation = Name<base::IncarnationId>(Member(aParams, "incarnation"));
  for (auto const& entry : Member(aParams, "demand")) {
    constexpr double kThousandth = 0.001;
    constexpr Json::ArrayIndex kFields = 7;
    if (!entry.isArray() || entry.size() != kFields) {
      throw FieldError{ "a model's demand has seven fields" };
    }
    engine::WaitingDemand demand;
    demand.m_model = Name<base::ModelId>(entry[0]);
    demand.m_waiting = Count(entry[1]);
    demand.m_worth = static_cast<double>(Whole(entry[2])) * kThousandth;
    demand.m_goalIn = Milliseconds(entry[3]);
    demand.m_rate = static_cast<double>(Whole(entry[4])) * kThousandth;
    demand.m_recentRate = static_cast<double>(Whole(entry[5])) * kThousandth;
    demand.m_running = Count(entry[6]);
    report.m_demand.push_back(std::move(demand));
  }
  report.m_isComplete = Member(aParams, "complete").asBool();
  report.m_granted = ToGrants(Member(aParams, "granted"));
  report.m_deaths = ToDeaths(aParams);
  return report;
}

FleetMessage ToMessage(std::string const& aMethod, Json::Value const& aParams)
{
  if (aMethod == "engine.status") {
    return ToEngineStatus(aParams);
  }
  if (aMethod == "gateway.presence") {
    return ToGatewayPresence(aParams);
  }
  if (aMethod == "gateway.report") {
    return ToGatewayReport(aParams);
  }
  if (aMethod == "planner.summary") {
    return PlannerSummary{
      Text(Member(aParams, "epoch")),          Count(Member(aParams, "present")),
      Count(Member(aParams, "reporting")),     ToGrants(Member(aParams, "granted")),
      ToOutlooks(Member(aParams, "outlooks")), ToDeaths(aParams)
    };
  }
  if (aMethod == "engine.swap") {
    auto const unload = ToNames<base::ModelId>(Member(aParams, "unload"));
    return SwapRequest{ Name<base::ModelId>(Member(aParams, "load")),
                        { unload.begin(), unload.end() } };
  }
  if (aMethod == "engine.adapter") {
    return AdapterRequest{ Name<base::ModelId>(Member(aParams, "model")),
                           Name<base::AdapterId>(Member(aParams, "adapter")) };
  }
  throw FieldError{ "method \"" + aMethod + "\" is unknown" };
}

} // namespace

std::string EncodeFleetMessage(FleetMessage const& aMessage)
{
  Json::Value root;
  std::visit(Encoder{ root }, aMessage);
  return base::RenderJson(root);
}

tl::expected<FleetMessage, std::string> DecodeFleetMessage(std::string_view aText)
{
  auto const parsed = base::ParseJson(aText);
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  try {
    return ToMessage(Text(Member(*parsed, "method")), Member(*parsed, "params"));
  } catch (FieldError const& error) {
    return tl::make_unexpected(error.m_message);
  }
}

} // namespace sardinefold::agent
