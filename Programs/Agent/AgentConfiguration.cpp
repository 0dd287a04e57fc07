#include "Programs/Agent/AgentConfiguration.h"

#include "Programs/ProcessLimits.h"

namespace sardinefold::programs {

namespace {

using base::SettingKind;

template<typename Id>
tl::expected<Id, base::SettingsError> ReadId(base::Settings const& aSettings,
                                             std::string const& aFlag)
{
  auto id = Id::Create(aSettings.Text(aFlag));
  if (!id) {
    auto const variable = base::SettingsTable::VariableName(aFlag);
    return tl::make_unexpected(
      base::SettingsError{ "--" + aFlag + " (" + variable +
                           ") is not an identifier of 1 to 200 letters, digits or ._:/-" });
  }
  return std::move(*id);
}

} // namespace

base::SettingsTable AgentConfiguration::Table()
{
  std::vector<base::SettingSpec> specs = {
    { "listen", SettingKind::Address, "Where entries reach this agent", std::nullopt },
    { "upstream-address", SettingKind::Address, "The upstream beside it", std::nullopt },
    { "upstream-kind", SettingKind::Text, "engine or service", std::nullopt },
    { "upstream", SettingKind::Text, "Upstream's id in the operator's document", std::nullopt },
    { "host", SettingKind::Text, "Host's name in the platform's list", std::nullopt },
    { "failure-domain", SettingKind::Text, "Failure domain of the host", std::nullopt },
    { "platform", SettingKind::Addresses, "Addresses of the platform's object API", std::nullopt },
    { "fleet-secret", SettingKind::Secret, "Secret that the system's processes sign with",
      std::nullopt },
    { "fleet-entries", SettingKind::Count, "Entries that share the platform's rates", "4" },
    { "fleet-engine-agents", SettingKind::Count, "Agents of engines that share them", "20" },
    { "fleet-service-agents", SettingKind::Count, "Agents of services that share them", "4" },
    { "concurrency", SettingKind::Count, "Most requests that the upstream is given at once", "64" },
    { "maximum-waiting", SettingKind::Count, "Most requests that wait for the upstream", "1024" },
    { "drain-ms", SettingKind::Milliseconds, "Longest time for open requests at shutdown",
      "60000" },
    { "response-ms", SettingKind::Milliseconds,
      "Longest time from the start of a request to the end of its response", "600000" },
    { "log-level", SettingKind::Text, "debug, info, warning or error", "info" },
  };
  auto const limits = ProcessLimitSettings();
  specs.insert(specs.end() - 1, limits.begin(), limits.end());
  return base::SettingsTable(
    "sardinefold-agent", "Runs in the slot beside one upstream: the only writer to that upstream.",
    std::move(specs));
}

tl::expected<AgentConfiguration, base::SettingsError> AgentConfiguration::Create(
  base::Settings const& aSettings)
{
  AgentConfiguration configuration;
  configuration.m_listen = aSettings.Address("listen");
  configuration.m_upstreamAddress = aSettings.Address("upstream-address");
  auto const kind = aSettings.Text("upstream-kind");
  if (kind != "engine" && kind != "service") {
    return tl::make_unexpected(
      base::SettingsError{ "--upstream-kind (SARDINEFOLD_UPSTREAM_KIND): \"" + kind +
                           "\" is neither engine nor service" });
  }
  configuration.m_upstreamKind =
    kind == "engine" ? operators::UpstreamKind::Engine : operators::UpstreamKind::Service;
  auto upstream = ReadId<base::UpstreamId>(aSettings, "upstream");
  auto host = ReadId<base::HostId>(aSettings, "host");
  auto failureDomain = ReadId<base::FailureDomainId>(aSettings, "failure-domain");
  if (!upstream || !host || !failureDomain) {
    auto const& error = !upstream ? upstream.error() : !host ? host.error() : failureDomain.error();
    return tl::make_unexpected(error);
  }
  if (aSettings.Count("concurrency") < 1) {
    return tl::make_unexpected(
      base::SettingsError{ "--concurrency (SARDINEFOLD_CONCURRENCY): must be at least 1" });
  }
  configuration.m_upstream = std::move(*upstream);
  configuration.m_host = std::move(*host);
  configuration.m_failureDomain = std::move(*failureDomain);
  configuration.m_platform = aSettings.Addresses("platform");
  if (configuration.m_platform.empty()) {
    return tl::make_unexpected(
      base::SettingsError{ "--platform (SARDINEFOLD_PLATFORM): names no address" });
  }
  auto const count = [&](char const* aFlag) {
    return static_cast<std::uint32_t>(aSettings.Count(aFlag));
  };
  configuration.m_fleetSize = { count("fleet-entries"), count("fleet-engine-agents"),
                                count("fleet-service-agents") };
  configuration.m_fleetSecret = aSettings.Text("fleet-secret");
  configuration.m_concurrency = static_cast<std::size_t>(aSettings.Count("concurrency"));
  configuration.m_maximumWaiting = static_cast<std::size_t>(aSettings.Count("maximum-waiting"));
  configuration.m_budget = ReadBudget(aSettings);
  configuration.m_memoryLimit = ReadMemoryLimit(aSettings);
  configuration.m_drainTimeout = aSettings.Milliseconds("drain-ms");
  configuration.m_responseTimeout = aSettings.Milliseconds("response-ms");
  return configuration;
}

} // namespace sardinefold::programs
