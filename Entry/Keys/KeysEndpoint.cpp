#include "Entry/Keys/KeysEndpoint.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinefold::entry {

namespace {

constexpr std::size_t kIndexSecretBytes = 16;
constexpr base::Duration kRound = std::chrono::milliseconds(500);
constexpr base::Duration kAnswerLimit = std::chrono::seconds(1);
/// Bounds the traffic of a round; peers pass on what they have heard.
constexpr std::size_t kAskedInRound = 8;

Json::Value Render(NewsStatement const& aStatement)
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

std::optional<NewsStatement> Read(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["host"].isString() || !aValue["version"].isUInt64() ||
      !aValue["platform_age_ms"].isInt64() || !aValue["statement_age_ms"].isInt64()) {
    return std::nullopt;
  }
  auto host = base::HostId::Create(aValue["host"].asString());
  if (!host) {
    return std::nullopt;
  }
  // Rendered ages are rounded down; a millisecond more keeps them conservative.
  auto const age = [&](char const* aField) {
    return std::chrono::milliseconds(
      std::clamp<std::int64_t>(aValue[aField].asInt64(), 0, 86'400'000) + 1);
  };
  return NewsStatement{ std::move(*host), base::DocumentVersion(aValue["version"].asUInt64()),
                        age("platform_age_ms"), age("statement_age_ms") };
}

} // namespace

KeysEndpoint::KeysEndpoint(base::EventLoop& aLoop, base::HostId aSelf, base::RpcClient aRpc)
  : m_loop(aLoop)
  , m_self(aSelf)
  , m_rpc(aRpc)
  , m_ring(base::RandomHex(kIndexSecretBytes))
  , m_trust(std::move(aSelf), {})
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
  Json::Value answer;
  answer["statements"] = Json::Value(Json::arrayValue);
  for (auto const& statement : m_trust.Statements(m_loop.Now())) {
    answer["statements"].append(Render(statement));
  }
  return answer;
}

void KeysEndpoint::SetDocument(operators::Document const& aDocument)
{
  std::vector<IssuedKey> keys;
  for (auto const& [id, key] : aDocument.m_keys) {
    keys.push_back({ id, key.m_workspace, key.m_hash });
  }
  if (m_ring.Replace(std::move(keys), aDocument.m_version)) {
    m_trust.SetInForce(aDocument.m_version);
  }
}

void KeysEndpoint::SetEntries(std::map<base::HostId, base::Endpoint> aEntries)
{
  std::set<base::HostId> listed;
  for (auto const& [host, endpoint] : aEntries) {
    listed.insert(host);
  }
  m_entries = std::move(aEntries);
  m_trust.SetListed(std::move(listed));
}

void KeysEndpoint::HeardPlatform(base::DocumentVersion aVersion, base::Instant aAt)
{
  m_trust.HeardPlatform(aVersion, aAt);
}

boost::asio::awaitable<void> KeysEndpoint::Run()
{
  while (true) {
    auto const count = std::min(kAskedInRound, m_entries.size());
    for (std::size_t asked = 0; asked < count; ++asked) {
      auto const position = static_cast<std::ptrdiff_t>(m_next++ % m_entries.size());
      auto const& [host, endpoint] = *std::next(m_entries.begin(), position);
      if (host != m_self) {
        m_loop.Start(Ask(host, endpoint));
      }
    }
    co_await m_loop.Sleep(kRound);
  }
}

boost::asio::awaitable<void> KeysEndpoint::Ask(base::HostId aHost, base::Endpoint aEndpoint)
{
  auto const askedAt = m_loop.Now();
  std::string method = kTrustMethod;
  Json::Value parameters(Json::objectValue);
  auto const answer = co_await m_rpc.Call(std::move(aEndpoint), std::move(method),
                                          std::move(parameters), kAnswerLimit);
  if (!answer) {
    if (answer.error().m_isConnectionRefused) {
      m_trust.ConfirmGone(aHost);
    }
    co_return;
  }
  for (auto const& value : (*answer)["statements"]) {
    if (auto const statement = Read(value)) {
      m_trust.Heard(*statement, askedAt);
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
