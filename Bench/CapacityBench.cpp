#include "Agent/AgentDirectory.h"
#include "Agent/AgentStatusCodec.h"
#include "Base/Http/HttpHead.h"
#include "Base/Json.h"
#include "Base/Rpc/Cxx14/JsonRpcClientCodec.h"
#include "Base/Rpc/PeerAuthentication.h"
#include "Caller/RouteTable.h"
#include "Entry/Keys/KeyRing.h"
#include "Programs/SystemClock.h"

#include <malloc.h>

#include <functional>
#include <iostream>
#include <memory>

using namespace sardinefold;

namespace {

// Size of the fleet that the system is designed for.
constexpr std::size_t kModels = 190;
constexpr std::size_t kAdapters = 52'000;
constexpr std::size_t kWorkspaces = 2'000;
constexpr std::size_t kKeys = 10'000;
constexpr std::size_t kEngines = 10'000;
constexpr std::size_t kFailureDomains = 13;
constexpr double kChangesPerSecond = 7'000.0 / 86'400.0;
/// Status calls of an entry, independent of the number of agents.
constexpr double kStatusCallsPerSecond = 20;

constexpr double kMemoryBound = 64e6;
constexpr double kCpuBoundPercent = 4.7;
constexpr double kBytesBound = 29'000;
/// Resident size of an idle entry (Meta/speed.py).
constexpr double kIdleEntryBytes = 17e6;

void Print(char const* aBench, std::string const& aMetric, double aValue)
{
  std::cout << R"({"bench":")" << aBench << R"(","metric":")" << aMetric << R"(","value":)"
            << aValue << R"(,"bound":null,"ok":true})"
            << "\n";
}

bool PrintBound(char const* aBench, std::string const& aMetric, double aValue, double aBound)
{
  bool const isOk = aValue <= aBound;
  std::cout << R"({"bench":")" << aBench << R"(","metric":")" << aMetric << R"(","value":)"
            << aValue << R"(,"bound":)" << aBound << R"(,"ok":)" << (isOk ? "true" : "false")
            << "}\n";
  return isOk;
}

double BytesInUse()
{
  auto const info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Returns the heap bytes per item of the object that aMake creates.
template<typename Make>
double BytesPerItem(std::size_t aItems, Make aMake)
{
  auto const before = BytesInUse();
  auto const made = aMake();
  return (BytesInUse() - before) / static_cast<double>(aItems);
}

/// Returns the average duration of aCalls calls.
double SecondsPerCall(std::function<void()> const& aCall, std::size_t aCalls)
{
  auto const start = programs::SystemClock::Monotonic();
  for (std::size_t call = 0; call < aCalls; ++call) {
    aCall();
  }
  auto const time = programs::SystemClock::Monotonic() - start;
  return base::ToSeconds(time) / static_cast<double>(aCalls);
}

base::DeploymentId Deployment()
{
  return base::DeploymentId::FromValidated("assistant");
}

operators::Document MakeDocument(std::size_t aModels, std::size_t aAdapters,
                                 std::size_t aWorkspaces, std::size_t aKeys)
{
  operators::Document document;
  document.m_environment = base::EnvironmentId::FromValidated("production");
  for (std::size_t index = 0; index < aModels; ++index) {
    operators::ModelSpec model;
    model.m_id = base::ModelId::FromValidated("models/shift-report-" + std::to_string(index));
    model.m_deployment = Deployment();
    document.m_models.emplace(model.m_id, model);
  }
  for (std::size_t index = 0; index < aAdapters; ++index) {
    operators::AdapterSpec adapter;
    adapter.m_id = base::AdapterId::FromValidated("adapters/depot-" + std::to_string(index));
    adapter.m_model = base::ModelId::FromValidated(
      "models/shift-report-" + std::to_string(index % std::max<std::size_t>(aModels, 1)));
    document.m_adapters.emplace(adapter.m_id, adapter);
  }
  for (std::size_t index = 0; index < aWorkspaces; ++index) {
    operators::WorkspaceSpec workspace;
    workspace.m_id = base::WorkspaceId::FromValidated("workspace-" + std::to_string(index));
    document.m_workspaces.emplace(workspace.m_id, workspace);
  }
  for (std::size_t index = 0; index < aKeys; ++index) {
    operators::KeySpec key;
    key.m_id = base::KeyId::FromValidated("key-" + std::to_string(index));
    key.m_workspace = base::WorkspaceId::FromValidated(
      "workspace-" + std::to_string(index % std::max<std::size_t>(aWorkspaces, 1)));
    key.m_hash = base::Sha256(key.m_id.Text());
    document.m_keys.emplace(key.m_id, key);
  }
  return document;
}

std::vector<entry::IssuedKey> IssuedKeys(operators::Document const& aDocument)
{
  std::vector<entry::IssuedKey> keys;
  for (auto const& [id, key] : aDocument.m_keys) {
    keys.push_back({ id, key.m_workspace, key.m_hash });
  }
  return keys;
}

std::unique_ptr<agent::AgentDirectory> MakeDirectory(std::size_t aAgents)
{
  operators::Document document;
  std::vector<agent::AgentHost> hosts;
  for (std::size_t index = 0; index < aAgents; ++index) {
    operators::UpstreamSpec upstream;
    upstream.m_id = base::UpstreamId::FromValidated("engine-" + std::to_string(index));
    upstream.m_deployment = Deployment();
    upstream.m_host = base::HostId::FromValidated("host-" + std::to_string(index));
    document.m_upstreams.emplace(upstream.m_id, upstream);
    hosts.push_back({ upstream.m_host,
                      base::FailureDomainId::FromValidated("domain-1"),
                      { "10.0.0.1", 8081 },
                      false });
  }
  auto directory = std::make_unique<agent::AgentDirectory>();
  directory->SetDocument(document);
  directory->SetHosts(std::move(hosts));
  return directory;
}

agent::AgentStatus MakeStatus()
{
  agent::AgentStatus status;
  status.m_upstream = base::UpstreamId::FromValidated("engine-1234");
  status.m_incarnation = base::IncarnationId::FromValidated("0123456789abcdef");
  for (int index = 0; index < 6; ++index) {
    agent::ReplicaStatus replica;
    replica.m_model = base::ModelId::FromValidated("models/shift-report-" + std::to_string(index));
    replica.m_state = agent::ReplicaStatus::State::Loaded;
    status.m_replicas.push_back(replica);
  }
  return status;
}

/// Returns the bytes on the wire of the request and the response of one status
/// call, including their heads.
double StatusCallBytes(base::PeerAuthentication const& aAuthentication)
{
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/rpc";
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = base::BuildJsonRpcRequest("agent.status", Json::Value(Json::objectValue));
  aAuthentication.Sign(request);
  auto const head =
    base::RenderRequestHead(request, { "10.0.0.1", 8081 }, { request.m_body.size(), false });
  auto const response = base::RenderJson(agent::EncodeAgentStatus(MakeStatus()));
  base::HttpHeaders headers;
  headers.Add("Content-Type", "application/json");
  headers.Add("Sardinefold-Correlation", "0123456789abcdef01234567");
  auto const responseHead =
    base::RenderResponseHead(200, headers, { response.size(), false }, true);
  return static_cast<double>(head.size() + request.m_body.size() + responseHead.size() +
                             response.size());
}

bool ReportMemory()
{
  constexpr std::size_t kSample = 10'000;
  auto const model = BytesPerItem(kSample, [] { return MakeDocument(kSample, 0, 0, 0); });
  auto const adapter = BytesPerItem(kSample, [] { return MakeDocument(1, kSample, 0, 0); });
  auto const workspace = BytesPerItem(kSample, [] { return MakeDocument(0, 0, kSample, 0); });
  auto const document = MakeDocument(0, 0, 1, kSample);
  auto const key = BytesPerItem(kSample, [] { return MakeDocument(0, 0, 1, kSample); });
  auto const ringKey = BytesPerItem(kSample, [&] {
    auto ring = std::make_unique<entry::KeyRing>("index");
    (void)ring->Replace(IssuedKeys(document), base::DocumentVersion(1));
    return ring;
  });
  auto const agent = BytesPerItem(kSample, [] { return MakeDirectory(kSample); });
  Print("capacity", "model_bytes", model);
  Print("capacity", "adapter_bytes", adapter);
  Print("capacity", "workspace_bytes", workspace);
  Print("capacity", "key_bytes", key + ringKey);
  Print("capacity", "agent_bytes", agent);
  // Both documents are in memory while one version replaces another.
  auto const documentBytes =
    kModels * model + kAdapters * adapter + kWorkspaces * workspace + kKeys * key;
  auto const agents = static_cast<double>(kEngines) / kFailureDomains;
  auto const total = kIdleEntryBytes + 2 * documentBytes + kKeys * ringKey + agents * agent;
  return PrintBound("capacity", "entry_memory_bytes_at_target", total, kMemoryBound);
}

bool ReportTraffic(base::PeerAuthentication const& aAuthentication)
{
  auto const status = StatusCallBytes(aAuthentication);
  Print("capacity", "status_call_bytes", status);
  return PrintBound("capacity", "entry_status_bytes_per_second", status * kStatusCallsPerSecond,
                    kBytesBound);
}

bool ReportCpu(base::PeerAuthentication const& aAuthentication)
{
  auto const encoded = agent::EncodeAgentStatus(MakeStatus());
  auto const text = base::RenderJson(encoded);
  auto const status = SecondsPerCall(
    [&] {
      base::HttpRequest request;
      request.m_body = base::BuildJsonRpcRequest("agent.status", Json::Value(Json::objectValue));
      aAuthentication.Sign(request);
      auto const value = base::ParseJson(text);
      (void)agent::DecodeAgentStatus(*value);
    },
    2'000);
  auto const document = MakeDocument(kModels, kAdapters, kWorkspaces, kKeys);
  auto const apply = SecondsPerCall(
    [&] {
      // Applying a version creates a separate document.
      auto const copy = std::make_unique<operators::Document>(document);
      caller::RouteTable const routes(*copy);
      entry::KeyRing ring("index");
      (void)ring.Replace(IssuedKeys(*copy), base::DocumentVersion(1));
    },
    3);
  Print("capacity_cpu", "status_call_microseconds", status * 1e6);
  Print("capacity_cpu", "apply_milliseconds_at_target", apply * 1e3);
  auto const percent = 100 * (status * kStatusCallsPerSecond + apply * kChangesPerSecond);
  return PrintBound("capacity_cpu", "entry_control_percent_of_core", percent, kCpuBoundPercent);
}

} // namespace

int main()
{
  base::PeerAuthentication const authentication("secret");
  bool isOk = ReportMemory();
  isOk = ReportTraffic(authentication) && isOk;
  isOk = ReportCpu(authentication) && isOk;
  return isOk ? 0 : 1;
}
