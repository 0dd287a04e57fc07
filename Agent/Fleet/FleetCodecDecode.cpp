#include "Agent/Fleet/FleetCodec.h"
#include "Base/Json.h"

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
    throw FieldError{ "a string is expected" };
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

std::int64_t Integer(Json::Value const& aValue)
{
  if (!aValue.isInt64()) {
    throw FieldError{ "an integer is expected" };
  }
  return aValue.asInt64();
}

std::uint64_t UnsignedInteger(Json::Value const& aValue)
{
  if (!aValue.isUInt64()) {
    throw FieldError{ "an unsigned integer is expected" };
  }
  return aValue.asUInt64();
}

unsigned Count(Json::Value const& aValue)
{
  if (!aValue.isUInt()) {
    throw FieldError{ "a 32-bit unsigned integer is expected" };
  }
  return aValue.asUInt();
}

bool Flag(Json::Value const& aValue)
{
  if (!aValue.isBool()) {
    throw FieldError{ "a boolean is expected" };
  }
  return aValue.asBool();
}

double Number(Json::Value const& aValue)
{
  if (!aValue.isNumeric()) {
    throw FieldError{ "a number is expected" };
  }
  return aValue.asDouble();
}

/// Names a version, which is empty where upstreams state none.
base::SoftwareVersion ToVersion(Json::Value const& aValue)
{
  auto const isEmpty = aValue.isNull() || Text(aValue).empty();
  return isEmpty ? base::SoftwareVersion() : Name<base::SoftwareVersion>(aValue);
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
  // A century: times may be as long as a host runs, and sums of these do not overflow.
  constexpr std::int64_t kMaximum = 36525LL * 24 * 3600 * 1000;
  auto const milliseconds = Integer(aValue);
  if (milliseconds < -kMaximum || milliseconds > kMaximum) {
    throw FieldError{ "a time is out of range" };
  }
  return std::chrono::milliseconds(milliseconds);
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

base::Tokens ToTokens(Json::Value const& aValue)
{
  auto const tokens = Integer(aValue);
  if (tokens < -entry::kLargestReportedTokens || tokens > entry::kLargestReportedTokens) {
    throw FieldError{ "a number of tokens is out of range" };
  }
  return base::Tokens(tokens);
}

base::TokensPerSecond ToRate(Json::Value const& aValue)
{
  auto const rate = Number(aValue);
  if (!(rate >= 0 && rate <= static_cast<double>(entry::kLargestReportedTokens))) {
    throw FieldError{ "a rate of tokens is out of range" };
  }
  return base::TokensPerSecond(rate);
}

Json::Value const& Entries(Json::Value const& aObject, char const* aName)
{
  auto const& entries = Member(aObject, aName);
  if (!entries.isObject()) {
    throw FieldError{ "workspaces must be an object" };
  }
  return entries;
}

void CheckFields(Json::Value const& aEntry, Json::ArrayIndex aFields)
{
  if (!aEntry.isArray() || aEntry.size() != aFields) {
    throw FieldError{ "a workspace must be an array of the known fields" };
  }
}

entry::AllowanceReport ToAllowanceReport(Json::Value const& aObject)
{
  entry::AllowanceReport report;
  report.m_number = entry::AllowanceReportNumber(UnsignedInteger(Member(aObject, "number")));
  report.m_isJoining = Flag(Member(aObject, "joining"));
  report.m_isWhole = Flag(Member(aObject, "whole"));
  report.m_isLast = Flag(Member(aObject, "last"));
  report.m_age = Milliseconds(Member(aObject, "age_ms"));
  report.m_fleet = Count(Member(aObject, "fleet"));
  report.m_catalog = base::CatalogVersion(UnsignedInteger(Member(aObject, "catalog")));
  auto const& grants = Entries(aObject, "grants");
  for (auto const& name : grants.getMemberNames()) {
    constexpr Json::ArrayIndex kFields = 5;
    auto const& entry = grants[name];
    CheckFields(entry, kFields);
    report.m_grants[Name<base::WorkspaceId>(Json::Value(name))] = { { ToRate(entry[0]),
                                                                      ToTokens(entry[1]) },
                                                                    ToTokens(entry[2]),
                                                                    ToRate(entry[3]),
                                                                    ToTokens(entry[4]) };
  }
  return report;
}

entry::AllowanceSummary ToAllowanceSummary(Json::Value const& aObject)
{
  entry::AllowanceSummary summary;
  summary.m_epoch = Text(Member(aObject, "epoch"));
  summary.m_number = entry::AllowanceSummaryNumber(UnsignedInteger(Member(aObject, "number")));
  // Empty for a receiver that is not in the pool.
  auto const& receiver = Member(aObject, "receiver");
  if (!Text(receiver).empty()) {
    summary.m_receiver = Name<base::IncarnationId>(receiver);
  }
  summary.m_included = entry::AllowanceReportNumber(UnsignedInteger(Member(aObject, "included")));
  summary.m_fleet = Count(Member(aObject, "fleet"));
  summary.m_sharing = Count(Member(aObject, "sharing"));
  summary.m_filledFor = Milliseconds(Member(aObject, "filled_for_ms"));
  auto const& pools = Entries(aObject, "pools");
  for (auto const& name : pools.getMemberNames()) {
    constexpr Json::ArrayIndex kFields = 3;
    auto const& entry = pools[name];
    CheckFields(entry, kFields);
    summary.m_pools[Name<base::WorkspaceId>(Json::Value(name))] = { ToTokens(entry[0]),
                                                                    ToRate(entry[1]),
                                                                    ToTokens(entry[2]) };
  }
  return summary;
}

ModelForecasts ToForecasts(Json::Value const& aObject)
{
  ModelForecasts forecasts;
  if (!aObject.isObject()) {
    throw FieldError{ "outlooks must be an object" };
  }
  for (auto const& name : aObject.getMemberNames()) {
    forecasts.emplace(Name<base::ModelId>(Json::Value(name)), Milliseconds(aObject[name]));
  }
  return forecasts;
}

std::vector<RequestCrashReport> ToRequestCrashes(Json::Value const& aParams)
{
  std::vector<RequestCrashReport> crashes;
  for (auto const& entry : aParams["deaths"]) {
    auto const age = Milliseconds(Member(entry, "age_ms"));
    // Processes of a former build do not say when the request was sent.
    auto const& sentAge = entry["sent_age_ms"];
    crashes.push_back({ Name<base::FingerprintId>(Member(entry, "fingerprint")),
                        Name<base::UpstreamId>(Member(entry, "upstream")), age,
                        sentAge.isNull() ? age : Milliseconds(sentAge) });
  }
  return crashes;
}

std::vector<RequestAcquittal> ToRequestAcquittals(Json::Value const& aParams)
{
  std::vector<RequestAcquittal> acquittals;
  for (auto const& entry : aParams["acquittals"]) {
    acquittals.push_back({ Name<base::FingerprintId>(Member(entry, "fingerprint")),
                           Milliseconds(Member(entry, "age_ms")) });
  }
  return acquittals;
}

std::vector<engine::UpstreamStart> ToStarts(Json::Value const& aList)
{
  std::vector<engine::UpstreamStart> starts;
  for (auto const& entry : aList) {
    constexpr Json::ArrayIndex kFields = 3;
    if (!entry.isArray() || entry.size() != kFields) {
      throw FieldError{ "an upstream's start must be an array of three fields" };
    }
    starts.push_back({ Name<engine::InstanceId>(entry[0]), Address(entry[1]), Integer(entry[2]) });
  }
  return starts;
}

base::RequestsPerSecond ToRequestRate(double aValue)
{
  base::RequestsPerSecond const rate(aValue);
  if (!(rate >= base::RequestsPerSecond() && rate <= kLargestRequestRate)) {
    throw FieldError{ "a rate of requests is out of range" };
  }
  return rate;
}

std::uint64_t ToTotal(Json::Value const& aValue)
{
  auto const total = Integer(aValue);
  if (total < 0) {
    throw FieldError{ "a total is negative" };
  }
  return static_cast<std::uint64_t>(total);
}

/// Returns the list, which is absent where no request limit is known.
Json::Value const& RequestLimitEntries(Json::Value const& aParams)
{
  auto const& list = aParams["request_limits"];
  if (!list.isNull() && (!list.isArray() || list.size() > kMaximumRequestLimits)) {
    throw FieldError{ "request_limits must be an array that is not too long" };
  }
  return list;
}

engine::RequestLimitState ToRequestLimit(Json::Value const& aEntry, Json::ArrayIndex aFields)
{
  if (!aEntry.isArray() || aEntry.size() != aFields) {
    throw FieldError{ "a request limit must be an array of the known fields" };
  }
  engine::RequestLimitState state{ { Name<engine::InstanceId>(aEntry[0]), Address(aEntry[1]),
                                     Integer(aEntry[2]) },
                                   std::nullopt,
                                   Milliseconds(aEntry[3]) };
  if (state.m_age < base::Duration::zero()) {
    throw FieldError{ "the age of a request limit is negative" };
  }
  if (!aEntry[4].isNull()) {
    state.m_limit = ToRequestRate(Number(aEntry[4]));
  }
  return state;
}

std::vector<engine::RequestLimitDemand> ToRequestLimitDemands(Json::Value const& aParams)
{
  constexpr Json::ArrayIndex kFields = 8;
  constexpr double kThousandth = 0.001;
  std::vector<engine::RequestLimitDemand> demands;
  for (auto const& entry : RequestLimitEntries(aParams)) {
    engine::RequestLimitDemand demand{ ToRequestLimit(entry, kFields), {}, 0, 0 };
    demand.m_asked = ToRequestRate(static_cast<double>(Integer(entry[5])) * kThousandth);
    demand.m_waiting = Count(entry[6]);
    demand.m_received = ToTotal(entry[7]);
    demands.push_back(std::move(demand));
  }
  return demands;
}

std::vector<engine::RequestLimitGrant> ToRequestLimitGrants(Json::Value const& aParams)
{
  constexpr Json::ArrayIndex kFields = 7;
  std::vector<engine::RequestLimitGrant> grants;
  for (auto const& entry : RequestLimitEntries(aParams)) {
    auto state = ToRequestLimit(entry, kFields);
    grants.push_back({ std::move(state), ToTotal(entry[5]), Count(entry[6]) });
  }
  return grants;
}

std::vector<PartCrashReport> ToPartCrashes(Json::Value const& aParams)
{
  std::vector<PartCrashReport> crashes;
  for (auto const& entry : aParams["part_deaths"]) {
    crashes.push_back({ Name<base::PromptPartId>(Member(entry, "part")),
                        Name<base::UpstreamId>(Member(entry, "upstream")),
                        Milliseconds(Member(entry, "age_ms")),
                        Milliseconds(Member(entry, "sent_age_ms")) });
  }
  return crashes;
}

std::vector<PartAcquittal> ToPartAcquittals(Json::Value const& aParams)
{
  std::vector<PartAcquittal> acquittals;
  for (auto const& entry : aParams["part_beginnings"]) {
    acquittals.push_back(
      { Name<base::PromptPartId>(Member(entry, "part")), Milliseconds(Member(entry, "age_ms")) });
  }
  return acquittals;
}

/// A loader of the former build names no incarnation.
base::IncarnationId LoaderIncarnation(Json::Value const& aValue)
{
  bool const isAbsent = aValue.isNull() || (aValue.isString() && aValue.asString().empty());
  return isAbsent ? base::IncarnationId() : Name<base::IncarnationId>(aValue);
}

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
  status.m_cacheUsed = base::Tokens(Integer(Member(aParams, "cache_used")));
  status.m_cacheTotal = base::Tokens(Integer(Member(aParams, "cache_total")));
  status.m_canOrder = Flag(Member(aParams, "can_order"));
  if (aParams.isMember("leaving_start")) {
    status.m_leavingStart = Integer(aParams["leaving_start"]);
  }
  if (aParams.isMember("engine_start")) {
    status.m_engineStart = Integer(aParams["engine_start"]);
  }
  status.m_version = ToVersion(aParams["version"]);
  status.m_gatewaysPresent = Count(Member(aParams, "gateways"));
  status.m_incarnation = LoaderIncarnation(aParams["incarnation"]);
  status.m_number = UnsignedInteger(Member(aParams, "number"));
  return status;
}

EngineHeartbeat ToEngineHeartbeat(Json::Value const& aParams)
{
  return { Name<base::HostId>(Member(aParams, "host")), Address(Member(aParams, "engine")),
           LoaderIncarnation(aParams["incarnation"]),   UnsignedInteger(Member(aParams, "number")),
           Count(Member(aParams, "running")),           Count(Member(aParams, "waiting")),
           Flag(Member(aParams, "can_order")),          Count(Member(aParams, "gateways")) };
}

EngineHeartbeat ToDigestHeartbeat(Json::Value const& aEntry)
{
  constexpr Json::ArrayIndex kFields = 8;
  if (!aEntry.isArray() || aEntry.size() != kFields) {
    throw FieldError{ "a digest's heartbeat must be an array of eight fields" };
  }
  return { Name<base::HostId>(aEntry[0]),
           Address(aEntry[1]),
           LoaderIncarnation(aEntry[2]),
           UnsignedInteger(aEntry[3]),
           Count(aEntry[4]),
           Count(aEntry[5]),
           Flag(aEntry[6]),
           Count(aEntry[7]) };
}

EngineDigest ToEngineDigest(Json::Value const& aParams)
{
  EngineDigest digest;
  digest.m_failureDomain = Name<base::FailureDomainId>(Member(aParams, "failure_domain"));
  for (auto const& entry : Member(aParams, "statuses")) {
    digest.m_statuses.push_back(ToEngineStatus(entry));
  }
  for (auto const& entry : Member(aParams, "alive")) {
    digest.m_heartbeats.push_back(ToDigestHeartbeat(entry));
  }
  return digest;
}

std::vector<base::Endpoint> ToEndpoints(Json::Value const& aList)
{
  std::vector<base::Endpoint> endpoints;
  for (auto const& entry : aList) {
    endpoints.push_back(Address(entry));
  }
  return endpoints;
}

/// Decodes a list of models at engines of a version, with a value for each.
template<typename Value>
std::map<engine::VersionedModel, Value> ToVersioned(Json::Value const& aList,
                                                    Value (*aToValue)(Json::Value const&))
{
  std::map<engine::VersionedModel, Value> values;
  for (auto const& entry : aList) {
    CheckFields(entry, 3);
    values.emplace(engine::VersionedModel{ Name<base::ModelId>(entry[0]), ToVersion(entry[1]) },
                   aToValue(entry[2]));
  }
  return values;
}

std::map<base::Endpoint, EngineIdentity> ToEngines(Json::Value const& aParams)
{
  auto const& versions = aParams["versions"];
  std::map<base::Endpoint, EngineIdentity> engines;
  for (auto const& entry : Member(aParams, "engines")) {
    constexpr Json::ArrayIndex kFields = 3;
    if (!entry.isArray() || entry.size() != kFields) {
      throw FieldError{ "an engine must be an array of three fields" };
    }
    auto const& version =
      versions.isObject() ? versions[Text(entry[0])] : Json::Value::nullSingleton();
    engines.insert_or_assign(
      Address(entry[0]),
      EngineIdentity{ Name<engine::InstanceId>(entry[1]), Integer(entry[2]), ToVersion(version) });
  }
  return engines;
}

DomainPresence ToDomainPresence(Json::Value const& aParams)
{
  DomainPresence domain;
  domain.m_failureDomain = Name<base::FailureDomainId>(Member(aParams, "failure_domain"));
  for (auto const& entry : Member(aParams, "gateways")) {
    constexpr Json::ArrayIndex kFields = 7;
    if (!entry.isArray() || entry.size() != kFields) {
      throw FieldError{ "a gateway must be an array of seven fields" };
    }
    GatewayPresence presence;
    presence.m_host = Name<base::HostId>(entry[1]);
    presence.m_incarnation = Name<base::IncarnationId>(entry[2]);
    presence.m_failureDomain = domain.m_failureDomain;
    presence.m_planner = Address(entry[3]);
    presence.m_catalog = base::CatalogVersion(UnsignedInteger(entry[4]));
    presence.m_engineSpecs = UnsignedInteger(entry[5]);
    presence.m_storeEra = base::StoreEra(UnsignedInteger(entry[6]));
    domain.m_gateways.push_back({ Address(entry[0]), std::move(presence) });
  }
  domain.m_aggregators = ToEndpoints(Member(aParams, "aggregators"));
  domain.m_engines = ToEngines(aParams);
  return domain;
}

GatewayPresence ToGatewayPresence(Json::Value const& aParams)
{
  GatewayPresence presence;
  presence.m_host = Name<base::HostId>(Member(aParams, "host"));
  presence.m_incarnation = Name<base::IncarnationId>(Member(aParams, "incarnation"));
  presence.m_failureDomain = Name<base::FailureDomainId>(Member(aParams, "failure_domain"));
  presence.m_planner = Address(Member(aParams, "planner"));
  presence.m_catalog = base::CatalogVersion(UnsignedInteger(Member(aParams, "catalog")));
  presence.m_engineSpecs = UnsignedInteger(Member(aParams, "engine_specs"));
  if (aParams.isMember("store_era")) {
    presence.m_storeEra = base::StoreEra(UnsignedInteger(Member(aParams, "store_era")));
  }
  presence.m_engines = ToEngines(aParams);
  return presence;
}

std::optional<entry::EvacuationState> ToEvacuations(Json::Value const& aParams)
{
  if (!aParams.isMember("evacuations")) {
    return std::nullopt;
  }
  auto const& object = aParams["evacuations"];
  entry::EvacuationState state;
  auto const version = UnsignedInteger(Member(object, "version"));
  base::StoreEra const era(object.isMember("era") ? UnsignedInteger(object["era"]) : 0);
  state.m_version = { era, version };
  auto const& domains = Member(object, "domains");
  if (!domains.isArray()) {
    throw FieldError{ "domains must be an array" };
  }
  for (auto const& domain : domains) {
    state.m_domains.insert(Name<base::FailureDomainId>(domain));
  }
  return state;
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
      throw FieldError{ "a model's demand must be an array of seven fields" };
    }
    engine::WaitingDemand demand;
    demand.m_model = Name<base::ModelId>(entry[0]);
    demand.m_waiting = Count(entry[1]);
    demand.m_worth = static_cast<double>(Integer(entry[2])) * kThousandth;
    demand.m_timeToGoal = Milliseconds(entry[3]);
    demand.m_rate = static_cast<double>(Integer(entry[4])) * kThousandth;
    demand.m_recentRate = static_cast<double>(Integer(entry[5])) * kThousandth;
    demand.m_running = Count(entry[6]);
    report.m_demand.push_back(std::move(demand));
  }
  report.m_failureDomain = Name<base::FailureDomainId>(Member(aParams, "failure_domain"));
  if (aParams.isMember("processor_share")) {
    report.m_processorShare = Number(aParams["processor_share"]);
  }
  report.m_versionedDemand = ToVersioned(aParams["versioned_demand"], Count);
  report.m_isComplete = Flag(Member(aParams, "complete"));
  report.m_allowance = ToAllowanceReport(Member(aParams, "allowance"));
  report.m_crashes = ToRequestCrashes(aParams);
  report.m_acquittals = ToRequestAcquittals(aParams);
  report.m_leaving = ToStarts(aParams["leaving"]);
  report.m_drained = ToStarts(aParams["drained"]);
  report.m_storeAge = Milliseconds(Member(aParams, "store_age_ms"));
  report.m_partCrashes = ToPartCrashes(aParams);
  report.m_partAcquittals = ToPartAcquittals(aParams);
  report.m_evacuations = ToEvacuations(aParams);
  report.m_requestLimits = ToRequestLimitDemands(aParams);
  return report;
}

PlannerSummary ToPlannerSummary(Json::Value const& aParams)
{
  PlannerSummary summary;
  summary.m_gatewaysPresent = Count(Member(aParams, "present"));
  summary.m_allowance = ToAllowanceSummary(Member(aParams, "allowance"));
  summary.m_forecasts = ToForecasts(Member(aParams, "outlooks"));
  summary.m_versionedForecasts = ToVersioned(aParams["versioned_outlooks"], Milliseconds);
  if (aParams.isMember("catalog")) {
    summary.m_catalog = base::CatalogVersion(UnsignedInteger(aParams["catalog"]));
  }
  if (aParams.isMember("store_age_ms")) {
    summary.m_storeAge = Milliseconds(aParams["store_age_ms"]);
  }
  auto const& neighbours = Member(aParams, "neighbours");
  if (!neighbours.isObject()) {
    throw FieldError{ "neighbours must be an object" };
  }
  for (auto const& host : neighbours.getMemberNames()) {
    summary.m_neighbours.emplace(Name<base::HostId>(Json::Value(host)), Address(neighbours[host]));
  }
  auto const& aggregators = aParams["aggregators"];
  if (!aggregators.isNull() && !aggregators.isObject()) {
    throw FieldError{ "aggregators must be an object" };
  }
  for (auto const& domain : aggregators.getMemberNames()) {
    summary.m_aggregators.emplace(Name<base::FailureDomainId>(Json::Value(domain)),
                                  ToEndpoints(aggregators[domain]));
  }
  summary.m_evacuations = ToEvacuations(aParams);
  summary.m_requestLimits = ToRequestLimitGrants(aParams);
  return summary;
}

PlannerNews ToPlannerNews(Json::Value const& aParams)
{
  return { ToRequestCrashes(aParams), ToStarts(aParams["leaving"]), ToStarts(aParams["drained"]),
           ToPartCrashes(aParams),    ToPartAcquittals(aParams),    ToRequestAcquittals(aParams) };
}

objectstore::ObjectChange ToChange(Json::Value const& aEntry, base::StoreEra aEra)
{
  constexpr Json::ArrayIndex kPutFields = 3;
  constexpr Json::ArrayIndex kDeletedFields = 2;
  if (!aEntry.isArray() || (aEntry.size() != kPutFields && aEntry.size() != kDeletedFields)) {
    throw FieldError{ "a change must be an array of two or three fields" };
  }
  objectstore::ObjectKey key{ objectstore::ObjectKind::Upstream,
                              Name<objectstore::ObjectName>(aEntry[0]) };
  base::ObjectVersion const version(aEra, UnsignedInteger(aEntry[1]));
  if (aEntry.size() == kDeletedFields) {
    return objectstore::ObjectDeleted{ std::move(key), version };
  }
  return objectstore::ObjectPut{ { std::move(key), version, Text(aEntry[2]), {} } };
}

StoreUpdate ToStoreUpdate(Json::Value const& aParams)
{
  StoreUpdate update;
  update.m_host = Name<base::HostId>(Member(aParams, "host"));
  // A peer of the former build names no era.
  base::StoreEra const era(aParams.isMember("era") ? UnsignedInteger(aParams["era"]) : 0);
  if (!aParams.isMember("complete")) {
    update.m_from = base::ObjectVersion(era, UnsignedInteger(Member(aParams, "from")));
  }
  update.m_changes.m_version = { era, UnsignedInteger(Member(aParams, "to")) };
  update.m_part = Count(Member(aParams, "part"));
  update.m_parts = Count(Member(aParams, "parts"));
  update.m_catalog = base::CatalogVersion(UnsignedInteger(Member(aParams, "catalog")));
  update.m_listAge = Milliseconds(Member(aParams, "list_age_ms"));
  update.m_catalogAge = Milliseconds(Member(aParams, "catalog_age_ms"));
  if (auto evacuations = ToEvacuations(aParams)) {
    update.m_evacuations = { std::move(*evacuations),
                             Milliseconds(Member(aParams, "evacuations_age_ms")) };
  }
  for (auto const& entry : Member(aParams, "changes")) {
    update.m_changes.m_changes.push_back(ToChange(entry, era));
  }
  return update;
}

StreamOrigin ToStreamOrigin(Json::Value const& aEntry)
{
  StreamOrigin origin{ Name<base::RequestId>(Member(aEntry, "request")),
                       Name<base::DeploymentId>(Member(aEntry, "deployment")),
                       {} };
  if (aEntry.isMember("version")) {
    origin.m_version = Name<base::SoftwareVersion>(aEntry["version"]);
  }
  return origin;
}

StreamOriginReply ToStreamOriginReply(Json::Value const& aParams)
{
  StreamOriginReply reply{ Name<base::RequestId>(Member(aParams, "request")), std::nullopt };
  if (aParams.isMember("origin")) {
    reply.m_origin = ToStreamOrigin(aParams["origin"]);
  }
  return reply;
}

FleetMessage ToMessage(std::string const& aMethod, Json::Value const& aParams)
{
  if (aMethod == "engine.status") {
    return ToEngineStatus(aParams);
  }
  if (aMethod == "engine.alive") {
    return ToEngineHeartbeat(aParams);
  }
  if (aMethod == "engine.digest") {
    return ToEngineDigest(aParams);
  }
  if (aMethod == "domain.presence") {
    return ToDomainPresence(aParams);
  }
  if (aMethod == "engine.status_wanted") {
    return StatusRequest{ Name<base::HostId>(Member(aParams, "host")) };
  }
  if (aMethod == "gateway.presence") {
    return ToGatewayPresence(aParams);
  }
  if (aMethod == "gateway.report") {
    return ToGatewayReport(aParams);
  }
  if (aMethod == "planner.summary") {
    return ToPlannerSummary(aParams);
  }
  if (aMethod == "planner.news") {
    return ToPlannerNews(aParams);
  }
  if (aMethod == "store.news") {
    return ToStoreUpdate(aParams);
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
  if (aMethod == "stream.origins") {
    StreamOrigins origins;
    for (auto const& origin : Member(aParams, "origins")) {
      origins.m_origins.push_back(ToStreamOrigin(origin));
    }
    return origins;
  }
  if (aMethod == "stream.origin_wanted") {
    return StreamOriginQuery{ Name<base::RequestId>(Member(aParams, "request")) };
  }
  if (aMethod == "stream.origin") {
    return ToStreamOriginReply(aParams);
  }
  throw FieldError{ "method \"" + aMethod + "\" is unknown" };
}

} // namespace

tl::expected<FleetEnvelope, std::string> DecodeFleetMessage(std::string_view aText)
{
  auto const parsed = base::ParseJson(aText);
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  try {
    FleetEnvelope envelope{ ToMessage(Text(Member(*parsed, "method")), Member(*parsed, "params")),
                            std::nullopt,
                            {} };
    if (parsed->isMember("origin")) {
      envelope.m_origin = Address((*parsed)["origin"]);
    }
    for (auto const& receiver : (*parsed)["forward_to"]) {
      envelope.m_forwardTo.push_back(Address(receiver));
    }
    return envelope;
  } catch (FieldError const& error) {
    return tl::make_unexpected(error.m_message);
  }
}

} // namespace sardinefold::agent
