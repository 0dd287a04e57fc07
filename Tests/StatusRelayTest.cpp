#define BOOST_TEST_MODULE StatusRelay
#include "Engine/UpstreamDirectory.h"
#include "Programs/Gateway/DomainExchange.h"
#include "Programs/Loader/GatewayRegistry.h"
#include "Programs/Loader/StatusSender.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <queue>
#include <random>

/// Runs the decisions of a fleet's gateways and loaders over a network that loses,
/// delays and reorders messages. A gateway that has no status of an engine for too long
/// routes by the platform's list, and one that takes an older status for the latest
/// sends requests to engines that no longer hold the model.

using namespace sardinefold;
using namespace sardinefold::programs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
constexpr base::Duration kTick = milliseconds(100);
constexpr unsigned kDomains = 3;
constexpr unsigned kGatewaysPerDomain = 6;
constexpr unsigned kLoadersPerDomain = 10;
constexpr std::uint16_t kPort = 7600;
constexpr std::uint16_t kEnginePort = 80;
/// Age from which a directory no longer uses a status.
constexpr base::Duration kMaximumStatusAge = engine::DirectoryLimits().m_maximumStatusAge;
auto const kDeployment = base::DeploymentId::FromValidated("assistant");

class Fleet;

/// The network as one process sees it.
class Port
{
public:
  Port(Fleet& aFleet, base::Endpoint aSelf)
    : m_fleet(&aFleet)
    , m_self(std::move(aSelf))
  {
  }

  void Send(base::Endpoint const& aReceiver, agent::FleetMessage const& aMessage);
  void SendToEach(std::vector<base::Endpoint> const& aReceivers,
                  agent::FleetMessage const& aMessage)
  {
    for (auto const& receiver : aReceivers) {
      Send(receiver, aMessage);
    }
  }
  void Multicast(base::FailureDomainId const& /*aLocal*/,
                 std::vector<agent::MulticastReceiver> const& aReceivers,
                 agent::FleetMessage const& aMessage)
  {
    for (auto const& receiver : aReceivers) {
      Send(receiver.m_endpoint, aMessage);
    }
  }

  base::Endpoint const& Self() const { return m_self; }
  unsigned Sent() const { return m_sent; }

private:
  Fleet* m_fleet;
  base::Endpoint m_self;
  unsigned m_sent = 0;
};

struct Gateway
{
  Gateway(Fleet& aFleet, base::HostId aHost, base::Endpoint const& aSelf,
          base::FailureDomainId aDomain)
    : m_host(std::move(aHost))
    , m_domain(std::move(aDomain))
    , m_port(aFleet, aSelf)
    , m_exchange(m_port, m_domain, aSelf)
    , m_directory({}, m_domain, 1)
  {
  }

  agent::GatewayPresence Presence() const
  {
    agent::GatewayPresence presence;
    presence.m_host = m_host;
    presence.m_failureDomain = m_domain;
    return presence;
  }

  base::HostId m_host;
  base::FailureDomainId m_domain;
  Port m_port;
  DomainExchange<Port> m_exchange;
  engine::UpstreamDirectory m_directory;
  std::map<base::HostId, agent::DomainPresence::Gateway> m_members;
  base::Instant m_frozenUntil{};
  bool m_wasSending = false;
};

struct Loader
{
  Loader(Fleet& aFleet, base::HostId aHost, base::Endpoint const& aSelf,
         base::FailureDomainId aDomain)
    : m_host(std::move(aHost))
    , m_domain(std::move(aDomain))
    , m_port(aFleet, aSelf)
    , m_sender(m_port, m_domain, base::IncarnationId::FromValidated("run"))
  {
  }

  agent::EngineStatus Status() const
  {
    agent::EngineStatus status;
    status.m_host = m_host;
    status.m_engine = { m_port.Self().m_address, kEnginePort };
    status.m_deployment = kDeployment;
    status.m_failureDomain = m_domain;
    status.m_models = { { base::ModelId::FromValidated("m" + std::to_string(m_model)), {} } };
    return status;
  }

  base::HostId m_host;
  base::FailureDomainId m_domain;
  Port m_port;
  GatewayRegistry m_registry;
  StatusSender<Port> m_sender;
  unsigned m_model = 0;
};

class Fleet
{
public:
  explicit Fleet(unsigned aSeed)
    : m_random(aSeed)
  {
    for (unsigned domain = 0; domain < kDomains; ++domain) {
      auto const id = base::FailureDomainId::FromValidated("d" + std::to_string(domain));
      auto const address = [domain](unsigned aNumber) {
        return "10." + std::to_string(domain) + ".0." + std::to_string(aNumber);
      };
      for (unsigned number = 0; number < kGatewaysPerDomain; ++number) {
        auto host = base::HostId::FromValidated("front-" + address(number));
        m_gateways.push_back(std::make_unique<Gateway>(
          *this, std::move(host), base::Endpoint{ address(number), kPort }, id));
      }
      for (unsigned number = 0; number < kLoadersPerDomain; ++number) {
        auto host = base::HostId::FromValidated("side-" + address(100 + number));
        m_loaders.push_back(std::make_unique<Loader>(
          *this, std::move(host), base::Endpoint{ address(100 + number), kPort }, id));
      }
    }
    for (auto const& gateway : m_gateways) {
      for (auto const& loader : m_loaders) {
        engine::UpstreamEntry entry;
        entry.m_instance = engine::InstanceId::FromValidated(loader->m_host.Text());
        entry.m_deployment = kDeployment;
        entry.m_endpoint = { loader->m_port.Self().m_address, kEnginePort };
        entry.m_failureDomain = loader->m_domain;
        gateway->m_directory.OnListed(entry, kStart);
      }
    }
  }

  void Deliver(base::Endpoint const& aSender, base::Endpoint const& aReceiver,
               agent::FleetMessage const& aMessage)
  {
    if (std::bernoulli_distribution(m_loss)(m_random)) {
      return;
    }
    auto const delay = milliseconds(std::uniform_int_distribution<>(1, m_maximumDelay)(m_random));
    m_queue.emplace(m_now + delay, Datagram{ aSender, aReceiver, aMessage });
  }

  /// Runs for some time. Each engine changes its models aChangesPerSecond times.
  void Run(base::Duration aTime, double aChangesPerSecond)
  {
    auto const end = m_now + aTime;
    while (m_now < end) {
      m_now += kTick;
      while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
        auto const datagram = std::move(m_queue.extract(m_queue.begin()).mapped());
        Receive(datagram);
      }
      if (++m_ticks % 5 == 0) {
        NameAggregators();
      }
      double const probability = aChangesPerSecond * base::ToSeconds(kTick);
      for (auto& loader : m_loaders) {
        loader->m_model += std::bernoulli_distribution(probability)(m_random) ? 1 : 0;
        TickLoader(*loader);
      }
      for (auto& gateway : m_gateways) {
        if (gateway->m_frozenUntil <= m_now) {
          TickGateway(*gateway);
        }
      }
      RecordAges();
    }
  }

  /// Stops a gateway; its messages wait for it.
  void Freeze(std::size_t aGateway, base::Duration aTime)
  {
    m_gateways.at(aGateway)->m_frozenUntil = m_now + aTime;
  }

  /// Returns the number of gateways and engines for which the gateway doesn't know what
  /// the engine holds now.
  unsigned CountWrong()
  {
    unsigned wrong = 0;
    for (auto& gateway : m_gateways) {
      for (auto const& loader : m_loaders) {
        wrong += FindAt(*gateway, *loader, loader->m_model) ? 0 : 1;
      }
    }
    return wrong;
  }

  unsigned SentByLoaders() const
  {
    unsigned sent = 0;
    for (auto const& loader : m_loaders) {
      sent += loader->m_port.Sent();
    }
    return sent;
  }

  Gateway& At(std::size_t aGateway) { return *m_gateways.at(aGateway); }
  base::Instant Now() const { return m_now; }
  void SetLoss(double aLoss) { m_loss = aLoss; }
  /// The oldest status of any engine at any gateway that ran, since the last call.
  base::Duration TakeOldest() { return std::exchange(m_oldest, {}); }

private:
  struct Datagram
  {
    base::Endpoint m_sender;
    base::Endpoint m_receiver;
    agent::FleetMessage m_message;
  };

  std::optional<engine::UpstreamChoice> FindAt(Gateway& aGateway, Loader const& aLoader,
                                               unsigned aModel)
  {
    engine::UpstreamQuery query;
    query.m_deployment = kDeployment;
    query.m_model = base::ModelId::FromValidated("m" + std::to_string(aModel));
    for (auto const& other : m_loaders) {
      if (other.get() != &aLoader) {
        query.m_excluded.insert(engine::InstanceId::FromValidated(other->m_host.Text()));
      }
    }
    auto const found = aGateway.m_directory.Find(query, m_now);
    auto const* const choice = std::get_if<engine::UpstreamChoice>(&found);
    return choice ? std::optional(*choice) : std::nullopt;
  }

  void RecordAges()
  {
    for (auto& gateway : m_gateways) {
      // A gateway that was frozen needs the next messages.
      if (gateway->m_frozenUntil + seconds(1) > m_now) {
        continue;
      }
      for (auto const& loader : m_loaders) {
        engine::UpstreamQuery query;
        query.m_deployment = kDeployment;
        for (auto const& other : m_loaders) {
          if (other != loader) {
            query.m_excluded.insert(engine::InstanceId::FromValidated(other->m_host.Text()));
          }
        }
        auto const found = gateway->m_directory.Find(query, m_now);
        auto const age = std::get<engine::UpstreamChoice>(found).m_loadEstimate.m_loaderStatusAge;
        m_oldest = std::max(m_oldest, age.value_or(seconds(60)));
      }
    }
  }

  /// What the planner does: names those that run. A gateway that stops is missed after
  /// the time in which it should have reported.
  void NameAggregators()
  {
    constexpr base::Duration kReportTimeout = milliseconds(700);
    std::vector<agent::AggregatorCandidate> candidates;
    for (auto const& gateway : m_gateways) {
      bool const isFrozen = gateway->m_frozenUntil > m_now;
      auto& since = m_silentSince[gateway->m_host];
      since = isFrozen ? std::min(since, m_now) : base::Instant::max();
      if (!isFrozen || m_now - since < kReportTimeout) {
        candidates.push_back({ gateway->m_host, gateway->m_port.Self(), gateway->m_domain, 0.5 });
      }
    }
    auto const aggregators = agent::ChooseAggregators(candidates);
    for (auto const& gateway : m_gateways) {
      if (gateway->m_frozenUntil > m_now || std::bernoulli_distribution(m_loss)(m_random)) {
        continue;
      }
      std::map<base::HostId, base::Endpoint> neighbours;
      for (auto const& candidate : candidates) {
        if (candidate.m_failureDomain == gateway->m_domain) {
          neighbours.emplace(candidate.m_host, candidate.m_endpoint);
        }
      }
      gateway->m_exchange.OnNamed(neighbours, aggregators, m_now);
    }
  }

  void TickLoader(Loader& aLoader)
  {
    constexpr unsigned kTicksPerHeartbeat = 8;
    aLoader.m_registry.Expire(m_now);
    aLoader.m_sender.Send(aLoader.m_registry.Receivers(aLoader.m_domain, m_now), aLoader.Status(),
                          m_ticks % kTicksPerHeartbeat == 0);
  }

  void TickGateway(Gateway& aGateway)
  {
    constexpr unsigned kTicksPerPresence = 10;
    auto& exchange = aGateway.m_exchange;
    exchange.Tick(m_now);
    bool const isSending = exchange.IsSending(m_now);
    bool const wasSending = std::exchange(aGateway.m_wasSending, isSending);
    bool const isNewSender = isSending && !wasSending;
    if (m_ticks % kTicksPerPresence != 0 && !isNewSender) {
      return;
    }
    bool const isAlone = exchange.Duty(m_now) == agent::DomainDuty::Alone;
    if (!isAlone) {
      aGateway.m_members[aGateway.m_host] = { aGateway.m_port.Self(), aGateway.Presence() };
      aGateway.m_port.SendToEach(exchange.Aggregators(), aGateway.Presence());
    }
    if (!isAlone && !isSending) {
      return;
    }
    agent::DomainPresence presence{ aGateway.m_domain, {}, exchange.Aggregators(), {} };
    for (auto const& [host, member] : aGateway.m_members) {
      presence.m_gateways.push_back(member);
    }
    for (auto const& loader : m_loaders) {
      aGateway.m_port.Send(loader->m_port.Self(), isAlone ? agent::FleetMessage(aGateway.Presence())
                                                          : agent::FleetMessage(presence));
    }
  }

  void Receive(Datagram const& aDatagram)
  {
    for (auto& gateway : m_gateways) {
      if (gateway->m_port.Self() != aDatagram.m_receiver) {
        continue;
      }
      if (gateway->m_frozenUntil > m_now) {
        m_queue.emplace(gateway->m_frozenUntil, aDatagram);
      } else {
        ReceiveAt(*gateway, aDatagram);
      }
    }
    for (auto& loader : m_loaders) {
      if (loader->m_port.Self() == aDatagram.m_receiver) {
        ReceiveAt(*loader, aDatagram);
      }
    }
  }

  void ReceiveAt(Loader& aLoader, Datagram const& aDatagram)
  {
    if (auto const* const alone = std::get_if<agent::GatewayPresence>(&aDatagram.m_message)) {
      aLoader.m_registry.OnPresence(*alone, aDatagram.m_sender, m_now);
    } else if (auto const* const domain =
                 std::get_if<agent::DomainPresence>(&aDatagram.m_message)) {
      aLoader.m_registry.OnDomainPresence(*domain, aLoader.m_domain, m_now);
    } else if (std::holds_alternative<agent::StatusRequest>(aDatagram.m_message)) {
      aLoader.m_sender.Resend(aDatagram.m_sender, aLoader.Status());
    }
  }

  void ReceiveAt(Gateway& aGateway, Datagram const& aDatagram)
  {
    auto const& message = aDatagram.m_message;
    if (auto const* const status = std::get_if<agent::EngineStatus>(&message)) {
      aGateway.m_exchange.OnStatus(*status, m_now);
      Apply(aGateway, *status);
    } else if (auto const* const heartbeat = std::get_if<agent::EngineHeartbeat>(&message)) {
      aGateway.m_exchange.OnHeartbeat(*heartbeat, m_now);
      Apply(aGateway, *heartbeat);
    } else if (auto const* const digest = std::get_if<agent::EngineDigest>(&message)) {
      for (auto const& entry : digest->m_statuses) {
        Apply(aGateway, entry);
      }
      for (auto const& entry : digest->m_heartbeats) {
        Apply(aGateway, entry);
      }
      aGateway.m_exchange.OnDigest(*digest, aDatagram.m_sender, m_now);
    } else if (auto const* const presence = std::get_if<agent::GatewayPresence>(&message)) {
      aGateway.m_members[presence->m_host] = { aDatagram.m_sender, *presence };
    }
  }

  void Apply(Gateway& aGateway, agent::EngineStatus const& aStatus)
  {
    aGateway.m_directory.OnLoaderStatus({ aStatus.m_engine,
                                          aStatus.m_models,
                                          std::nullopt,
                                          0,
                                          0,
                                          { aStatus.m_incarnation, aStatus.m_number },
                                          std::nullopt },
                                        m_now);
  }

  void Apply(Gateway& aGateway, agent::EngineHeartbeat const& aHeartbeat)
  {
    engine::LoaderStatusNumber const number{ aHeartbeat.m_incarnation, aHeartbeat.m_number };
    if (!aGateway.m_directory.OnStatusUnchanged(aHeartbeat.m_engine, number, 0, 0, m_now)) {
      aGateway.m_port.Send({ aHeartbeat.m_engine.m_address, kPort },
                           agent::StatusRequest{ aGateway.m_host });
    }
  }

  std::mt19937_64 m_random;
  base::Instant m_now = kStart;
  unsigned m_ticks = 0;
  double m_loss = 0.02;
  int m_maximumDelay = 180;
  std::multimap<base::Instant, Datagram> m_queue;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<std::unique_ptr<Loader>> m_loaders;
  std::map<base::HostId, base::Instant> m_silentSince;
  base::Duration m_oldest{};
};

void Port::Send(base::Endpoint const& aReceiver, agent::FleetMessage const& aMessage)
{
  ++m_sent;
  m_fleet->Deliver(m_self, aReceiver, aMessage);
}

/// Time in which gateways and loaders find each other.
constexpr base::Duration kStartTime = seconds(4);
/// Time without changes after which all gateways must know all engines.
constexpr base::Duration kQuietTime = seconds(4);

} // namespace

BOOST_DATA_TEST_CASE(AllGatewaysLearnWhatEveryEngineHolds, boost::unit_test::data::xrange(1, 9),
                     seed)
{
  Fleet fleet(static_cast<unsigned>(seed));
  fleet.Run(kStartTime, 1);
  fleet.TakeOldest();
  fleet.Run(seconds(10), 2);
  BOOST_TEST((fleet.TakeOldest() < kMaximumStatusAge));
  fleet.Run(kQuietTime, 0);
  BOOST_TEST(fleet.CountWrong() == 0U);
}

BOOST_DATA_TEST_CASE(AFrozenAggregatorLeavesNoGatewayBehind, boost::unit_test::data::xrange(1, 9),
                     seed)
{
  Fleet fleet(static_cast<unsigned>(seed));
  fleet.Run(kStartTime, 1);
  BOOST_REQUIRE((fleet.At(0).m_exchange.Duty(fleet.Now()) == agent::DomainDuty::Aggregator));
  fleet.TakeOldest();
  fleet.Freeze(0, seconds(3));
  fleet.Run(seconds(8), 2);
  BOOST_TEST((fleet.TakeOldest() < kMaximumStatusAge));
  fleet.Run(kQuietTime, 0);
  BOOST_TEST(fleet.CountWrong() == 0U);
}

BOOST_DATA_TEST_CASE(AggregatorAndDeputyOfADomainMayStopTogether,
                     boost::unit_test::data::xrange(1, 9), seed)
{
  Fleet fleet(static_cast<unsigned>(seed));
  fleet.Run(kStartTime, 1);
  fleet.Freeze(0, seconds(5));
  fleet.Freeze(1, seconds(5));
  fleet.Run(seconds(3), 2);
  fleet.TakeOldest();
  fleet.Run(seconds(3), 2);
  BOOST_TEST((fleet.TakeOldest() < kMaximumStatusAge));
  fleet.Run(kQuietTime, 0);
  BOOST_TEST(fleet.CountWrong() == 0U);
}

/// A whole failure domain without gateways: its loaders have no aggregator, and send to
/// the gateways of the others.
BOOST_DATA_TEST_CASE(LoadersOfADomainWithoutGatewaysReachTheOthers,
                     boost::unit_test::data::xrange(1, 5), seed)
{
  Fleet fleet(static_cast<unsigned>(seed));
  fleet.Run(kStartTime, 1);
  for (std::size_t gateway = 0; gateway < kGatewaysPerDomain; ++gateway) {
    fleet.Freeze(gateway, seconds(8));
  }
  fleet.Run(seconds(4), 2);
  fleet.TakeOldest();
  fleet.Run(seconds(3), 2);
  BOOST_TEST((fleet.TakeOldest() < kMaximumStatusAge));
  fleet.Run(seconds(2) + kQuietTime, 0);
  BOOST_TEST(fleet.CountWrong() == 0U);
}

/// What a loader sends must not grow with the number of gateways.
BOOST_AUTO_TEST_CASE(ALoaderSendsToTheAggregatorsOfItsDomainOnly)
{
  Fleet fleet(1);
  fleet.SetLoss(0);
  fleet.Run(kStartTime + seconds(3), 0);
  auto const before = fleet.SentByLoaders();
  fleet.Run(seconds(8), 0);
  double const perSecond = (fleet.SentByLoaders() - before) / 8.0 / (kDomains * kLoadersPerDomain);
  // A heartbeat each 0.8 s to the aggregator and its deputy.
  BOOST_TEST(perSecond <= 2.6);
}
