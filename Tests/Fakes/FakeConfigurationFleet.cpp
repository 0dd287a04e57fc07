#include "Tests/Fakes/FakeConfigurationFleet.h"

#include "Base/Json.h"
#include "Entry/Configuration/ConfigurationCodec.h"

#include <algorithm>
#include <utility>

namespace sardinefold::fakes {

namespace {

using namespace std::chrono_literals;

/// Sizes of an HTTP request's and response's fleet signature, JSON-RPC envelope
/// and TCP and IP headers.
constexpr std::size_t kRequestOverheadBytes = 480;
constexpr std::size_t kResponseOverheadBytes = 360;
/// A caller that has received no response by then abandons the call.
constexpr base::Duration kCallTimeout = 250ms;
constexpr base::Duration kPlatformLatency = 4ms;
constexpr base::Duration kApplyDelay = 5ms;
/// Time between the crash of a process and its removal from the other
/// processes' views.
constexpr base::Duration kMembershipDelay = 2s;

std::size_t SizeOf(Json::Value const& aValue)
{
  return base::RenderJson(aValue).size();
}

} // namespace

FakeConfigurationFleet::FakeConfigurationFleet(FleetShape aShape)
  : m_shape(aShape)
  , m_link(aShape.m_seed, aShape.m_loss)
{
  auto const add = [this](std::string const& aPrefix, std::size_t aIndex,
                          entry::ProcessRole aRole) {
    auto const host = base::HostId::FromValidated(aPrefix + std::to_string(aIndex));
    auto const domain = base::FailureDomainId::FromValidated(
      "fd-" + std::to_string(aIndex % m_shape.m_failureDomains));
    Process process;
    process.m_location = { host, domain };
    process.m_role = aRole;
    m_processes.emplace(host, std::move(process));
  };
  for (std::size_t index = 0; index < m_shape.m_entries; ++index) {
    add("entry-", index, entry::ProcessRole::Entry);
  }
  for (std::size_t index = 0; index < m_shape.m_agents; ++index) {
    add("engine-", index, entry::ProcessRole::Agent);
  }
  for (auto& [host, process] : m_processes) {
    StartProcess(process);
  }
  RefreshViews();
}

void FakeConfigurationFleet::StartProcess(Process& aProcess)
{
  aProcess.m_isLive = true;
  ++aProcess.m_incarnation;
  aProcess.m_highest = 0;
  aProcess.m_node =
    std::make_unique<entry::ConfigurationNode>(aProcess.m_location, aProcess.m_role, m_link.Draw());
  auto const host = aProcess.m_location.m_host;
  auto const incarnation = aProcess.m_incarnation;
  auto const phase = std::chrono::microseconds(m_link.Draw() % 50'000);
  m_time.After(phase, [this, host, incarnation] { Tick(host, incarnation); });
}

void FakeConfigurationFleet::Tick(base::HostId const& aHost, unsigned aIncarnation)
{
  auto const& process = m_processes.at(aHost);
  if (!process.m_isLive || process.m_incarnation != aIncarnation) {
    return;
  }
  RunDueActions(aHost);
  m_time.After(entry::ConfigurationNode::kTickInterval,
               [this, aHost, aIncarnation] { Tick(aHost, aIncarnation); });
}

void FakeConfigurationFleet::RunDueActions(base::HostId const& aHost)
{
  auto actions = m_processes.at(aHost).m_node->Collect(m_time.Now());
  for (auto& action : actions) {
    Perform(aHost, std::move(action));
  }
}

void FakeConfigurationFleet::Perform(base::HostId const& aHost, entry::ConfigurationAction aAction)
{
  if (auto* announce = std::get_if<entry::AnnounceAction>(&aAction)) {
    Announce(aHost, *announce);
  } else if (auto* poll = std::get_if<entry::PollAction>(&aAction)) {
    Poll(aHost, poll->m_from);
  } else if (auto* peer = std::get_if<entry::FetchFromPeerAction>(&aAction)) {
    FetchFromPeer(aHost, *peer);
  } else if (auto* platform = std::get_if<entry::FetchFromPlatformAction>(&aAction)) {
    FetchFromPlatform(aHost, platform->m_chunks);
  } else if (std::holds_alternative<entry::ReadManifestAction>(aAction)) {
    ReadManifest(aHost);
  } else if (auto* watch = std::get_if<entry::WatchManifestAction>(&aAction)) {
    WatchManifest(aHost, *watch);
  } else {
    Apply(aHost, std::get<entry::ApplyAction>(aAction).m_record);
  }
}

void FakeConfigurationFleet::Announce(base::HostId const& aFrom,
                                      entry::AnnounceAction const& aAction)
{
  auto const size = SizeOf(entry::WriteAnnouncement(aAction.m_announcement, aFrom));
  auto const response = std::make_shared<entry::Acknowledgement>();
  auto const to = aAction.m_to;
  auto serve = [this, aFrom, aAction, response](Process& aProcess) {
    aProcess.m_node->OnAnnouncement(aFrom, aAction.m_announcement, m_time.Now());
    RunDueActions(aProcess.m_location.m_host);
    *response = aProcess.m_node->Acknowledge(aAction.m_announcement.m_record.m_version);
    return SizeOf(entry::WriteAcknowledgement(*response));
  };
  auto onResponse = [this, to, response](Process& aProcess) {
    aProcess.m_node->OnAcknowledgement(to, *response, m_time.Now());
  };
  auto onNoResponse = [this, to](Process& aProcess) {
    aProcess.m_node->OnNoResponse(to, m_time.Now());
  };
  Exchange(aFrom, to, size, serve, onResponse, onNoResponse);
}

void FakeConfigurationFleet::Poll(base::HostId const& aFrom, base::HostId const& aTo)
{
  auto const response = std::make_shared<std::optional<entry::Announcement>>();
  auto serve = [this, response](Process& aProcess) {
    *response = aProcess.m_node->Newest(m_time.Now());
    return *response ? SizeOf(entry::WriteAnnouncement(**response, aProcess.m_location.m_host)) : 2;
  };
  auto onResponse = [this, aTo, response](Process& aProcess) {
    if (*response) {
      aProcess.m_node->OnAnnouncement(aTo, **response, m_time.Now());
      RunDueActions(aProcess.m_location.m_host);
    }
  };
  Exchange(aFrom, aTo, 2, serve, onResponse, [](Process&) {});
}

void FakeConfigurationFleet::FetchFromPeer(base::HostId const& aFrom,
                                           entry::FetchFromPeerAction const& aAction)
{
  auto const response = std::make_shared<std::vector<operators::Chunk>>();
  auto const source = aAction.m_from;
  auto serve = [response, request = aAction.m_request](Process& aProcess) {
    *response = aProcess.m_node->Serve(request);
    return SizeOf(entry::WriteChunks(*response));
  };
  auto onResponse = [this, source, response](Process& aProcess) {
    aProcess.m_node->OnChunks(source, *response, m_time.Now());
    RunDueActions(aProcess.m_location.m_host);
  };
  auto onNoResponse = [this, source](Process& aProcess) {
    aProcess.m_node->OnFetchFailed(source, m_time.Now());
  };
  Exchange(aFrom, source, SizeOf(entry::WriteChunkRequest(aAction.m_request)), serve, onResponse,
           onNoResponse);
}

void FakeConfigurationFleet::FetchFromPlatform(base::HostId const& aFrom,
                                               std::vector<operators::ChunkHash> const& aChunks)
{
  m_platformCalls += aChunks.size();
  RunAfter(aFrom, kPlatformLatency, [this, aChunks](Process& aProcess) {
    if (!m_isPlatformUp) {
      aProcess.m_node->OnFetchFailed(entry::PlatformSource{}, m_time.Now());
      return;
    }
    std::vector<operators::Chunk> chunks;
    for (auto const& hash : aChunks) {
      chunks.push_back(m_chunks.at(hash));
      aProcess.m_bytes += chunks.back().m_text.size() + kResponseOverheadBytes;
    }
    aProcess.m_node->OnChunks(entry::PlatformSource{}, std::move(chunks), m_time.Now());
    RunDueActions(aProcess.m_location.m_host);
  });
}

void FakeConfigurationFleet::ReadManifest(base::HostId const& aHost)
{
  ++m_platformCalls;
  SendManifest(aHost, m_time.Now());
}

void FakeConfigurationFleet::WatchManifest(base::HostId const& aHost,
                                           entry::WatchManifestAction aAction)
{
  ++m_platformCalls;
  auto const sent = m_time.Now();
  if (m_isPlatformUp && aAction.m_after < m_compacted) {
    RunAfter(aHost, kPlatformLatency, [](Process& aProcess) { aProcess.m_node->OnCompacted(); });
    return;
  }
  if (!m_isPlatformUp || aAction.m_after < m_objectVersion) {
    SendManifest(aHost, sent);
    return;
  }
  if (m_link.IsLost()) {
    // The watch is lost silently; the caller detects it after its timeout.
    RunAfter(aHost, aAction.m_timeout + kCallTimeout,
             [this](Process& aProcess) { aProcess.m_node->OnPlatformFailure(m_time.Now()); });
    return;
  }
  m_watchers.emplace_back(aHost, sent);
  RunAfter(aHost, aAction.m_timeout, [this, aHost, sent](Process& aProcess) {
    auto const watcher = std::ranges::find(m_watchers, std::pair(aHost, sent));
    if (watcher == m_watchers.end()) {
      return;
    }
    m_watchers.erase(watcher);
    aProcess.m_bytes += kRequestOverheadBytes + kResponseOverheadBytes;
    aProcess.m_node->OnWatchUnchanged(m_time.Now() - kPlatformLatency);
  });
}

void FakeConfigurationFleet::SendManifest(base::HostId const& aHost, base::Instant aSent)
{
  RunAfter(aHost, kPlatformLatency, [this, aSent](Process& aProcess) {
    if (!m_isPlatformUp || m_record.m_version == base::DocumentVersion(0)) {
      aProcess.m_node->OnPlatformFailure(m_time.Now());
      return;
    }
    aProcess.m_node->OnManifest(m_record, m_objectVersion, aSent, m_time.Now());
    RunDueActions(aProcess.m_location.m_host);
  });
}

void FakeConfigurationFleet::Apply(base::HostId const& aHost,
                                   operators::VersionRecord const& aRecord)
{
  RunAfter(aHost, kApplyDelay, [this, aRecord](Process& aProcess) {
    if (m_rejecting.contains(aProcess.m_location.m_host)) {
      aProcess.m_node->OnRejected(aRecord.m_version, "no room");
      return;
    }
    aProcess.m_node->OnApplied(aRecord.m_version);
    auto const now = aProcess.m_node->Versions().InForce().Value();
    m_reversions += now < aProcess.m_highest ? 1 : 0;
    aProcess.m_highest = std::max(aProcess.m_highest, now);
    RunDueActions(aProcess.m_location.m_host);
  });
}

void FakeConfigurationFleet::Publish(operators::Document const& aDocument)
{
  auto chunked = operators::SplitDocument(aDocument);
  for (auto& chunk : chunked.m_chunks) {
    m_chunks.emplace(chunk.m_hash, chunk);
  }
  m_record.m_version = m_record.m_version.Next();
  m_record.m_root = chunked.m_root;
  m_record.m_author = operators::AuthorId::FromValidated("operator");
  auto const id = "publication-" + std::to_string(m_record.m_version.Value());
  m_record.m_publication = operators::PublicationId::FromValidated(id);
  m_objectVersion = m_objectVersion.Next();
  auto const watchers = std::exchange(m_watchers, {});
  for (auto const& [host, sent] : watchers) {
    SendManifest(host, m_time.Now());
  }
}

void FakeConfigurationFleet::SetPlatformUp(bool aIsUp)
{
  m_isPlatformUp = aIsUp;
  auto const watchers = std::exchange(m_watchers, {});
  for (auto const& [host, sent] : watchers) {
    SendManifest(host, sent);
  }
}

void FakeConfigurationFleet::Kill(base::HostId const& aHost)
{
  m_processes.at(aHost).m_isLive = false;
  m_time.After(kMembershipDelay, [this] { RefreshViews(); });
}

void FakeConfigurationFleet::Restart(base::HostId const& aHost)
{
  StartProcess(m_processes.at(aHost));
  RefreshViews();
}

void FakeConfigurationFleet::RefreshViews()
{
  entry::FleetView view;
  for (auto const& [host, process] : m_processes) {
    if (process.m_isLive) {
      bool const isEntry = process.m_role == entry::ProcessRole::Entry;
      (isEntry ? view.m_entries : view.m_agents).push_back(process.m_location);
    }
  }
  for (auto& [host, process] : m_processes) {
    if (process.m_isLive) {
      process.m_node->SetView(view, m_time.Now());
    }
  }
}

void FakeConfigurationFleet::RunAfter(base::HostId const& aHost, base::Duration aDelay,
                                      std::function<void(Process&)> aRun)
{
  auto const incarnation = m_processes.at(aHost).m_incarnation;
  m_time.After(aDelay, [this, aHost, incarnation, run = std::move(aRun)] {
    auto& process = m_processes.at(aHost);
    if (process.m_isLive && process.m_incarnation == incarnation) {
      run(process);
    }
  });
}

void FakeConfigurationFleet::Exchange(base::HostId const& aFrom, base::HostId const& aTo,
                                      std::size_t aRequestBytes,
                                      std::function<std::size_t(Process&)> aServe,
                                      std::function<void(Process&)> const& aOnResponse,
                                      std::function<void(Process&)> aOnNoResponse)
{
  auto const requestBytes = aRequestBytes + kRequestOverheadBytes;
  m_processes.at(aFrom).m_bytes += requestBytes;
  bool const isDelivered = !m_link.IsLost();
  auto const back = m_link.Delay();
  RunAfter(aFrom, kCallTimeout,
           [onNoResponse = std::move(aOnNoResponse), isDelivered](Process& aProcess) {
             if (!isDelivered) {
               onNoResponse(aProcess);
             }
           });
  if (m_link.IsLost()) {
    return;
  }
  RunAfter(aTo, m_link.Delay(), [=, this, serve = std::move(aServe)](Process& aProcess) {
    auto const responseBytes = serve(aProcess) + kResponseOverheadBytes;
    aProcess.m_bytes += requestBytes + responseBytes;
    if (!isDelivered) {
      return;
    }
    RunAfter(aFrom, back, [responseBytes, aOnResponse](Process& aCaller) {
      aCaller.m_bytes += responseBytes;
      aOnResponse(aCaller);
    });
  });
}

std::vector<base::HostId> FakeConfigurationFleet::Hosts() const
{
  std::vector<base::HostId> hosts;
  for (auto const& [host, process] : m_processes) {
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<base::HostId> FakeConfigurationFleet::Relays(std::size_t aDomain) const
{
  auto const domain = base::FailureDomainId::FromValidated("fd-" + std::to_string(aDomain));
  std::vector<base::HostId> relays;
  for (auto const& [host, process] : m_processes) {
    bool const isInDomain = process.m_location.m_failureDomain == domain;
    if (isInDomain && process.m_isLive && process.m_node->IsRelay()) {
      relays.push_back(host);
    }
  }
  return relays;
}

entry::ConfigurationNode const& FakeConfigurationFleet::Node(base::HostId const& aHost) const
{
  return *m_processes.at(aHost).m_node;
}

bool FakeConfigurationFleet::IsInForce(base::DocumentVersion aVersion) const
{
  return std::ranges::all_of(m_processes, [aVersion](auto const& aEntry) {
    auto const& process = aEntry.second;
    return !process.m_isLive || process.m_node->Versions().InForce() >= aVersion;
  });
}

entry::Tally FakeConfigurationFleet::Count(base::DocumentVersion aVersion) const
{
  entry::Tally tally;
  tally.m_version = aVersion;
  for (std::size_t domain = 0; domain < m_shape.m_failureDomains; ++domain) {
    for (auto const& relay : Relays(domain)) {
      tally.Add(Node(relay).Count(aVersion));
    }
  }
  return tally;
}

std::size_t FakeConfigurationFleet::TakeMaxBytes()
{
  std::size_t maximum = 0;
  for (auto& [host, process] : m_processes) {
    maximum = std::max(maximum, std::exchange(process.m_bytes, 0));
  }
  return maximum;
}

operators::Document MakeDocument(std::size_t aAdapters)
{
  operators::Document document;
  auto const model = base::ModelId::FromValidated("model");
  auto const deployment = base::DeploymentId::FromValidated("deployment");
  document.m_environment = base::EnvironmentId::FromValidated("test");
  auto& spec = document.m_models[model];
  spec.m_id = model;
  spec.m_deployment = deployment;
  spec.m_weights = base::Bytes(1'000'000'000);
  spec.m_cache = base::Bytes(1'000'000'000);
  spec.m_contextTokens = base::Tokens(8192);
  auto const engine = base::UpstreamId::FromValidated("engine");
  auto& upstream = document.m_upstreams[engine];
  upstream.m_id = engine;
  upstream.m_deployment = deployment;
  upstream.m_host = base::HostId::FromValidated("engine-0");
  upstream.m_memory = base::Bytes(80'000'000'000);
  for (std::size_t index = 0; index < aAdapters; ++index) {
    auto const id = base::AdapterId::FromValidated("adapter-" + std::to_string(index));
    document.m_adapters[id] = { id, model, base::Bytes(50'000'000) };
  }
  return document;
}

} // namespace sardinefold::fakes
