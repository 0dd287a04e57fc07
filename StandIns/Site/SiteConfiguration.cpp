#include "StandIns/Site/SiteConfiguration.h"

#include "Base/Json.h"

namespace sardinefold::standins {

Json::Value SiteConfiguration(std::uint64_t aVersion)
{
  auto parsed = base::ParseJson(R"({
    "routes": [
      {"name": "chat", "host": "site.example", "pathPrefix": "/chat/", "kind": "streaming",
       "timeoutMs": 5000, "goalMs": 600, "priority": 0, "service": "llm", "maxAttempts": 2,
       "resumable": true, "gapTargetMs": 300},
      {"name": "once", "host": "site.example", "pathPrefix": "/once/", "kind": "streaming",
       "timeoutMs": 5000, "goalMs": 3000, "priority": 1, "service": "llm", "maxAttempts": 1,
       "gapTargetMs": 300},
      {"name": "order", "host": "site.example", "pathPrefix": "/order/", "kind": "unsafe",
       "timeoutMs": 1500, "goalMs": 150, "service": "desk", "maxAttempts": 1},
      {"name": "look", "host": "site.example", "pathPrefix": "/look/", "kind": "safe",
       "timeoutMs": 1500, "goalMs": 150, "service": "desk", "maxAttempts": 2}],
    "services": [
      {"name": "llm", "healthPath": "/health", "maxConns": 100,
       "engine": {"slots": 8, "kvCapacity": 1000, "weightsMb": 200, "adapterSlots": 4, "models": [
         {"name": "common", "weightsMb": 90, "loadS": 1.0, "adapterMb": 1},
         {"name": "own1", "weightsMb": 90, "loadS": 1.0, "adapterMb": 1},
         {"name": "own2", "weightsMb": 90, "loadS": 1.0, "adapterMb": 1},
         {"name": "rare", "weightsMb": 90, "loadS": 1.0, "adapterMb": 1}]}},
      {"name": "desk", "healthPath": "/health"}],
    "tenants": [
      {"name": "marshals", "apiKeys": ["key-1"], "unit": "token_stream", "plainTokens": 10,
       "ratePerS": 1000000, "burst": 1000000},
      {"name": "guests", "apiKeys": ["key-2"], "unit": "token_stream", "plainTokens": 10,
       "ratePerS": 10, "burst": 40}],
    "limits": {"headerBytes": 4096, "bodyBytes": 20000, "headerTimeoutMs": 1000,
               "idleTimeoutMs": 5000}})");
  auto configuration = parsed.value();
  configuration["version"] = Json::UInt64(aVersion);
  return configuration;
}

} // namespace sardinefold::standins
