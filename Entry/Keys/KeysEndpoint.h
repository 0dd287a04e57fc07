#pragma once

#include "Base/Digest.h"
#include "Base/EventLoop.h"
#include "Base/Rpc/RpcClient.h"
#include "Base/Rpc/RpcServer.h"
#include "Caller/Admission.h"
#include "Entry/Keys/FreshnessTracker.h"
#include "Entry/Keys/KeyRing.h"
#include "Operator/Document.h"

#include <map>
#include <string_view>
#include <vector>

namespace sardinefold::entry {

/// Method by which entries query one another's statements: {} returns
/// {statements: [{host, version, platform_age_ms, statement_age_ms}]}.
inline constexpr char kTrustMethod[] = "news.trust";

/// The keys in force in this process and whether they may be honoured now.
class KeysEndpoint
{
public:
  KeysEndpoint(base::EventLoop& aLoop, base::HostId aSelf, base::RpcClient aRpc);

  void Register(base::RpcServer& aServer);

  /// Puts a document's keys in force.
  void SetDocument(operators::Document const& aDocument);
  /// Replaces the listed entries and their addresses.
  void SetEntries(std::map<base::HostId, base::Endpoint> aEntries);
  /// Records that the platform confirmed this version as the newest at the given
  /// time.
  void OnPlatformRead(base::DocumentVersion aVersion, base::Instant aAt);

  /// Queries the other entries for as long as the program runs.
  boost::asio::awaitable<void> Run();

  /// Whether keys may be honoured now.
  bool AreVerifiable(base::Instant aNow) const { return IsTrusted(m_freshness.Verdict(aNow)); }

  /// Implements caller::KeyVerifier for the callers' endpoint.
  tl::expected<base::WorkspaceId, caller::KeyError> Verify(std::string_view aSecret,
                                                           base::Instant aNow) const;

private:
  Json::Value RenderStatements() const;
  boost::asio::awaitable<void> Query(base::HostId aHost, base::Endpoint aEndpoint);

  base::EventLoop& m_loop;
  base::HostId m_self;
  base::RpcClient m_rpc;
  KeyRing m_ring;
  FreshnessTracker m_freshness;
  std::map<base::HostId, base::Endpoint> m_entries;
  std::size_t m_next = 0;
};

} // namespace sardinefold::entry
