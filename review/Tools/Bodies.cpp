#include "review/Tools/Site.h"

#include <cstring>

// Callers send bodies within the configured limit; in bursts there are more callers. The
// platform ends a process that exceeds its memory, and starts it again.
// Usage: review-bodies FOLDER RECORD TROUBLE, in the root of the repository.

namespace {

using namespace sardinefold;
using namespace std::chrono_literals;

constexpr std::size_t kGateways = 2;
constexpr std::size_t kUsualCallers = 17;
/// 2.35 times the usual number.
constexpr std::size_t kBurstCallers = 40;
/// Each caller sends one request in this time; 40 callers need 800 Mbit/s of the 1,000 of a
/// gateway's link.
constexpr base::Duration kPeriod = 1600ms;
constexpr base::Duration kWork = 1500ms;
constexpr std::size_t kBodyBytes = 4'000'000;
constexpr int kTimeoutMs = 5000;
constexpr int kBursts = 4;

std::string AddressOf(int aBlock, int aNumber)
{
  return "127." + std::to_string(64 + static_cast<int>(::getpid() / 250 % 150)) + "." +
         std::to_string(aBlock * 50 + static_cast<int>(::getpid() % 50)) + "." +
         std::to_string(aNumber);
}

struct Host
{
  std::unique_ptr<review::Gateway> m_gateway;
  std::vector<std::unique_ptr<review::Client>> m_callers;
  /// Whether the end of each caller's latest request has been recorded.
  std::vector<bool> m_isRecorded;
  /// When each caller sends its next request.
  std::vector<base::Instant> m_next;
  int m_ends = 0;
  long m_peak = 0;
};

class Run
{
public:
  Run(std::string const& aFolder, std::string const& aRecord, bool aHasTrouble)
    : m_record(aRecord)
    , m_hasTrouble(aHasTrouble)
    , m_storePort(review::FreePort(AddressOf(0, 1)))
  {
    for (std::size_t number = 0; number < kGateways; ++number) {
      auto& host = m_hosts.emplace_back();
      host.m_gateway = std::make_unique<review::Gateway>(
        aFolder, "front-" + std::to_string(number + 1), AddressOf(1, static_cast<int>(number) + 1),
        AddressOf(0, 1) + ":" + std::to_string(m_storePort));
    }
  }

  int Play()
  {
    if (!m_store.Listen(AddressOf(0, 1), m_storePort)) {
      return 2;
    }
    m_store.Put("config", "main", review::Configuration(kTimeoutMs));
    for (int number = 1; number <= 3; ++number) {
      m_engines.push_back(std::make_unique<review::Engine>(m_loop, "i-" + std::to_string(number),
                                                           AddressOf(2, number), kWork, m_runs));
      m_store.Put("servers", m_engines.back()->Name(), m_engines.back()->Entry("ready"));
    }
    for (auto& host : m_hosts) {
      host.m_gateway->Start();
    }
    for (auto& host : m_hosts) {
      if (!review::AwaitReady(m_loop, *host.m_gateway)) {
        m_record << "a gateway did not become ready\n";
        return 2;
      }
    }
    WatchMemory();
    for (int burst = 0; burst < kBursts; ++burst) {
      Drive(kUsualCallers, 4s);
      Drive(m_hasTrouble ? kBurstCallers : kUsualCallers, 6s);
      Drive(kUsualCallers, 6s);
    }
    m_isOver = true;
    bool isBroken = m_lost > 3;
    m_record << "requests from kept connections that engines ran and that ended without an answer: "
             << m_lost << "\n";
    std::size_t ended = 0;
    for (auto& host : m_hosts) {
      m_record << host.m_gateway->Name() << ": most memory " << host.m_peak << " MB of "
               << review::Gateway::kMemoryMegabytes << ", ended for its memory " << host.m_ends
               << " times\n";
      ended += host.m_ends >= 3 ? 1 : 0;
      host.m_gateway->Stop(m_loop, 9s);
    }
    m_record << "processes that ended by themselves three times or more: " << ended << "\n"
             << "served " << m_served << ", refused " << m_refused << ", cut " << m_cut << "\n"
             << "the rule " << (isBroken ? "is broken" : "held") << "\n";
    return isBroken ? 1 : 0;
  }

private:
  /// The platform ends a process whose memory exceeds its limit, and starts it again after
  /// a short delay. Bytes that have not been read are not even counted here.
  void WatchMemory()
  {
    if (m_isOver) {
      return;
    }
    for (auto& host : m_hosts) {
      auto const memory = host.m_gateway->IsRunning() ? host.m_gateway->Memory() : 0;
      host.m_peak = std::max(host.m_peak, memory);
      if (memory > review::Gateway::kMemoryMegabytes) {
        m_record << host.m_gateway->Name() << " ended with " << memory << " MB\n";
        ++host.m_ends;
        host.m_gateway->Kill();
        m_loop.After(500ms, [this, &host] {
          if (!m_isOver) {
            host.m_gateway->Start();
          }
        });
      }
    }
    m_loop.After(10ms, [this] { WatchMemory(); });
  }

  /// For some time, callers send a request in each period, by turns. One that misses its
  /// turn, as its request is still under way or the gateway is down, waits for the next.
  void Drive(std::size_t aCallers, base::Duration aTime)
  {
    auto const start = m_loop.Now();
    auto const end = start + aTime;
    m_loop.RunUntil(aTime, [&] {
      auto const now = m_loop.Now();
      for (auto& host : m_hosts) {
        while (host.m_callers.size() < aCallers) {
          host.m_callers.push_back(std::make_unique<review::Client>(m_loop, *host.m_gateway));
          host.m_isRecorded.push_back(true);
          host.m_next.push_back(start +
                                kPeriod * (host.m_callers.size() * 7 % aCallers) / aCallers);
        }
        for (std::size_t number = 0; number < host.m_callers.size(); ++number) {
          auto& caller = *host.m_callers[number];
          bool const isPending = caller.State() == review::Client::End::Pending;
          if (!isPending && !host.m_isRecorded[number]) {
            host.m_isRecorded[number] = true;
            Record(host, caller);
          }
          bool const isDue = now >= host.m_next[number];
          while (host.m_next[number] <= now) {
            host.m_next[number] += kPeriod;
          }
          if (isDue && !isPending && number < aCallers && host.m_gateway->IsRunning()) {
            host.m_isRecorded[number] = false;
            caller.Send("q" + std::to_string(++m_requests), m_body, kTimeoutMs);
          }
        }
      }
      return now >= end;
    });
  }

  void Record(Host const& aHost, review::Client const& aCaller)
  {
    bool const hasRun = m_runs.contains(aCaller.Request());
    bool const isAnswered = aCaller.State() == review::Client::End::Answered;
    m_served += isAnswered && aCaller.Status() == 200 ? 1 : 0;
    m_refused += isAnswered && aCaller.Status() != 200 ? 1 : 0;
    m_cut += isAnswered ? 0 : 1;
    m_lost += !isAnswered && hasRun && aCaller.IsKept() ? 1 : 0;
    m_record << aHost.m_gateway->Name() << " " << aCaller.Request()
             << (aCaller.IsKept() ? " on a kept connection: " : " on a new connection: ")
             << (isAnswered ? "status " + std::to_string(aCaller.Status()) : "no answer")
             << (hasRun ? ", run" : ", not run") << "\n";
  }

  std::ofstream m_record;
  bool m_hasTrouble;
  review::Loop m_loop;
  review::Store m_store{ m_loop };
  std::uint16_t m_storePort;
  std::string const m_body = std::string(kBodyBytes, 'x');
  std::set<std::string> m_runs;
  std::vector<std::unique_ptr<review::Engine>> m_engines;
  std::list<Host> m_hosts;
  /// Whether the processes are being stopped for good.
  bool m_isOver = false;
  int m_requests = 0;
  int m_served = 0;
  int m_refused = 0;
  int m_cut = 0;
  int m_lost = 0;
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
