#pragma once

#include "review/Tools/Loop.h"

#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

namespace sardinefold::review {

/// Turns single quotes into double quotes.
inline std::string Json(std::string aText)
{
  std::replace(aText.begin(), aText.end(), '\'', '"');
  return aText;
}

inline std::string Response(int aStatus, std::string const& aFields, std::string const& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::uint16_t FreePort(std::string const& aAddress)
{
  int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = ToAddress(aAddress, 0);
  socklen_t size = sizeof(address);
  ::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

/// The platform's store: objects, lists and watches, for reading.
class Store
{
public:
  explicit Store(Loop& aLoop)
    : m_loop(aLoop)
  {
  }

  bool Listen(std::string const& aAddress, std::uint16_t aPort)
  {
    return m_loop.Listen(aAddress, aPort, [this](Connection& aConnection, Message const* aMessage) {
      if (aMessage) {
        Serve(aConnection, *aMessage);
      } else {
        std::erase_if(m_watches, [&](auto const& aWatch) { return aWatch.m_from == &aConnection; });
      }
    }) >= 0;
  }

  void Put(std::string const& aKind, std::string const& aName, std::string const& aSpec)
  {
    ++m_revision;
    m_objects[aKind][aName] = Object(aName, aSpec);
    Record(aKind, m_objects[aKind][aName], false);
  }

  void Remove(std::string const& aKind, std::string const& aName)
  {
    ++m_revision;
    m_objects[aKind].erase(aName);
    Record(aKind, Object(aName, "{}"), true);
  }

private:
  struct Change
  {
    std::uint64_t m_revision;
    std::string m_kind;
    std::string m_text;
  };
  struct Watch
  {
    Connection* m_from;
    std::string m_kind;
    std::uint64_t m_after;
    std::uint64_t m_number;
  };

  std::string Object(std::string const& aName, std::string const& aSpec) const
  {
    return Json("{'metadata':{'name':'" + aName + "','revision':" + std::to_string(m_revision) +
                "},'spec':") +
           Json(aSpec) + "}";
  }

  void Record(std::string const& aKind, std::string const& aObject, bool aIsRemoved)
  {
    m_history.push_back({ m_revision, aKind,
                          Json("{'object':") + aObject +
                            Json(aIsRemoved ? ",'removed':true}" : ",'removed':false}") });
    auto const watches = m_watches;
    for (auto const& watch : watches) {
      if (watch.m_kind == aKind) {
        Answer(watch);
      }
    }
  }

  void Answer(Watch const& aWatch)
  {
    auto const number = aWatch.m_number;
    std::string events;
    for (auto const& change : m_history) {
      if (change.m_revision > aWatch.m_after && change.m_kind == aWatch.m_kind) {
        events += (events.empty() ? "" : ",") + change.m_text;
      }
    }
    auto const body =
      Json("{'events':[") + events + Json("],'currentRev':") + std::to_string(m_revision) + "}";
    aWatch.m_from->Write(Response(200, "Content-Type: application/json\r\n", body));
    std::erase_if(m_watches, [number](auto const& aItem) { return aItem.m_number == number; });
  }

  static std::uint64_t Query(std::string const& aTarget, std::string const& aName)
  {
    auto const found = aTarget.find(aName + "=");
    return found == std::string::npos
             ? 0
             : std::strtoull(aTarget.c_str() + found + aName.size() + 1, nullptr, 10);
  }

  void Serve(Connection& aConnection, Message const& aMessage)
  {
    std::istringstream line(aMessage.m_startLine);
    std::string method;
    std::string target;
    line >> method >> target;
    auto const path = target.substr(0, target.find('?')).substr(std::string("/v1/objects/").size());
    auto const slash = path.find('/');
    auto const kind = path.substr(0, slash);
    if (slash != std::string::npos) {
      auto const& objects = m_objects[kind];
      auto const found = objects.find(path.substr(slash + 1));
      aConnection.Write(found == objects.end() ? Response(404, "", "{}")
                                               : Response(200, "", found->second));
      return;
    }
    if (target.find("watch=") != std::string::npos) {
      Watch const watch{ &aConnection, kind, Query(target, "watch"), ++m_lastWatch };
      bool const hasNews = std::any_of(m_history.begin(), m_history.end(), [&](auto const& aItem) {
        return aItem.m_kind == kind && aItem.m_revision > watch.m_after;
      });
      m_watches.push_back(watch);
      if (hasNews) {
        Answer(watch);
        return;
      }
      auto const number = watch.m_number;
      m_loop.After(std::chrono::milliseconds(Query(target, "waitMs")), [this, number] {
        auto const found = std::find_if(m_watches.begin(), m_watches.end(), [&](auto const& aItem) {
          return aItem.m_number == number;
        });
        if (found != m_watches.end()) {
          Answer(Watch(*found));
        }
      });
      return;
    }
    std::string items;
    for (auto const& [name, text] : m_objects[kind]) {
      items += (items.empty() ? "" : ",") + text;
    }
    aConnection.Write(Response(200, "Content-Type: application/json\r\n",
                               Json("{'items':[") + items +
                                 Json("],'hasMore':false,'currentRev':") +
                                 std::to_string(m_revision) + "}"));
  }

  Loop& m_loop;
  std::uint64_t m_revision = 1;
  std::uint64_t m_lastWatch = 0;
  std::map<std::string, std::map<std::string, std::string>> m_objects;
  std::vector<Change> m_history;
  std::vector<Watch> m_watches;
};

/// An engine of the plain service: answers each request after a fixed time.
class Engine
{
public:
  Engine(Loop& aLoop, std::string aName, std::string aAddress, base::Duration aWork,
         std::set<std::string>& aRuns)
    : m_loop(aLoop)
    , m_name(std::move(aName))
    , m_address(std::move(aAddress))
    , m_work(aWork)
    , m_runs(aRuns)
  {
    m_port = FreePort(m_address);
    m_listener =
      m_loop.Listen(m_address, m_port, [this](Connection& aConnection, Message const* aMessage) {
        if (aMessage) {
          m_open[aConnection.m_number] = &aConnection;
          Run(aConnection, *aMessage);
        } else {
          m_open.erase(aConnection.m_number);
        }
      });
  }

  std::string const& Name() const { return m_name; }

  std::string Entry(std::string const& aState) const
  {
    return "{'service':'desk','address':'" + m_address + ":" + std::to_string(m_port) +
           "','zone':'a','version':'v1','slots':64,'state':'" + aState +
           "','seqNo':1,'coldLeftMs':0,'born':1}";
  }

  /// The engine's process ends: the kernel closes its sockets.
  void End()
  {
    m_loop.CloseListener(m_listener);
    for (auto const& [number, connection] : m_open) {
      connection->Close();
    }
    m_open.clear();
  }

private:
  void Run(Connection& aConnection, Message const& aMessage)
  {
    auto const id = aMessage.Field("request-id");
    m_runs.insert(id);
    m_loop.After(m_work, [this, id, number = aConnection.m_number] {
      auto const found = m_open.find(number);
      if (found != m_open.end()) {
        found->second->Write(
          Response(200, "Request-Id: " + id + "\r\nServer-Seal: seal." + id + "\r\n", "done"));
      }
    });
  }

  Loop& m_loop;
  std::string m_name;
  std::string m_address;
  std::uint16_t m_port = 0;
  base::Duration m_work;
  std::set<std::string>& m_runs;
  int m_listener = -1;
  /// Open connections by their number.
  std::map<std::uint64_t, Connection*> m_open;
};

/// A gateway process, started as the deploy file says, with the platform's settings file.
class Gateway
{
public:
  static constexpr int kMemoryMegabytes = 260;
  static constexpr unsigned kDescriptors = 4100;

  Gateway(std::string aFolder, std::string aName, std::string aAddress, std::string const& aStore)
    : m_folder(std::move(aFolder))
    , m_name(std::move(aName))
    , m_address(std::move(aAddress))
  {
    m_front = FreePort(m_address);
    m_ready = FreePort(m_address);
    auto const peers = FreePort(m_address);
    std::ofstream file(m_folder + "/" + m_name + ".yaml");
    file << "nodeName: " << m_name
         << "\nrole: gateway\nmachineClass: front\nserves: [front]\nip: " << m_address
         << "\nzone: a\nregion: r\nzones: {a: r}\nlistenAddrs:\n  front: " << m_address << ":"
         << m_front << "\n  ready: " << m_address << ":" << m_ready << "\ninnerPortRange: ["
         << peers << ", " << peers + 15
         << "]\nseeds: []\nbootstrap: true\nlimits: {cpuShare: 0.19, cores: 1, memoryMb: "
         << kMemoryMegabytes << ", maxFds: " << kDescriptors
         << ", linkMbps: 1000.0, diskMb: 0}\nheartbeatMs: 1200\nbounds: {stableWindowMs: 3000, "
            "drainMs: 2000, graceS: 8, leaseMs: 3000, retryBudgetRatio: 0.2, retrySlack: 52}\n"
            "platform: {address: \""
         << aStore << "\", form: objects}\n";
  }

  ~Gateway()
  {
    if (m_process > 0) {
      Kill();
    }
  }
  Gateway(Gateway const&) = delete;
  Gateway& operator=(Gateway const&) = delete;

  /// Starts the process with the number of descriptors that the settings give it.
  void Start()
  {
    auto const environment = "SARDINEFOLD_NODE_FILE=" + m_folder + "/" + m_name + ".yaml";
    // The pipe closes when the program has replaced this one in the child, so that the
    // memory seen from then on is the gateway's own.
    int pipe[2] = { -1, -1 };
    if (::pipe2(pipe, O_CLOEXEC) != 0) {
      std::abort();
    }
    m_process = ::fork();
    if (m_process != 0) {
      ::close(pipe[1]);
      char none = 0;
      while (::read(pipe[0], &none, 1) < 0 && errno == EINTR) {
      }
      ::close(pipe[0]);
      return;
    }
    int const log =
      ::open((m_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, kDescriptors);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    char program[] = "target/sardinefold-gateway";
    char* arguments[] = { program, nullptr };
    std::string text = environment;
    char* variables[] = { text.data(), nullptr };
    ::execve(program, arguments, variables);
    ::_exit(127);
  }

  void Kill()
  {
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = -1;
  }

  /// Ends the process with SIGTERM, and after aLimit with SIGKILL.
  void Stop(Loop& aLoop, base::Duration aLimit)
  {
    if (m_process < 0) {
      return;
    }
    ::kill(m_process, SIGTERM);
    if (!aLoop.RunUntil(aLimit, [this] { return ::waitpid(m_process, nullptr, WNOHANG) != 0; })) {
      Kill();
    }
    m_process = -1;
  }

  bool IsRunning() const { return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == 0; }

  std::size_t Descriptors() const
  {
    std::size_t count = 0;
    for (unsigned number = 0; number < kDescriptors; ++number) {
      struct stat status
      {};
      auto const path = "/proc/" + std::to_string(m_process) + "/fd/" + std::to_string(number);
      count += ::lstat(path.c_str(), &status) == 0 ? 1 : 0;
    }
    return count;
  }

  /// Resident memory in megabytes.
  long Memory() const
  {
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmRSS:")) {
        return std::strtol(line.c_str() + 6, nullptr, 10) / 1024;
      }
    }
    return 0;
  }

  std::string const& Name() const { return m_name; }
  std::string const& Address() const { return m_address; }
  std::uint16_t Front() const { return m_front; }
  std::uint16_t Ready() const { return m_ready; }

private:
  std::string m_folder;
  std::string m_name;
  std::string m_address;
  std::uint16_t m_front = 0;
  std::uint16_t m_ready = 0;
  pid_t m_process = -1;
};

/// A client's connection to a gateway, with at most one request under way.
class Client
{
public:
  enum class End
  {
    Pending,
    Answered,
    /// The connection ended before an answer.
    Closed
  };

  Client(Loop& aLoop, Gateway const& aGateway)
    : m_loop(aLoop)
    , m_gateway(aGateway)
  {
  }
  ~Client()
  {
    if (m_connection) {
      m_connection->m_onMessage = [](Connection&, Message const*) {};
      m_connection->Close();
    }
  }
  Client(Client const&) = delete;
  Client& operator=(Client const&) = delete;

  /// Sends a request on the open connection, or on a new one. Returns false if the
  /// gateway refuses the connection.
  bool Send(std::string const& aRequest, std::string const& aBody, int aDeadlineMs)
  {
    m_request = aRequest;
    m_end = End::Pending;
    m_status = 0;
    m_isKept = m_connection && !m_connection->m_isClosed;
    if (!m_isKept) {
      m_connection =
        m_loop.Connect(m_gateway.Address(), m_gateway.Front(),
                       [this](Connection&, Message const* aMessage) { OnMessage(aMessage); });
    }
    if (!m_connection) {
      m_end = End::Closed;
      return false;
    }
    m_connection->Write("POST /order/book HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " +
                        aRequest + "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) +
                        "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return true;
  }

  End State() const { return m_end; }
  int Status() const { return m_status; }
  bool IsKept() const { return m_isKept; }
  std::string const& Request() const { return m_request; }

private:
  void OnMessage(Message const* aMessage)
  {
    if (!aMessage) {
      m_end = m_end == End::Pending ? End::Closed : m_end;
      return;
    }
    m_status = aMessage->Status();
    m_end = End::Answered;
    if (aMessage->Field("connection") == "close") {
      m_connection->Close();
    }
  }

  Loop& m_loop;
  Gateway const& m_gateway;
  std::shared_ptr<Connection> m_connection;
  std::string m_request;
  End m_end = End::Answered;
  int m_status = 0;
  bool m_isKept = false;
};

inline bool AwaitReady(Loop& aLoop, Gateway const& aGateway)
{
  int status = 0;
  for (int attempt = 0; attempt < 100 && status != 200; ++attempt) {
    auto const probe = aLoop.Connect(aGateway.Address(), aGateway.Ready(),
                                     [&](Connection&, Message const* aMessage) {
                                       status = aMessage ? aMessage->Status() : status;
                                     });
    if (probe) {
      probe->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      aLoop.RunUntil(std::chrono::milliseconds(200), [&] { return status != 0; });
      probe->m_onMessage = [](Connection&, Message const*) {};
      probe->Close();
    }
    if (status != 200) {
      status = 0;
      aLoop.RunFor(std::chrono::milliseconds(100));
    }
  }
  return status == 200;
}

/// A configuration with one route of a plain service, whose requests may run once.
inline std::string Configuration(int aTimeoutMs)
{
  return "{'version':3,'routes':[{'name':'order','host':'site.example','pathPrefix':'/order/',"
         "'kind':'unsafe','timeoutMs':" +
         std::to_string(aTimeoutMs) +
         ",'goalMs':150,'priority':0,'service':'desk','maxAttempts':1}],'services':[{'name':'desk',"
         "'healthPath':'/health','maxConns':360}],'limits':{'headerBytes':8192,"
         "'bodyBytes':4194304,'headerTimeoutMs':5000,'idleTimeoutMs':60000}}";
}

} // namespace sardinefold::review
