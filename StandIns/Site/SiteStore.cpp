#include "StandIns/Site/SiteStore.h"

#include "Base/Json.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kPrefix = "/v1/objects/";
constexpr std::size_t kPageItems = 500;

struct ObjectPath
{
  std::string m_kind;
  std::string m_name;
};

ObjectPath SplitPath(std::string_view aPath)
{
  auto const rest = aPath.substr(kPrefix.size());
  auto const slash = rest.find('/');
  if (slash == std::string_view::npos) {
    return { std::string(rest), "" };
  }
  return { std::string(rest.substr(0, slash)), std::string(rest.substr(slash + 1)) };
}

std::uint64_t QueryNumber(base::HttpRequest const& aRequest, std::string_view aName,
                          std::uint64_t aDefault)
{
  auto const text = aRequest.Query(aName);
  return text ? std::stoull(std::string(*text)) : aDefault;
}

} // namespace

SiteStore::SiteStore(base::EventLoop& aLoop)
  : m_loop(aLoop)
  , m_faultInjector(aLoop)
  , m_changed(aLoop.Context())
{
  auto& faults = m_faultInjector.Faults();
  faults.AddAction("forget_history", [this] { DiscardHistory(); });
  faults.AddAction("take_copy", [this] { TakeCopy(); });
  faults.AddAction("restore", [this] { Restore(); });
  faults.AddAction("write_again", [this] { WriteAgain(); });
  faults.AddFlag("hide_era", m_isEraHidden);
  faults.AddFlag("cut_watches", m_cutsWatches);
  faults.AddText("refused_kind", m_refusedKind);
  m_faultInjector.SetFinisher([this](base::HttpResponse& aResponse) {
    if (!m_isEraHidden) {
      aResponse.m_headers.Set("Store-Era", std::to_string(m_era));
    }
  });
}

SiteStore::Objects SiteStore::State::ObjectsOf(std::string const& aKind) const
{
  auto const objects = m_objects.find(aKind);
  return objects == m_objects.end() ? Objects() : objects->second;
}

Json::Value SiteStore::State::SpecOf(std::string const& aKind, std::string const& aName) const
{
  auto const objects = ObjectsOf(aKind);
  auto const found = objects.find(aName);
  return found == objects.end() ? Json::Value() : found->second["spec"];
}

void SiteStore::Record(std::string const& aKind, Json::Value const& aObject, bool aIsRemoved)
{
  m_state.m_history.push_back({ m_state.m_revision, aKind, aObject, aIsRemoved });
  m_changed.Notify();
}

void SiteStore::Put(std::string const& aKind, std::string const& aName, Json::Value aSpec)
{
  auto& object = m_state.m_objects[aKind][aName];
  if (object["spec"] == aSpec) {
    return;
  }
  ++m_state.m_revision;
  object["metadata"]["name"] = aName;
  object["metadata"]["revision"] = Json::UInt64(m_state.m_revision);
  object["spec"] = std::move(aSpec);
  Record(aKind, object, false);
}

void SiteStore::Remove(std::string const& aKind, std::string const& aName)
{
  auto& objects = m_state.m_objects[aKind];
  auto const found = objects.find(aName);
  if (found == objects.end()) {
    return;
  }
  ++m_state.m_revision;
  auto object = found->second;
  object["metadata"]["revision"] = Json::UInt64(m_state.m_revision);
  objects.erase(found);
  Record(aKind, object, true);
}

void SiteStore::DiscardHistory()
{
  m_state.m_history.clear();
  m_state.m_discardedUpTo = m_state.m_revision;
}

void SiteStore::Restore()
{
  m_replaced = std::exchange(m_state, m_copy);
  ++m_era;
  m_changed.Notify();
}

void SiteStore::WriteAgain()
{
  auto const replaced = std::exchange(m_replaced, State());
  for (std::string const kind : { "config", "servers" }) {
    std::set<std::string> names;
    for (State const* const state : std::initializer_list<State const*>{ &replaced, &m_copy }) {
      auto const objects = state->ObjectsOf(kind);
      for (auto const& [name, object] : objects) {
        names.insert(name);
      }
    }
    for (auto const& name : names) {
      // What has been written since the restoration is newer.
      if (m_state.SpecOf(kind, name) != m_copy.SpecOf(kind, name)) {
        continue;
      }
      if (auto spec = replaced.SpecOf(kind, name); spec.isNull()) {
        Remove(kind, name);
      } else {
        Put(kind, name, std::move(spec));
      }
    }
  }
}

base::HttpResponse SiteStore::List(std::string const& aKind, std::string const& aAfter) const
{
  Json::Value body;
  body["items"] = Json::Value(Json::arrayValue);
  body["hasMore"] = false;
  body["currentRev"] = Json::UInt64(m_state.m_revision);
  auto const objects = m_state.m_objects.find(aKind);
  if (objects == m_state.m_objects.end()) {
    return JsonValueResponse(200, body);
  }
  for (auto object = objects->second.upper_bound(aAfter); object != objects->second.end();
       ++object) {
    if (body["items"].size() == kPageItems) {
      body["hasMore"] = true;
      break;
    }
    body["items"].append(object->second);
  }
  return JsonValueResponse(200, body);
}

base::HttpResponse SiteStore::Write(std::string const& aKind, std::string aName, bool aIsCreation,
                                    base::HttpRequest const& aRequest)
{
  auto const body = base::ParseJson(aRequest.m_body);
  if (!body || !body->isObject()) {
    return ErrorResponse(400, "malformed", "the body is not an object");
  }
  if (aIsCreation) {
    aName = (*body)["metadata"]["name"].asString();
  }
  auto& objects = m_state.m_objects[aKind];
  auto const found = objects.find(aName);
  bool const exists = found != objects.end();
  if (exists == aIsCreation) {
    return aIsCreation ? JsonValueResponse(409, found->second)
                       : ErrorResponse(404, "not_found", "no such object");
  }
  auto const& expected = (*body)["metadata"]["revision"];
  // Compared as numbers, since the JSON type of a parsed number differs from
  // that of a number set in code.
  bool const isConflict = exists && expected.isUInt64() &&
                          expected.asUInt64() != found->second["metadata"]["revision"].asUInt64();
  if (isConflict) {
    return JsonValueResponse(409, found->second);
  }
  Put(aKind, aName, (*body)["spec"]);
  return JsonValueResponse(aIsCreation ? 201 : 200, objects[aName]);
}

asio::awaitable<void> SiteStore::Watch(base::HttpExchange& aExchange, std::string aKind)
{
  auto const after = QueryNumber(aExchange.Request(), "watch", 0);
  auto const era = m_era;
  auto const end =
    m_loop.Now() + std::chrono::milliseconds(QueryNumber(aExchange.Request(), "waitMs", 1'000));
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  while (true) {
    if (m_era != era && m_cutsWatches) {
      // An exchange that ends without a response closes its connection.
      co_return;
    }
    if (after < m_state.m_discardedUpTo || after > m_state.m_revision) {
      auto gone = ErrorResponse(410, "gone", "this history is gone");
      co_await m_faultInjector.Respond(aExchange, std::move(gone));
      co_return;
    }
    for (auto const& change : m_state.m_history) {
      if (change.m_revision > after && change.m_kind == aKind) {
        Json::Value event;
        event["object"] = change.m_object;
        event["removed"] = change.m_isRemoved;
        body["events"].append(std::move(event));
      }
    }
    if (!body["events"].empty() || m_loop.Now() >= end) {
      break;
    }
    co_await m_changed.Wait(end - m_loop.Now());
  }
  body["currentRev"] = Json::UInt64(m_state.m_revision);
  auto response = JsonValueResponse(200, body);
  co_await m_faultInjector.Respond(aExchange, std::move(response));
}

asio::awaitable<void> SiteStore::Serve(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  ++m_calls;
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  auto const& request = aExchange.Request();
  if (!request.Path().starts_with(kPrefix)) {
    auto unknown = ErrorResponse(404, "not_found", "no such path");
    co_await m_faultInjector.Respond(aExchange, std::move(unknown));
    co_return;
  }
  auto const path = SplitPath(request.Path());
  if (!m_refusedKind.empty() && path.m_kind == m_refusedKind) {
    auto refusal = ErrorResponse(503, "refused", "calls for this kind are refused");
    co_await m_faultInjector.Respond(aExchange, std::move(refusal));
    co_return;
  }
  if (request.m_method == "GET" && path.m_name.empty()) {
    if (request.Query("watch")) {
      co_await Watch(aExchange, path.m_kind);
      co_return;
    }
    auto list = List(path.m_kind, std::string(request.Query("after").value_or("")));
    co_await m_faultInjector.Respond(aExchange, std::move(list));
    co_return;
  }
  if (request.m_method == "GET") {
    auto const& objects = m_state.m_objects[path.m_kind];
    auto const found = objects.find(path.m_name);
    auto response = found == objects.end() ? ErrorResponse(404, "not_found", "no such object")
                                           : JsonValueResponse(200, found->second);
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  if (request.m_method == "DELETE") {
    Remove(path.m_kind, path.m_name);
    auto response = JsonValueResponse(200, Json::Value(Json::objectValue));
    co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
    co_return;
  }
  auto response = Write(path.m_kind, path.m_name, request.m_method == "POST", request);
  co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
}

} // namespace sardinefold::standins
