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
/// name with one revision counter, conditional writes, lists and watches. It can
/// come back from a copy of itself.
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
  std::uint64_t Revision() const { return m_state.m_revision; }
  std::uint64_t Calls() const { return m_calls; }
  /// Discards the recorded changes, so that watchers must list again.
  void DiscardHistory();

  /// Keeps a copy of the objects, the revision and the history.
  void TakeCopy() { m_copy = m_state; }
  /// Returns to the copy, or to the initial state if none was taken.
  void Restore();
  /// Repeats what operators and engines wrote between the copy and the restoration.
  void WriteAgain();
  std::uint64_t Era() const { return m_era; }

private:
  struct Change
  {
    std::uint64_t m_revision;
    std::string m_kind;
    Json::Value m_object;
    bool m_isRemoved;
  };
  using Objects = std::map<std::string, Json::Value>;
  struct State
  {
    Objects ObjectsOf(std::string const& aKind) const;
    /// Returns null if there is no such object.
    Json::Value SpecOf(std::string const& aKind, std::string const& aName) const;

    std::map<std::string, Objects> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_discardedUpTo = 0;
  };

  void Record(std::string const& aKind, Json::Value const& aObject, bool aIsRemoved);
  base::HttpResponse List(std::string const& aKind, std::string const& aAfter) const;
  base::HttpResponse Write(std::string const& aKind, std::string aName, bool aIsCreation,
                           base::HttpRequest const& aRequest);
  boost::asio::awaitable<void> Watch(base::HttpExchange& aExchange, std::string aKind);

  base::EventLoop& m_loop;
  FaultInjector m_faultInjector;
  base::Signal m_changed;
  State m_state;
  State m_copy;
  /// The state that the latest restoration replaced.
  State m_replaced;
  std::uint64_t m_era = 1;
  bool m_isEraHidden = false;
  bool m_cutsWatches = false;
  /// The kind of objects of which calls get 503.
  std::string m_refusedKind;
  std::uint64_t m_calls = 0;
};

} // namespace sardinefold::standins
