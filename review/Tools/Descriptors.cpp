#include "review/Tools/Site.h"

#include <cstring>

// Replaces the engines of a service one after the other while callers keep their
// connections to the gateway, and then sends requests on new connections.
// Usage: review-descriptors FOLDER RECORD TROUBLE, in the root of the repository.

namespace {

using namespace sardinefold;
using namespace std::chrono_literals;

constexpr int kRounds = 68;
/// A release replaces one of two, which is half of the service.
constexpr int kEngines = 2;
constexpr std::size_t kCallers = 128;
constexpr std::size_t kNewCallers = 40;
constexpr int kTimeoutMs = 1500;

std::string AddressOf(int aBlock, int aNumber)
{
  return "127." + std::to_string(64 + static_cast<int>(::getpid() / 250 % 150)) + "." +
         std::to_string(aBlock * 50 + static_cast<int>(::getpid() % 50)) + "." +
         std::to_string(aNumber);
}

struct Counts
{
  std::size_t m_served = 0;
  std::size_t m_refused = 0;
  std::size_t m_unanswered = 0;
  /// Requests that engines ran.
  std::size_t m_run = 0;
};

class Run
{
public:
  Run(std::string const& aFolder, std::string const& aRecord, bool aHasTrouble)
    : m_record(aRecord)
    , m_hasTrouble(aHasTrouble)
    , m_storePort(review::FreePort(AddressOf(0, 1)))
    , m_gateway(aFolder, "front-1", AddressOf(1, 1),
                AddressOf(0, 1) + ":" + std::to_string(m_storePort))
  {
  }

  int Play()
  {
    if (!m_store.Listen(AddressOf(0, 1), m_storePort)) {
      return 2;
    }
    m_store.Put("config", "main", review::Configuration(kTimeoutMs));
    for (int number = 0; number < kEngines; ++number) {
      StartEngine();
    }
    m_gateway.Start();
    if (!review::AwaitReady(m_loop, m_gateway)) {
      m_record << "the gateway did not become ready\n";
      return 2;
    }
    m_balancer = m_loop.Connect(m_gateway.Address(), m_gateway.Ready(),
                                [this](review::Connection&, review::Message const* aMessage) {
                                  m_readiness = aMessage ? aMessage->Status() : 0;
                                });
    PollReadiness();
    for (std::size_t number = 0; number < kCallers; ++number) {
      m_callers.push_back(std::make_unique<review::Client>(m_loop, m_gateway));
    }
    for (int round = 0; round < kRounds; ++round) {
      auto const end = m_loop.Now() + 1s;
      auto const counts = SendAll();
      Record("round " + std::to_string(round), counts);
      m_record << "descriptors of the gateway: " << m_gateway.Descriptors() << "\n";
      if (m_hasTrouble) {
        ReplaceEngine();
      }
      m_loop.RunFor(end - m_loop.Now());
    }
    // The last engine that leaves has ended by then, and the gateway has been in touch for
    // the time that the rules ask for.
    m_loop.RunFor(6s);
    auto const kept = SendAll();
    Record("after the releases", kept);
    int const verdict = SendNew();
    m_record << "latest readiness on the balancer's connection: " << m_readiness
             << "; process running: " << (m_gateway.IsRunning() ? "yes" : "no")
             << "; requests run by engines: " << m_runs.size() << "\n";
    m_gateway.Stop(m_loop, 9s);
    return verdict;
  }

private:
  /// The platform's balancer polls readiness once a second, on one connection.
  void PollReadiness()
  {
    if (m_balancer && !m_balancer->m_isClosed) {
      m_readiness = 0;
      m_balancer->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    }
    m_loop.After(1s, [this] { PollReadiness(); });
  }

  void StartEngine()
  {
    auto const number = static_cast<int>(m_engines.size());
    m_engines.push_back(std::make_unique<review::Engine>(m_loop, "i-" + std::to_string(number),
                                                         AddressOf(2, number + 1), 100ms, m_runs));
    m_store.Put("servers", m_engines.back()->Name(), m_engines.back()->Entry("ready"));
  }

  /// Starts a new engine; the oldest one reports that it drains and ends after the time that
  /// the pages give it.
  void ReplaceEngine()
  {
    auto* const former = m_engines[m_replaced++].get();
    StartEngine();
    m_store.Put("servers", former->Name(), former->Entry("draining"));
    m_loop.After(2300ms, [this, former] {
      m_store.Remove("servers", former->Name());
      former->End();
    });
  }

  std::string NextRequest() { return "q" + std::to_string(++m_requests); }

  static bool IsPending(std::vector<std::unique_ptr<review::Client>> const& aClients)
  {
    return std::any_of(aClients.begin(), aClients.end(), [](auto const& aClient) {
      return aClient->State() == review::Client::End::Pending;
    });
  }

  Counts Count(std::vector<std::unique_ptr<review::Client>> const& aClients) const
  {
    Counts counts;
    for (auto const& client : aClients) {
      bool const isAnswered = client->State() == review::Client::End::Answered;
      counts.m_unanswered += isAnswered ? 0 : 1;
      counts.m_run += m_runs.contains(client->Request()) ? 1 : 0;
      counts.m_served += isAnswered && client->Status() == 200 ? 1 : 0;
      counts.m_refused += isAnswered && client->Status() != 200 ? 1 : 0;
    }
    return counts;
  }

  void Record(std::string const& aWhen, Counts const& aCounts)
  {
    m_record << aWhen << ", " << m_callers.size() << " requests on kept connections, "
             << m_callers.front()->Request() << " to " << m_callers.back()->Request() << ": served "
             << aCounts.m_served << ", refused " << aCounts.m_refused << ", unanswered "
             << aCounts.m_unanswered << "; run by engines " << aCounts.m_run << "\n";
  }

  Counts SendAll()
  {
    for (auto const& caller : m_callers) {
      caller->Send(NextRequest(), "book", kTimeoutMs);
    }
    m_loop.RunUntil(std::chrono::milliseconds(kTimeoutMs + 500),
                    [this] { return !IsPending(m_callers); });
    return Count(m_callers);
  }

  /// Sends requests on new connections, ten in a second, and applies the rule: of those
  /// unanswered at their route's time-out, at most half have no answer half a second later.
  int SendNew()
  {
    std::vector<std::unique_ptr<review::Client>> callers;
    std::size_t lateAtTimeout = 0;
    std::size_t lateAfter = 0;
    for (std::size_t number = 0; number < kNewCallers; ++number) {
      callers.push_back(std::make_unique<review::Client>(m_loop, m_gateway));
      auto* const caller = callers.back().get();
      auto const request = NextRequest();
      caller->Send(request, "book", kTimeoutMs);
      m_loop.After(std::chrono::milliseconds(kTimeoutMs), [caller, &lateAtTimeout] {
        lateAtTimeout += caller->State() == review::Client::End::Answered ? 0 : 1;
      });
      m_loop.After(std::chrono::milliseconds(kTimeoutMs + 500), [this, caller, &lateAfter] {
        bool const isAnswered = caller->State() == review::Client::End::Answered;
        lateAfter += isAnswered ? 0 : 1;
        m_record << "new connection, request " << caller->Request() << ": "
                 << (isAnswered ? "status " + std::to_string(caller->Status()) : "no answer")
                 << ", run by an engine: " << (m_runs.contains(caller->Request()) ? "yes" : "no")
                 << "\n";
      });
      m_loop.RunFor(100ms);
    }
    m_loop.RunFor(std::chrono::milliseconds(kTimeoutMs + 600));
    bool const isBroken =
      lateAtTimeout >= 8 && 4 * lateAfter > kNewCallers && 2 * lateAfter > lateAtTimeout;
    m_record << "of " << kNewCallers << " requests on new connections, " << lateAtTimeout
             << " were unanswered after " << kTimeoutMs << " ms and " << lateAfter << " after "
             << kTimeoutMs + 500 << " ms: the rule " << (isBroken ? "is broken" : "held") << "\n";
    return isBroken ? 1 : 0;
  }

  std::ofstream m_record;
  bool m_hasTrouble;
  review::Loop m_loop;
  review::Store m_store{ m_loop };
  std::uint16_t m_storePort;
  review::Gateway m_gateway;
  std::set<std::string> m_runs;
  std::vector<std::unique_ptr<review::Engine>> m_engines;
  std::vector<std::unique_ptr<review::Client>> m_callers;
  /// The first engines, which have been replaced.
  std::size_t m_replaced = 0;
  int m_requests = 0;
  std::shared_ptr<review::Connection> m_balancer;
  int m_readiness = 0;
};

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  Run run(aArguments[1], aArguments[2], std::strcmp(aArguments[3], "0") != 0);
  return run.Play();
}
