#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Http/HttpServer.h"
#include "StandIns/Common/FaultInjector.h"
#include "StandIns/Site/SiteStore.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::standins {

struct SiteEngineSettings
{
  std::string m_instance;
  std::string m_deployment;
  std::string m_failureDomain = "a";
  /// Version of the engine's software.
  std::string m_version = "v1";
  base::Endpoint m_address;
  /// Port in the server list, if it differs from the engine's own because
  /// callers connect through a proxy.
  std::optional<std::uint16_t> m_listedPort;
  unsigned m_slots = 8;
  /// False for services without models, which respond at once.
  bool m_hasModels = true;
  std::set<std::string> m_models;
  /// Number of models that fit in memory together.
  std::size_t m_capacity = 2;
  base::Duration m_loadTime = std::chrono::milliseconds(150);
  base::Duration m_eventTime = std::chrono::milliseconds(10);
  std::uint64_t m_events = 8;
  std::int64_t m_startedAt = 1;
};

/// One execution of a request by an engine.
struct SiteRun
{
  std::string m_request;
  std::string m_workspace;
  bool m_hadKey = false;
  base::Instant m_at{};
  /// Whether a fault of the engine ended the stream before its last event.
  bool m_wasBrokenOff = false;
};

/// Stand-in of a model engine, or of a service without models, on the users'
/// platform: status reports, orders, resumable streams of numbered events, and
/// its entry in the store.
class SiteEngine
{
public:
  SiteEngine(base::EventLoop& aLoop, SiteStore& aStore, SiteEngineSettings aSettings);

  tl::expected<void, std::string> Start();
  std::vector<SiteRun> const& Runs() const { return m_runs; }
  /// When requests arrived, refused ones included.
  std::vector<base::Instant> const& Arrivals() const { return m_arrivals; }
  /// When the engine's report was read.
  std::vector<base::Instant> const& ReportReads() const { return m_reportReads; }
  std::set<std::string> const& Holders() const { return m_holders; }
  /// Whether an order ever loaded a model beyond the engine's capacity.
  bool HasExceededCapacity() const { return m_hasExceededCapacity; }
  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  /// Number of requests being executed.
  unsigned Running() const { return m_running; }

private:
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeRuns(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeOrder(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> RunRequest(base::HttpExchange& aExchange);
  /// Records in the run of the given number whether a fault ends the stream.
  boost::asio::awaitable<void> Stream(base::HttpExchange& aExchange, base::HttpHeaders aHeaders,
                                      std::size_t aRun);
  /// Sends a response with the engine's announcements.
  boost::asio::awaitable<void> Respond(base::HttpExchange& aExchange, base::HttpResponse aResponse);
  void AddNotices(unsigned aStatus, base::HttpHeaders& aHeaders) const;
  boost::asio::awaitable<void> Load(std::string aModel);
  boost::asio::awaitable<void> Heartbeat();
  base::HttpResponse Reject(base::HttpRequest const& aRequest, unsigned aStatus) const;
  std::optional<unsigned> RejectionStatus(base::HttpRequest const& aRequest) const;
  bool HasCrashingPart(base::HttpRequest const& aRequest) const;
  void Restart();
  /// Restarts under another instance, while the entry of the former one lingers.
  void Replace();
  void RemoveLapsedEntries();
  Json::Value Describe() const;
  Json::Value Models() const;

  base::EventLoop& m_loop;
  SiteStore& m_store;
  SiteEngineSettings m_settings;
  FaultInjector m_faultInjector;
  base::HttpServer m_server;
  std::map<std::string, std::set<std::string>> m_models;
  std::set<std::string> m_weightsOnDisk;
  bool m_isBusy = false;
  bool m_hasExceededCapacity = false;
  bool m_isDraining = false;
  /// Faults: the engine has no entry in the list, or one that cannot be decoded.
  bool m_isUnlisted = false;
  bool m_hasInvalidEntry = false;
  /// Entries of former instances, with the heartbeats until they lapse.
  std::map<std::string, unsigned> m_lingeringEntries;
  /// Value of the header that announces leaving in every response; none if empty.
  std::string m_leavingHeader;
  /// Value of the header with which refusals ask for no requests; none if empty.
  std::string m_retryAfterHeader;
  /// Value of the header that names a request limit in every response; none if empty.
  std::string m_requestLimitHeader;
  std::uint64_t m_reportsToRefuse = 0;
  std::vector<base::Instant> m_arrivals;
  std::vector<base::Instant> m_reportReads;
  std::uint64_t m_orderSequence = 0;
  unsigned m_running = 0;
  /// Streams and loads that began before the latest restart end silently.
  unsigned m_restarts = 0;
  std::vector<SiteRun> m_runs;
  std::set<std::string> m_holders;
  /// Faults: this many of the next streams are interrupted inside an event,
  /// after m_eventsBeforeInterruption + 1 complete ones.
  std::uint64_t m_streamsToInterrupt = 0;
  std::uint64_t m_eventsBeforeInterruption = 3;
  std::uint64_t m_requestsToReject = 0;
  /// This many of the next resumed streams get status 500.
  std::uint64_t m_resumesToFail = 0;
  /// This many of the next requests are executed and then get status 503
  /// without the headers of a rejection.
  std::uint64_t m_runsToRefuse = 0;
  std::uint64_t m_orderResponsesToLose = 0;
  /// Responses to this many of the next requests end inside their body.
  std::uint64_t m_responsesToTruncate = 0;
  /// This many of the next streams end before their first event: with their
  /// connection, or properly.
  std::uint64_t m_streamsToCut = 0;
  std::uint64_t m_streamsToEmpty = 0;
  /// Appended to the data of each event.
  std::uint64_t m_paddingBytes = 0;
  /// A request with this part of a prompt crashes the engine before its first event;
  /// zero for none.
  std::uint64_t m_crashingPart = 0;
  /// A request with this target crashes the service without models, which is replaced;
  /// none if empty.
  std::string m_crashingTarget;
};

} // namespace sardinefold::standins
