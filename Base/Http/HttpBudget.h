#pragma once

#include "Base/Http/HttpBudgetEntry.h"
#include "Base/Http/HttpBudgetLimits.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>

namespace sardinefold::base {

/// Decides which connections the servers of one process admit, refuse and cut, so that
/// memory and descriptors suffice. When room runs out, requests that are being read end,
/// the largest first, or connections that are of little use; a request that is smaller
/// than those being read gets in. Nobody is cut in vain. A request that may run is
/// never cut, nor is a response that is being read.
class HttpBudget
{
public:
  using Entry = HttpBudgetEntry;
  using Handle = std::list<Entry>::iterator;

  /// Events since the start.
  struct Counts
  {
    std::uint64_t m_refusedForMemory = 0;
    std::uint64_t m_refusedForDescriptors = 0;
    /// By the activity in which the connections were.
    std::array<std::uint64_t, kHttpActivities> m_cut{};
  };

  /// What is held now.
  struct Usage
  {
    Bytes m_connections;
    Bytes m_requests;
    Bytes m_responses;
    std::array<std::size_t, kHttpActivities> m_byActivity{};
  };

  explicit HttpBudget(HttpBudgetLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void SetLimits(HttpBudgetLimits aLimits) { m_limits = aLimits; }
  HttpBudgetLimits const& Limits() const { return m_limits; }
  /// Whether a request with a body of this size can be served if it is the only one.
  bool Fits(Bytes aBody) const;

  /// Admits a new connection, or returns false if it has to be closed.
  bool Admit(Handle aEntry, Instant aNow);
  /// Sets what the connection's request holds. Returns false, without a change, if there
  /// is no room for it. Shrinking always succeeds.
  bool HoldRequest(Handle aEntry, Bytes aBytes, Instant aNow);
  /// Sets what the response being written holds. It exists already, so that this cannot
  /// be refused.
  void HoldResponse(Handle aEntry, Bytes aBytes, Instant aNow);
  /// Begins to serve the connection's request. Returns false if there is no descriptor
  /// for it.
  bool Serve(Handle aEntry, Instant aNow);
  /// Also ends serving, and takes back a connection that was to be cut.
  void SetActivity(Handle aEntry, HttpActivity aActivity, Instant aNow);
  /// Cuts the least useful connection, as the operating system has no descriptor left.
  void OnDescriptorsExhausted(Instant aNow);

  /// Whether somebody was refused in the last second.
  bool IsRoomShort(Instant aNow) const;

  Handle Add(Entry aEntry) { return m_entries.insert(m_entries.end(), std::move(aEntry)); }
  void Remove(Handle aEntry);

  Bytes Held() const { return m_held; }
  std::size_t Descriptors() const { return m_descriptors; }
  Counts const& Events() const { return m_counts; }
  Usage Measure() const;

private:
  bool MakeMemory(Handle aFor, Bytes aGrowth, Instant aNow);
  bool MakeDescriptor(Handle aFor, Instant aNow);
  Handle FindLeastUseful(Handle aFor, Instant aNow);
  /// Whether the connection may be cut for the memory of a request that is smaller than
  /// all being read.
  bool IsSpare(Entry const& aEntry, Instant aNow) const;
  Bytes SpareMemory(Handle aFor, Instant aNow);
  Handle FindSpare(Handle aFor, Instant aNow);
  Handle FindLargestRead(Handle aFor, Bytes aHeld);
  Handle FindOldest(HttpActivity aActivity, Handle aFor);
  Handle FindStalled(Handle aFor, Instant aNow);
  void Cut(Handle aEntry);
  void Count(Entry const& aEntry);
  void Discount(Entry const& aEntry);

  HttpBudgetLimits m_limits;
  std::list<Entry> m_entries;
  Bytes m_held;
  std::size_t m_descriptors = 0;
  Counts m_counts;
  std::optional<Instant> m_lastRefusal;
};

} // namespace sardinefold::base
