#include "Entry/Keys/KeysEndpoint.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinefold::entry {

namespace {

constexpr std::size_t kIndexSecretBytes = 16;
constexpr base::Duration kQueryInterval = std::chrono::milliseconds(500);
constexpr base::Duration kResponseTimeout = std::chrono::seconds(1);
/// Bounds the traffic per interval; peers relay the statements that they have
/// received.
constexpr std::size_t kQueriesPerRound = 8;

Json::Value Render(FreshnessStatement const& aStatement)
{
  Json::Value value;
  value["host"] = aStatement.m_host.Text();
  value["version"] = static_cast<Json::UInt64>(aStatement.m_version.Value());
  value["platform_age_ms"] =
    static_cast<Json::Int64>(base::ToMilliseconds(aStatement.m_platformAge));
  value["statement_age_ms"] =
    static_cast<Json::Int64>(base::ToMilliseconds(aStatement.m_statementAge));
  return value;
}

std::optional<FreshnessStatement> Read(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["host"].isString() || !aValue["version"].isUInt64() ||
      !aValue["platform_age_ms"].isInt64() || !aValue["statement_age_ms"].isInt64()) {
    return std::nullopt;
  }
  auto host = base::HostId::Create(aValue["host"].asString());
  if (!host) {
    return std::nullopt;
  }
  // Ages are rounded down when rendered; adding a millisecond keeps them
  // conservative.
  auto const age = [&](char const* aField) {
    return std::chrono::milliseconds(
      std::clamp<std::int64_t>(aValue[aField].asInt64(), 0, 86'400'000) + 1);
  };
  return FreshnessStatement{ std::move(*host), base::DocumentVersion(aValue["version"].asUInt64()),
                             age("platform_age_ms"), age("statement_age_ms") };
}

} // namespace

KeysEndpoint::KeysEndpoint(base::EventLoop& aLoop, base::HostId aSelf, base::RpcClient aRpc)
  : m_loop(aLoop)
  , m_self(aSelf)
  , m_rpc(aRpc)
  , m_ring(base::RandomHex(kIndexSecretBytes))
  , m_freshness(std::move(aSelf), {})
{
}

void KeysEndpoint::Register(base::RpcServer& aServer)
{
  aServer.Register(kTrustMethod,
                   [this](Json::Value const&) -> tl::expected<Json::Value, base::RpcError> {
                     return RenderStatements();
                   });
}

Json::Value KeysEndpoint::RenderStatements() const
{
  Json::Value response;
  response["statements"] = Json::Value(Json::arrayValue);
  for (auto const& statement : m_freshness.Statements(m_loop.Now())) {
    response["statements"].append(Render(statement));
  }
  return response;
}

void KeysEndpoint::SetDocument(operators::Document const& aDocument)
{
  std::vector<IssuedKey> keys;
  for (auto const& [id, key] : aDocument.m_keys) {
    keys.push_back({ id, key.m_workspace, key.m_hash });
  }
  if (m_ring.Replace(std::move(keys), aDocument.m_version)) {
    m_freshness.SetInForce(aDocument.m_version);
  }
}

void KeysEndpoint::SetEntries(std::map<base::HostId, base::Endpoint> aEntries)
{
  std::set<base::HostId> listed;
  for (auto const& [host, endpoint] : aEntries) {
    listed.insert(host);
  }
  m_entries = std::move(aEntries);
  m_freshness.SetListed(std::move(listed));
}

void KeysEndpoint::OnPlatformRead(base::DocumentVersion aVersion, base::Instant aAt)
{
  m_freshness.OnPlatformRead(aVersion, aAt);
}

boost::asio::awaitable<void> KeysEndpoint::Run()
{
  while (true) {
    auto const count = std::min(kQueriesPerRound, m_entries.size());
    for (std::size_t queried = 0; queried < count; ++queried) {
      auto const position = static_cast<std::ptrdiff_t>(m_next++ % m_entries.size());
      auto const& [host, endpoint] = *std::next(m_entries.begin(), position);
      if (host != m_self) {
        m_loop.Start(Query(host, endpoint));
      }
    }
    co_await m_loop.Sleep(kQueryInterval);
  }
}

boost::asio::awaitable<void> KeysEndpoint::Query(base::HostId aHost, base::Endpoint aEndpoint)
{
  auto const queriedAt = m_loop.Now();
  std::string method = kTrustMethod;
  Json::Value parameters(Json::objectValue);
  auto const response = co_await m_rpc.Call(std::move(aEndpoint), std::move(method),
                                            std::move(parameters), kResponseTimeout);
  if (!response) {
    if (response.error().m_isConnectionRefused) {
      m_freshness.OnConnectionRefused(aHost);
    }
    co_return;
  }
  for (auto const& value : (*response)["statements"]) {
    if (auto const statement = Read(value)) {
      m_freshness.OnStatement(*statement, queriedAt);
    }
  }
}

tl::expected<base::WorkspaceId, caller::KeyError> KeysEndpoint::Verify(std::string_view aSecret,
                                                                       base::Instant aNow) const
{
  auto const holder = m_ring.Check(aSecret);
  if (!holder) {
    return tl::make_unexpected(caller::KeyError::Invalid);
  }
  if (!AreVerifiable(aNow)) {
    return tl::make_unexpected(caller::KeyError::NotVerifiable);
  }
  return holder->m_workspace;
}

} // namespace sardinefold::entry
