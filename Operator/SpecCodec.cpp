#include "Operator/SpecCodec.h"

#include <array>

namespace sardinefold::operators {

namespace {

/// 16 TiB, more than any host's accelerators have.
constexpr IntegerRange kMemoryRange{ 1, std::int64_t(1) << 44 };
constexpr IntegerRange kOptionalMemoryRange{ 0, std::int64_t(1) << 44 };
constexpr IntegerRange kContextRange{ 1, 16'777'216 };
constexpr IntegerRange kBurstRange{ 1, 1'000'000'000'000 };
constexpr IntegerRange kReplicaRange{ 0, 100'000 };
constexpr IntegerRange kConcurrencyRange{ 1, 100'000 };
/// From 1 ms to a day.
constexpr IntegerRange kDeadlineRange{ 1, 86'400'000 };
constexpr double kMaximumTokensPerSecond = 1e9;
constexpr std::array<std::string_view, 3> kClasses{ "interactive", "standard", "batch" };
constexpr std::array<std::string_view, 2> kKinds{ "engine", "service" };

base::Bytes ReadBytes(ObjectReader& aReader, std::string const& aName)
{
  return base::Bytes(aReader.ReadInteger(aName, kMemoryRange));
}

unsigned ReadCount(ObjectReader& aReader, std::string const& aName, IntegerRange aRange,
                   std::int64_t aDefault)
{
  return static_cast<unsigned>(aReader.ReadInteger(aName, aRange, aDefault));
}

Json::Value ToJson(base::Bytes aBytes)
{
  return { static_cast<Json::Int64>(aBytes.Value()) };
}

Json::Value ToJson(base::Tokens aTokens)
{
  return { static_cast<Json::Int64>(aTokens.Value()) };
}

std::string ToJson(std::string_view aText)
{
  return std::string(aText);
}

} // namespace

template<>
ModelSpec ReadSpec<ModelSpec>(ObjectReader& aReader)
{
  ModelSpec spec;
  spec.m_deployment = aReader.ReadId<base::DeploymentId>("deployment");
  spec.m_weights = ReadBytes(aReader, "weights_bytes");
  spec.m_cache = ReadBytes(aReader, "cache_bytes");
  spec.m_contextTokens = base::Tokens(aReader.ReadInteger("context_tokens", kContextRange));
  spec.m_minimumReplicas = ReadCount(aReader, "minimum_replicas", kReplicaRange, 0);
  spec.m_maximumReplicas = ReadCount(aReader, "maximum_replicas", kReplicaRange, 1);
  return spec;
}

template<>
AdapterSpec ReadSpec<AdapterSpec>(ObjectReader& aReader)
{
  AdapterSpec spec;
  spec.m_model = aReader.ReadId<base::ModelId>("model");
  spec.m_weights = ReadBytes(aReader, "weights_bytes");
  return spec;
}

template<>
WorkspaceSpec ReadSpec<WorkspaceSpec>(ObjectReader& aReader)
{
  WorkspaceSpec spec;
  spec.m_rate =
    base::TokensPerSecond(aReader.ReadPositiveNumber("tokens_per_second", kMaximumTokensPerSecond));
  spec.m_burst = base::Tokens(aReader.ReadInteger("burst_tokens", kBurstRange));
  return spec;
}

template<>
KeySpec ReadSpec<KeySpec>(ObjectReader& aReader)
{
  KeySpec spec;
  spec.m_workspace = aReader.ReadId<base::WorkspaceId>("workspace");
  spec.m_hash = aReader.ReadSha256("sha256");
  return spec;
}

template<>
UpstreamSpec ReadSpec<UpstreamSpec>(ObjectReader& aReader)
{
  UpstreamSpec spec;
  spec.m_deployment = aReader.ReadId<base::DeploymentId>("deployment");
  spec.m_host = aReader.ReadId<base::HostId>("host");
  auto const kind = aReader.ReadChoice("kind", kKinds);
  spec.m_kind = static_cast<UpstreamKind>(kind);
  spec.m_memory = base::Bytes(aReader.ReadInteger("memory_bytes", kOptionalMemoryRange, 0));
  spec.m_concurrency = ReadCount(aReader, "concurrency", kConcurrencyRange, 1);
  spec.m_checksFencing = aReader.ReadFlag("checks_fencing", false);
  return spec;
}

template<>
RouteSpec ReadSpec<RouteSpec>(ObjectReader& aReader)
{
  RouteSpec spec;
  spec.m_pathPrefix = aReader.ReadText("path_prefix").value_or("");
  spec.m_deployment = aReader.ReadId<base::DeploymentId>("deployment");
  spec.m_isOpen = aReader.ReadFlag("open", false);
  spec.m_isRepeatable = aReader.ReadFlag("repeatable", true);
  auto const standard = static_cast<std::size_t>(RequestClass::Standard);
  spec.m_class = static_cast<RequestClass>(aReader.ReadChoice("class", kClasses, standard));
  spec.m_deadline = std::chrono::milliseconds(aReader.ReadInteger("deadline_ms", kDeadlineRange));
  return spec;
}

Json::Value WriteSpec(ModelSpec const& aSpec)
{
  Json::Value value;
  value["deployment"] = aSpec.m_deployment.Text();
  value["weights_bytes"] = ToJson(aSpec.m_weights);
  value["cache_bytes"] = ToJson(aSpec.m_cache);
  value["context_tokens"] = ToJson(aSpec.m_contextTokens);
  value["minimum_replicas"] = aSpec.m_minimumReplicas;
  value["maximum_replicas"] = aSpec.m_maximumReplicas;
  return value;
}

Json::Value WriteSpec(AdapterSpec const& aSpec)
{
  Json::Value value;
  value["model"] = aSpec.m_model.Text();
  value["weights_bytes"] = ToJson(aSpec.m_weights);
  return value;
}

Json::Value WriteSpec(WorkspaceSpec const& aSpec)
{
  Json::Value value;
  value["tokens_per_second"] = aSpec.m_rate.Value();
  value["burst_tokens"] = ToJson(aSpec.m_burst);
  return value;
}

Json::Value WriteSpec(KeySpec const& aSpec)
{
  Json::Value value;
  value["workspace"] = aSpec.m_workspace.Text();
  value["sha256"] = base::ToHex(aSpec.m_hash);
  return value;
}

Json::Value WriteSpec(UpstreamSpec const& aSpec)
{
  Json::Value value;
  value["deployment"] = aSpec.m_deployment.Text();
  value["host"] = aSpec.m_host.Text();
  value["kind"] = ToJson(ToText(aSpec.m_kind));
  value["memory_bytes"] = ToJson(aSpec.m_memory);
  value["concurrency"] = aSpec.m_concurrency;
  value["checks_fencing"] = aSpec.m_checksFencing;
  return value;
}

Json::Value WriteSpec(RouteSpec const& aSpec)
{
  Json::Value value;
  value["path_prefix"] = aSpec.m_pathPrefix;
  value["deployment"] = aSpec.m_deployment.Text();
  value["open"] = aSpec.m_isOpen;
  value["repeatable"] = aSpec.m_isRepeatable;
  value["class"] = ToJson(ToText(aSpec.m_class));
  value["deadline_ms"] = static_cast<Json::Int64>(base::ToMilliseconds(aSpec.m_deadline));
  return value;
}

} // namespace sardinefold::operators
