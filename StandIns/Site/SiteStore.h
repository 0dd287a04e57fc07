#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Signal.h"
#include "StandIns/Common/FaultInjector.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinefold::standins {

/// Stand-in of the metadata store of the users' platform: objects by kind and
/// name with one revision counter, conditional writes, lists and watches.
class SiteStore
{
public:
  explicit SiteStore(base::EventLoop& aLoop);

  void Attach(base::HttpServer const& aServer) { m_faultInjector.Attach(aServer); }
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);

  /// Writes an object on behalf of an operator or an engine.
  void Put(std::string const& aKind, std::string const& aName, Json::Value aSpec);
  void Remove(std::string const& aKind, std::string const& aName);
  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  std::uint64_t Revision() const { return m_revision; }
  std::uint64_t Calls() const { return m_calls; }
  /// Discards the recorded changes, so that watchers must list again.
  void DiscardHistory();

private:
  struct Change
  {
    std::uint64_t m_revision;
    std::string m_kind;
    Json::Value m_object;
    bool m_isRemoved;
  };
  using Objects = std::map<std::string, Json::Value>;

  void Record(std::string const& aKind, Json::Value const& aObject, bool aIsRemoved);
  base::HttpResponse List(std::string const& aKind, std::string const& aAfter) const;
  base::HttpResponse Write(std::string const& aKind, std::string aName, bool aIsCreation,
                           base::HttpRequest const& aRequest);
  boost::asio::awaitable<void> Watch(base::HttpExchange& aExchange, std::string aKind);

  base::EventLoop& m_loop;
  FaultInjector m_faultInjector;
  base::Signal m_changed;
  std::map<std::string, Objects> m_objects;
  std::vector<Change> m_history;
  std::uint64_t m_revision = 1;
  std::uint64_t m_discardedUpTo = 0;
  std::uint64_t m_calls = 0;
};

} // namespace sardinefold::standins
