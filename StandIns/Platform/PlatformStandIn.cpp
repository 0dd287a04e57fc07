#include "StandIns/Platform/PlatformStandIn.h"

#include "Base/Http/PercentEncoding.h"
#include "Base/Json.h"
#include "StandIns/Common/StandInProgram.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaximumValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kMaximumWatchTime{ 60'000 };
constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kWatchPath = "/v1/watch/";

std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  auto const parsed = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::string DecodedQuery(base::HttpRequest const& aRequest, std::string_view aName)
{
  auto const raw = aRequest.Query(aName);
  return raw ? base::PercentDecode(*raw).value_or(std::string()) : std::string();
}

/// Returns the version that a write is conditional on. Version 0 requires that
/// the object does not exist.
std::optional<base::ObjectVersion> ReadCondition(base::HttpRequest const& aRequest)
{
  if (aRequest.m_headers.Find("If-None-Match") == "*") {
    return base::ObjectVersion();
  }
  auto tag = aRequest.m_headers.Find("If-Match");
  if (!tag || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
    return std::nullopt;
  }
  auto const text = tag->substr(1, tag->size() - 2);
  auto const dot = text.find('.');
  if (dot == std::string_view::npos) {
    auto const version = ParseNumber(text);
    return version ? std::optional(base::ObjectVersion(*version)) : std::nullopt;
  }
  auto const era = ParseNumber(text.substr(0, dot));
  auto const number = ParseNumber(text.substr(dot + 1));
  return era && number ? std::optional(base::ObjectVersion(base::StoreEra(*era), *number))
                       : std::nullopt;
}

/// Versions of the first era have no era in their tag.
std::string VersionTag(base::ObjectVersion aVersion)
{
  auto const era = aVersion.Era() == base::StoreEra()
                     ? std::string()
                     : std::to_string(aVersion.Era().Value()) + ".";
  return "\"" + era + std::to_string(aVersion.Value()) + "\"";
}

Json::Value RenderObject(StoredObject const& aObject)
{
  Json::Value value;
  value["kind"] = aObject.m_kind;
  value["name"] = aObject.m_name;
  value["version"] = Json::Value::UInt64(aObject.m_version.Value());
  value["value"] = aObject.m_value;
  return value;
}

Json::Value RenderChanges(std::vector<StoredChange> const& aChanges, base::ObjectVersion aVersion)
{
  Json::Value body;
  body["version"] = Json::Value::UInt64(aVersion.Value());
  body["events"] = Json::Value(Json::arrayValue);
  for (auto const& change : aChanges) {
    Json::Value event;
    event["type"] = change.m_isDelete ? "delete" : "put";
    event["object"] = RenderObject(change.m_object);
    body["events"].append(event);
  }
  return body;
}

base::HttpResponse RenderWrite(ObjectTable::WriteResult const& aResult, unsigned aStatus)
{
  if (!aResult) {
    return aResult.error() == TableError::NotFound
             ? ErrorResponse(404, "not_found", "no such object")
             : ErrorResponse(412, "condition_failed", "the object has another version");
  }
  Json::Value body;
  body["version"] = Json::Value::UInt64(aResult->Value());
  auto response = JsonValueResponse(aStatus, body);
  response.m_headers.Add("ETag", VersionTag(*aResult));
  if (aStatus == 204) {
    response.m_body.clear();
  }
  return response;
}

base::HttpResponse ThrottledResponse()
{
  auto response = ErrorResponse(429, "throttled", "over the rate");
  response.m_headers.Add("Retry-After", "1");
  return response;
}

tl::expected<Json::Value, std::string> ReadHostsFile(std::string const& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return tl::make_unexpected("--hosts: cannot read " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = base::ParseJson(text.str());
  if (!parsed) {
    return tl::make_unexpected("--hosts: " + aPath + ": " + parsed.error());
  }
  return parsed;
}

} // namespace

base::SettingsTable PlatformStandIn::Table()
{
  using base::SettingKind;
  return base::SettingsTable(
    "standin-platform", "Takes the place of the platform's object API and host list.",
    WithCommonSettings(
      { { "writes-per-second", SettingKind::Count, "writes admitted a second", "400" },
        { "reads-per-second", SettingKind::Count, "reads and watches admitted a second", "2000" },
        { "host-lag-ms", SettingKind::Milliseconds, "lag of the host list", "0" },
        { "hosts", SettingKind::Text, "file with the first host list; empty for none", "" } }));
}

tl::expected<std::unique_ptr<PlatformStandIn>, std::string> PlatformStandIn::Create(
  base::EventLoop& aLoop, base::Settings const& aSettings)
{
  auto const writes = static_cast<double>(aSettings.Count("writes-per-second"));
  auto const reads = static_cast<double>(aSettings.Count("reads-per-second"));
  auto standIn = std::make_unique<PlatformStandIn>(aLoop, writes, reads);
  if (auto const& path = aSettings.Text("hosts"); !path.empty()) {
    auto const list = ReadHostsFile(path);
    if (!list) {
      return tl::make_unexpected(list.error());
    }
    if (auto const set = standIn->m_hosts.Set(*list, aLoop.Now()); !set) {
      return tl::make_unexpected("--hosts: " + set.error());
    }
    // The list in the file is visible at once; only later changes lag.
    standIn->m_hosts.Visible(aLoop.Now());
  }
  standIn->m_hosts.Lag() = aSettings.Milliseconds("host-lag-ms");
  return standIn;
}

PlatformStandIn::PlatformStandIn(base::EventLoop& aLoop, double aWritesPerSecond,
                                 double aReadsPerSecond)
  : m_loop(aLoop)
  , m_faultInjector(aLoop)
  , m_writes(aWritesPerSecond)
  , m_reads(aReadsPerSecond)
  , m_changed(aLoop.Context())
{
  m_faultInjector.SetFinisher([this](base::HttpResponse& aResponse) {
    auto const era = m_objects.LatestVersion().Era();
    if (era != base::StoreEra()) {
      aResponse.m_headers.Add("Objects-Era", std::to_string(era.Value()));
    }
  });
  m_faultInjector.Faults().AddMilliseconds("host_lag_ms", m_hosts.Lag());
  m_faultInjector.Faults().AddFlag("hosts_frozen", m_hosts.IsFrozen());
  m_faultInjector.Faults().AddAction("compact", [this] {
    m_objects.Compact();
    m_changed.Notify();
  });
  m_faultInjector.Faults().AddAction("lose_watches", [this] { m_changed.Notify(); });
}

asio::awaitable<void> PlatformStandIn::Serve(base::HttpExchange& aExchange)
{
  auto const path = std::string(aExchange.Request().Path());
  if (path.starts_with("/admin/")) {
    co_await ServeAdmin(aExchange);
    co_return;
  }
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  bool const isRead = aExchange.Request().m_method == "GET";
  if (!(isRead ? m_reads : m_writes).Admit(m_loop.Now())) {
    auto response = ThrottledResponse();
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  if (path == "/v1/hosts") {
    auto response = JsonValueResponse(200, m_hosts.Visible(m_loop.Now()));
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  bool const isWatch = path.starts_with(kWatchPath);
  if (!isWatch && !path.starts_with(kObjectsPath)) {
    auto response = ErrorResponse(404, "not_found", "no such path");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  auto const rest = path.substr((isWatch ? kWatchPath : kObjectsPath).size());
  auto const slash = std::min(rest.find('/'), rest.size());
  auto const rawName = slash == rest.size() ? std::string() : rest.substr(slash + 1);
  auto const name = base::PercentDecode(rawName);
  if (!name) {
    auto response = ErrorResponse(400, "bad_name", "the name is not percent-encoded");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  ObjectPath objectPath{ rest.substr(0, slash), *name };
  if (isWatch) {
    co_await ServeWatch(aExchange, std::move(objectPath));
  } else {
    co_await ServeObjects(aExchange, std::move(objectPath));
  }
}

asio::awaitable<void> PlatformStandIn::ServeObjects(base::HttpExchange& aExchange, ObjectPath aPath)
{
  auto const& request = aExchange.Request();
  if (request.m_method == "GET") {
    auto response =
      aPath.m_name.empty() ? List(aPath.m_kind, DecodedQuery(request, "prefix")) : Get(aPath);
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  if (request.m_method != "PUT" && request.m_method != "DELETE") {
    auto response = ErrorResponse(405, "bad_method", "use GET, PUT or DELETE");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  auto response = request.m_method == "PUT" ? Put(aPath, request) : Delete(aPath, request);
  if (response.m_status >= 300) {
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  m_changed.Notify();
  co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
}

base::HttpResponse PlatformStandIn::Get(ObjectPath const& aPath) const
{
  auto const object = m_objects.Get(aPath.m_kind, aPath.m_name);
  if (!object) {
    return ErrorResponse(404, "not_found", "no such object");
  }
  auto response = JsonValueResponse(200, RenderObject(*object));
  response.m_headers.Add("ETag", VersionTag(object->m_version));
  return response;
}

base::HttpResponse PlatformStandIn::List(std::string const& aKind, std::string const& aPrefix) const
{
  Json::Value body;
  body["version"] = Json::Value::UInt64(m_objects.LatestVersion().Value());
  body["items"] = Json::Value(Json::arrayValue);
  for (auto const& object : m_objects.List(aKind, aPrefix)) {
    body["items"].append(RenderObject(object));
  }
  return JsonValueResponse(200, body);
}

base::HttpResponse PlatformStandIn::Put(ObjectPath const& aPath, base::HttpRequest const& aRequest)
{
  if (aRequest.m_body.size() > kMaximumValueBytes) {
    return ErrorResponse(413, "too_large", "a value has at most 1 MB");
  }
  auto const condition = ReadCondition(aRequest);
  if (!condition || aPath.m_name.empty()) {
    return ErrorResponse(400, "bad_condition",
                         "a write needs a name, and If-Match or "
                         "If-None-Match: *");
  }
  return RenderWrite(m_objects.Put(aPath.m_kind, aPath.m_name, aRequest.m_body, *condition), 200);
}

base::HttpResponse PlatformStandIn::Delete(ObjectPath const& aPath,
                                           base::HttpRequest const& aRequest)
{
  auto const condition = ReadCondition(aRequest);
  if (!condition) {
    return ErrorResponse(400, "bad_condition", "a delete needs If-Match");
  }
  return RenderWrite(m_objects.Delete(aPath.m_kind, aPath.m_name, *condition), 204);
}

asio::awaitable<void> PlatformStandIn::ServeWatch(base::HttpExchange& aExchange, ObjectPath aPath)
{
  auto const prefix = DecodedQuery(aExchange.Request(), "prefix");
  auto const after = ParseNumber(DecodedQuery(aExchange.Request(), "after"));
  auto const limit = ParseNumber(DecodedQuery(aExchange.Request(), "timeout_ms"));
  if (!after || !limit) {
    auto response = ErrorResponse(400, "bad_watch", "a watch needs after and timeout_ms");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  auto const end =
    m_loop.Now() + std::min<base::Duration>(std::chrono::milliseconds(*limit), kMaximumWatchTime);
  auto changes = m_objects.ChangesAfter(
    aPath.m_kind, prefix, base::ObjectVersion(m_objects.LatestVersion().Era(), *after));
  ++m_waitingWatches;
  aExchange.OnPeerDisconnected([this] { m_changed.Notify(); });
  while (changes && changes->empty() && m_loop.Now() < end && !aExchange.IsPeerDisconnected()) {
    co_await m_changed.Wait(end - m_loop.Now());
    changes = m_objects.ChangesAfter(aPath.m_kind, prefix,
                                     base::ObjectVersion(m_objects.LatestVersion().Era(), *after));
  }
  --m_waitingWatches;
  if (aExchange.IsPeerDisconnected()) {
    co_return;
  }
  auto response = changes
                    ? JsonValueResponse(200, RenderChanges(*changes, m_objects.LatestVersion()))
                    : ErrorResponse(410, "compacted", "changes after this version are gone");
  co_await m_faultInjector.Respond(aExchange, std::move(response));
}

Json::Value PlatformStandIn::Calls() const
{
  Json::Value calls;
  calls["writes_admitted"] = Json::Value::UInt64(m_writes.Admitted());
  calls["writes_throttled"] = Json::Value::UInt64(m_writes.Refused());
  calls["reads_admitted"] = Json::Value::UInt64(m_reads.Admitted());
  calls["reads_throttled"] = Json::Value::UInt64(m_reads.Refused());
  calls["waiting_watches"] = Json::Value::UInt64(m_waitingWatches);
  calls["version"] = Json::Value::UInt64(m_objects.LatestVersion().Value());
  return calls;
}

asio::awaitable<void> PlatformStandIn::ServeAdmin(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  auto const& request = aExchange.Request();
  auto response = ErrorResponse(404, "not_found", "no such path");
  if (request.Path() == "/admin/calls") {
    response = JsonValueResponse(200, Calls());
  } else if (request.Path() == "/admin/hosts" && request.m_method == "PUT") {
    auto const body = base::ParseJson(request.m_body);
    auto const set = body ? m_hosts.Set(*body, m_loop.Now()) : tl::make_unexpected(body.error());
    response = set ? JsonValueResponse(200, Json::Value(Json::objectValue))
                   : ErrorResponse(400, "invalid_hosts", set.error());
  }
  co_await aExchange.Respond(std::move(response));
}

} // namespace sardinefold::standins
