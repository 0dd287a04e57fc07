#pragma once

#include "Base/EventLoop.h"
#include "Base/Json.h"
#include "Base/Rpc/RpcClient.h"
#include "Base/Rpc/RpcServer.h"
#include "Entry/Configuration/ConfigurationCodec.h"
#include "Entry/Configuration/ConfigurationNode.h"
#include "Operator/DocumentStoreClient.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinefold::entry {

/// Puts a document in force in this process, or returns why that is not possible.
template<typename Applier>
concept DocumentApplier = requires(Applier& aApplier,
                                   std::unique_ptr<operators::Document const> aDocument)
{
  {
    aApplier.ApplyDocument(std::move(aDocument))
    } -> std::same_as<tl::expected<void, std::string>>;
};

/// Performs the actions of a ConfigurationNode over JSON-RPC and the platform's
/// object API.
template<objectstore::ObjectStore Store, DocumentApplier Applier>
class ConfigurationEndpoint
{
public:
  struct ProcessIdentity
  {
    ProcessLocation m_self;
    ProcessRole m_role;
    base::EnvironmentId m_environment;
  };
  using Addresses = std::map<base::HostId, base::Endpoint>;

  ConfigurationEndpoint(base::EventLoop& aLoop, ProcessIdentity aIdentity, Store& aStore,
                        base::RpcClient aClient, Applier& aApplier, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_identity(std::move(aIdentity))
    , m_store(aStore)
    , m_documents(aLoop, aStore)
    , m_client(aClient)
    , m_applier(aApplier)
    , m_node(m_identity.m_self, m_identity.m_role, aSeed)
  {
  }

  /// Registers the methods of ConfigurationCodec.h.
  void Register(base::RpcServer& aServer)
  {
    aServer.Register(kAnnounceMethod, [this](Json::Value const& aInput) -> Reply {
      auto const read = ReadAnnouncement(aInput);
      if (!read) {
        return Invalid(read.error());
      }
      m_node.OnAnnouncement(read->m_from, read->m_announcement, m_loop.Now());
      RunDueActions();
      return WriteAcknowledgement(m_node.Acknowledge(read->m_announcement.m_record.m_version));
    });
    aServer.Register(kAskMethod, [this](Json::Value const&) -> Reply {
      auto const newest = m_node.Newest(m_loop.Now());
      return newest ? WriteAnnouncement(*newest, m_identity.m_self.m_host)
                    : Json::Value(Json::objectValue);
    });
    aServer.Register(kFetchMethod, [this](Json::Value const& aInput) -> Reply {
      auto const read = ReadChunkRequest(aInput);
      return read ? Reply(WriteChunks(m_node.Serve(*read))) : Invalid(read.error());
    });
    aServer.Register(kCountMethod, [this](Json::Value const& aInput) -> Reply {
      auto const read = ReadCountRequest(aInput);
      return read ? Reply(WriteTally(m_node.Count(*read))) : Invalid(read.error());
    });
  }

  /// Replaces the live processes and their addresses.
  void SetView(FleetView aView, Addresses aAddresses)
  {
    m_addresses = std::move(aAddresses);
    m_view = std::move(aView);
    m_node.SetView(m_view, m_loop.Now());
  }

  boost::asio::awaitable<void> Run()
  {
    while (!m_isStopped) {
      RunDueActions();
      co_await m_loop.Sleep(ConfigurationNode::kTickInterval);
    }
  }
  void Stop() { m_isStopped = true; }

  ConfigurationNode const& Node() const { return m_node; }

  /// Asks all relays which processes have applied the newest version known here.
  /// A relay that does not respond is named as behind, with the entries that it
  /// counts.
  boost::asio::awaitable<Tally> CountFleet()
  {
    Tally total;
    auto const& newest = m_node.Versions().Newest();
    total.m_version = newest ? newest->m_version : base::DocumentVersion(0);
    std::set<base::FailureDomainId> domains;
    for (auto const& entry : m_view.m_entries) {
      domains.insert(entry.m_failureDomain);
    }
    for (auto const& domain : domains) {
      auto const relays = ChooseRelays(m_view, domain);
      for (auto const& relay : relays) {
        auto const version = total.m_version;
        auto const tally = co_await CountRelay(relay, version);
        if (tally) {
          total.Add(*tally);
        } else {
          AddUnresponsiveRelay(relay, relays, domain, total);
        }
      }
    }
    co_return total;
  }

private:
  using Reply = tl::expected<Json::Value, base::RpcError>;

  static constexpr base::Duration kCallTimeout = std::chrono::milliseconds(250);
  static constexpr base::Duration kFetchTimeout = std::chrono::milliseconds(400);

  static Reply Invalid(operators::DocumentProblems const& aProblems)
  {
    return tl::make_unexpected(
      base::RpcError{ base::kRpcInvalidParameters, operators::ToText(aProblems) });
  }

  void RunDueActions()
  {
    for (auto& action : m_node.Collect(m_loop.Now())) {
      std::visit([this](auto& aAction) { Perform(std::move(aAction)); }, action);
    }
  }

  void Perform(AnnounceAction aAction) { m_loop.Start(Announce(std::move(aAction))); }
  void Perform(PollAction aAction) { m_loop.Start(Poll(std::move(aAction.m_from))); }
  void Perform(FetchFromPeerAction aAction) { m_loop.Start(FetchFromPeer(std::move(aAction))); }
  void Perform(FetchFromPlatformAction aAction)
  {
    m_loop.Start(FetchFromPlatform(std::move(aAction.m_chunks)));
  }
  void Perform(ReadManifestAction) { m_loop.Start(ReadManifest({})); }
  void Perform(WatchManifestAction aAction) { m_loop.Start(WatchManifest(aAction)); }

  void Perform(ApplyAction const& aAction)
  {
    auto const find = [this](operators::ChunkHash const& aHash) {
      return m_node.Versions().Chunks().Find(aHash);
    };
    auto document = operators::JoinDocument(m_identity.m_environment, aAction.m_record, find);
    auto const version = aAction.m_record.m_version;
    if (!document) {
      m_node.OnRejected(version, operators::ToText(document.error()));
      return;
    }
    auto const applied =
      m_applier.ApplyDocument(std::make_unique<operators::Document const>(std::move(*document)));
    if (!applied) {
      m_node.OnRejected(version, applied.error());
      return;
    }
    m_node.OnApplied(version);
  }

  boost::asio::awaitable<tl::expected<Json::Value, base::RpcFailure>> Call(base::HostId aHost,
                                                                           std::string aMethod,
                                                                           Json::Value aInput,
                                                                           base::Duration aLimit)
  {
    auto const address = m_addresses.find(aHost);
    if (address == m_addresses.end()) {
      base::RpcFailure failure{ base::RpcFailure::Kind::Transport, false, 0, "no address" };
      co_return tl::make_unexpected(std::move(failure));
    }
    auto endpoint = address->second;
    co_return co_await m_client.Call(std::move(endpoint), std::move(aMethod), std::move(aInput),
                                     aLimit);
  }

  boost::asio::awaitable<void> Announce(AnnounceAction aAction)
  {
    auto input = WriteAnnouncement(aAction.m_announcement, m_identity.m_self.m_host);
    std::string method = kAnnounceMethod;
    auto host = aAction.m_to;
    auto const response =
      co_await Call(std::move(host), std::move(method), std::move(input), kCallTimeout);
    auto const read = response ? ReadAcknowledgement(*response) : Decoded<Acknowledgement>();
    if (!response || !read) {
      m_node.OnNoResponse(aAction.m_to, m_loop.Now());
      co_return;
    }
    m_node.OnAcknowledgement(aAction.m_to, *read, m_loop.Now());
  }

  boost::asio::awaitable<void> Poll(base::HostId aFrom)
  {
    Json::Value input(Json::objectValue);
    std::string method = kAskMethod;
    auto const response = co_await Call(aFrom, std::move(method), std::move(input), kCallTimeout);
    if (!response || response->empty()) {
      co_return;
    }
    if (auto const read = ReadAnnouncement(*response)) {
      m_node.OnAnnouncement(aFrom, read->m_announcement, m_loop.Now());
      RunDueActions();
    }
  }

  boost::asio::awaitable<void> FetchFromPeer(FetchFromPeerAction aAction)
  {
    auto input = WriteChunkRequest(aAction.m_request);
    std::string method = kFetchMethod;
    auto host = aAction.m_from;
    auto const response =
      co_await Call(std::move(host), std::move(method), std::move(input), kFetchTimeout);
    auto chunks = response ? ReadChunks(*response) : Decoded<std::vector<operators::Chunk>>();
    if (!response || !chunks) {
      m_node.OnFetchFailed(aAction.m_from, m_loop.Now());
      co_return;
    }
    m_node.OnChunks(aAction.m_from, std::move(*chunks), m_loop.Now());
    RunDueActions();
  }

  boost::asio::awaitable<void> FetchFromPlatform(std::vector<operators::ChunkHash> aChunks)
  {
    std::vector<operators::Chunk> chunks;
    for (auto const& hash : aChunks) {
      auto name = hash;
      auto chunk = co_await m_documents.ReadChunk(std::move(name));
      if (!chunk) {
        break;
      }
      chunks.push_back(std::move(*chunk));
    }
    m_node.OnChunks(PlatformSource{}, std::move(chunks), m_loop.Now());
    RunDueActions();
  }

  /// Reads the manifest; the store's changes up to aAtLeast are known to be
  /// included.
  boost::asio::awaitable<void> ReadManifest(base::ObjectVersion aAtLeast)
  {
    auto const sent = m_loop.Now();
    auto environment = m_identity.m_environment;
    auto const manifest = co_await m_documents.ReadManifest(std::move(environment));
    if (!manifest || !*manifest) {
      m_node.OnPlatformFailure(m_loop.Now());
      co_return;
    }
    auto const& stored = **manifest;
    // NOTE: The watch also reports other environments whose names begin with this
    // one's. Continuing after their changes keeps the next watch from ending at
    // once.
    auto const seen = std::max(stored.m_objectVersion, aAtLeast);
    m_node.OnManifest(stored.m_manifest.Current(), seen, sent, m_loop.Now());
    RunDueActions();
  }

  boost::asio::awaitable<void> WatchManifest(WatchManifestAction aAction)
  {
    auto prefix = objectstore::ObjectName::FromValidated(m_identity.m_environment.Text());
    auto const sent = m_loop.Now();
    auto const changes =
      co_await m_store.Watch(objectstore::ObjectKind::Document, std::move(prefix), aAction.m_after,
                             aAction.m_timeout, objectstore::CallPurpose::Configuration);
    if (!changes) {
      bool const isCompacted = changes.error().m_kind == objectstore::ReadError::Kind::Compacted;
      if (isCompacted) {
        m_node.OnCompacted();
      } else {
        m_node.OnPlatformFailure(m_loop.Now());
      }
      co_return;
    }
    if (changes->m_changes.empty()) {
      m_node.OnWatchUnchanged(sent);
      co_return;
    }
    co_await ReadManifest(changes->m_version);
  }

  boost::asio::awaitable<std::optional<Tally>> CountRelay(base::HostId aRelay,
                                                          base::DocumentVersion aVersion)
  {
    if (aRelay == m_identity.m_self.m_host) {
      co_return m_node.Count(aVersion);
    }
    std::string method = kCountMethod;
    auto input = WriteCountRequest(aVersion);
    auto const response =
      co_await Call(std::move(aRelay), std::move(method), std::move(input), kCallTimeout);
    auto const tally = response ? ReadTally(*response) : Decoded<Tally>();
    if (!response || !tally) {
      co_return std::nullopt;
    }
    co_return *tally;
  }

  /// Adds a relay that does not respond and the entries that it counts.
  void AddUnresponsiveRelay(base::HostId const& aRelay, std::vector<base::HostId> const& aRelays,
                            base::FailureDomainId const& aDomain, Tally& aTotal) const
  {
    aTotal.AddProcess({ aRelay, {}, "does not answer" });
    for (auto const& entry : m_view.m_entries) {
      bool const isRelay = std::ranges::find(aRelays, entry.m_host) != aRelays.end();
      bool const isCounted = entry.m_failureDomain == aDomain && !isRelay &&
                             RankOf(aRelay, aRelays, entry.m_host.Text()) == 0;
      if (isCounted) {
        aTotal.AddProcess({ entry.m_host, {}, "its relay " + aRelay.Text() + " does not answer" });
      }
    }
  }

  base::EventLoop& m_loop;
  ProcessIdentity m_identity;
  Store& m_store;
  operators::DocumentStoreClient<Store> m_documents;
  base::RpcClient m_client;
  Applier& m_applier;
  ConfigurationNode m_node;
  FleetView m_view;
  Addresses m_addresses;
  bool m_isStopped = false;
};

} // namespace sardinefold::entry
