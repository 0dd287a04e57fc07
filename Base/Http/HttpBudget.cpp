#include "Base/Http/HttpBudget.h"

#include <tuple>

namespace sardinefold::base {

namespace {

/// Large requests leave this share of the memory to small ones.
constexpr std::int64_t kSmallShare = 8;
/// A request that holds less than this share of the memory is small.
constexpr std::int64_t kLargeShare = 256;
/// A new connection sends its request within some round trips. Until then it is not
/// the first to be cut.
constexpr Duration kFirstBytesTime = std::chrono::milliseconds(250);
/// The data of a body comes in intervals below this, also over a link that loses packets.
constexpr Duration kNextBytesTime = std::chrono::seconds(1);

bool IsReading(HttpActivity aActivity)
{
  return aActivity == HttpActivity::ReadingHead || aActivity == HttpActivity::ReadingBody;
}

std::size_t Index(HttpActivity aActivity)
{
  return static_cast<std::size_t>(aActivity);
}

} // namespace

bool HttpBudget::Fits(Bytes aBody) const
{
  auto const large = m_limits.m_memory - Bytes(m_limits.m_memory.Value() / kSmallShare);
  return aBody + HttpBudgetEntry::kConnectionBytes <= large;
}

bool HttpBudget::IsRoomShort(Instant aNow) const
{
  constexpr Duration kShortTime = std::chrono::seconds(1);
  return m_lastRefusal && aNow - *m_lastRefusal < kShortTime;
}

void HttpBudget::Count(Entry const& aEntry)
{
  m_held += aEntry.Held();
  m_descriptors += aEntry.Descriptors();
}

void HttpBudget::Discount(Entry const& aEntry)
{
  m_held -= aEntry.Held();
  m_descriptors -= aEntry.Descriptors();
}

bool HttpBudget::Admit(Handle aEntry, Instant aNow)
{
  aEntry->m_since = aNow;
  // It does not count before it is admitted.
  aEntry->m_isLeaving = true;
  if (!MakeDescriptor(aEntry, aNow) || !MakeMemory(aEntry, aEntry->Held(), aNow)) {
    return false;
  }
  aEntry->m_isLeaving = false;
  Count(*aEntry);
  return true;
}

bool HttpBudget::HoldRequest(Handle aEntry, Bytes aBytes, Instant aNow)
{
  bool const isGrowth = aBytes > aEntry->m_request;
  if (isGrowth && !MakeMemory(aEntry, aBytes - aEntry->m_request, aNow)) {
    return false;
  }
  if (isGrowth) {
    aEntry->m_since = aNow;
  }
  if (!aEntry->m_isLeaving) {
    m_held += aBytes - aEntry->m_request;
  }
  aEntry->m_request = aBytes;
  return true;
}

void HttpBudget::HoldResponse(Handle aEntry, Bytes aBytes, Instant aNow)
{
  if (aBytes > aEntry->m_response) {
    MakeMemory(aEntry, aBytes - aEntry->m_response, aNow);
  }
  if (!aEntry->m_isLeaving) {
    m_held += aBytes - aEntry->m_response;
  }
  aEntry->m_response = aBytes;
  bool const isWriting = aBytes > Bytes();
  if (aEntry->m_isServed) {
    aEntry->m_activity = isWriting ? HttpActivity::Writing : HttpActivity::Serving;
  }
  aEntry->m_since = aNow;
}

bool HttpBudget::Serve(Handle aEntry, Instant aNow)
{
  if (!MakeDescriptor(aEntry, aNow)) {
    return false;
  }
  SetActivity(aEntry, HttpActivity::Serving, aNow);
  return true;
}

void HttpBudget::SetActivity(Handle aEntry, HttpActivity aActivity, Instant aNow)
{
  if (!aEntry->m_isLeaving) {
    Discount(*aEntry);
  }
  aEntry->m_activity = aActivity;
  aEntry->m_since = aNow;
  aEntry->m_isServed = aActivity == HttpActivity::Serving;
  aEntry->m_isLeaving = false;
  Count(*aEntry);
}

void HttpBudget::Remove(Handle aEntry)
{
  if (!aEntry->m_isLeaving) {
    Discount(*aEntry);
  }
  m_entries.erase(aEntry);
}

bool HttpBudget::MakeMemory(Handle aFor, Bytes aGrowth, Instant aNow)
{
  auto const held = aFor->m_isLeaving ? aGrowth : aFor->Held() + aGrowth;
  bool const isLarge = held.Value() > m_limits.m_memory.Value() / kLargeShare;
  auto const limit = isLarge ? m_limits.m_memory - Bytes(m_limits.m_memory.Value() / kSmallShare)
                             : m_limits.m_memory;
  while (m_held + aGrowth > limit) {
    auto victim = FindLargestRead(aFor, held);
    if (victim == m_entries.end() && m_held + aGrowth - limit <= SpareMemory(aFor, aNow)) {
      victim = FindSpare(aFor, aNow);
    }
    if (victim == m_entries.end()) {
      ++m_counts.m_refusedForMemory;
      m_lastRefusal = aNow;
      return false;
    }
    Cut(victim);
  }
  return true;
}

bool HttpBudget::MakeDescriptor(Handle aFor, Instant aNow)
{
  while (m_descriptors + 1 > m_limits.m_descriptors) {
    auto const victim = FindLeastUseful(aFor, aNow);
    if (victim == m_entries.end()) {
      ++m_counts.m_refusedForDescriptors;
      m_lastRefusal = aNow;
      return false;
    }
    Cut(victim);
  }
  return true;
}

void HttpBudget::OnDescriptorsExhausted(Instant aNow)
{
  if (auto const victim = FindLeastUseful(m_entries.end(), aNow); victim != m_entries.end()) {
    Cut(victim);
  }
}

HttpBudget::Handle HttpBudget::FindLeastUseful(Handle aFor, Instant aNow)
{
  struct Choice
  {
    HttpActivity m_activity;
    Duration m_age;
  };
  // New connections come before idle ones, which their peers may be about to use.
  constexpr std::array kChoices{ Choice{ HttpActivity::Silent, kFirstBytesTime },
                                 Choice{ HttpActivity::ReadingHead, kFirstBytesTime },
                                 Choice{ HttpActivity::ReadingBody, kNextBytesTime },
                                 Choice{ HttpActivity::Silent, {} },
                                 Choice{ HttpActivity::Idle, {} },
                                 Choice{ HttpActivity::ReadingHead, {} },
                                 Choice{ HttpActivity::ReadingBody, {} } };
  auto victim = FindOldest(HttpActivity::Lingering, aFor);
  for (auto const& choice : kChoices) {
    if (victim == m_entries.end()) {
      victim = FindOldest(choice.m_activity, aFor);
      bool const isYoung = victim != m_entries.end() && aNow - victim->m_since < choice.m_age;
      victim = isYoung ? m_entries.end() : victim;
    }
  }
  return victim == m_entries.end() ? FindStalled(aFor, aNow) : victim;
}

bool HttpBudget::IsSpare(Entry const& aEntry, Instant aNow) const
{
  auto const age = aNow - aEntry.m_since;
  switch (aEntry.m_activity) {
    case HttpActivity::Lingering:
    case HttpActivity::Idle:
      return true;
    case HttpActivity::Silent:
      return age >= kFirstBytesTime;
    case HttpActivity::Writing:
      return age >= m_limits.m_stalledWrite;
    case HttpActivity::ReadingHead:
    case HttpActivity::ReadingBody:
    case HttpActivity::Serving:
      return false;
  }
  return false;
}

Bytes HttpBudget::SpareMemory(Handle aFor, Instant aNow)
{
  Bytes spare;
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    if (entry != aFor && !entry->m_isLeaving && IsSpare(*entry, aNow)) {
      spare += entry->Held();
    }
  }
  return spare;
}

HttpBudget::Handle HttpBudget::FindSpare(Handle aFor, Instant aNow)
{
  for (auto const activity : { HttpActivity::Lingering, HttpActivity::Silent, HttpActivity::Idle,
                               HttpActivity::Writing }) {
    auto const oldest = FindOldest(activity, aFor);
    if (oldest != m_entries.end() && IsSpare(*oldest, aNow)) {
      return oldest;
    }
  }
  return m_entries.end();
}

HttpBudget::Handle HttpBudget::FindLargestRead(Handle aFor, Bytes aHeld)
{
  auto largest = m_entries.end();
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    bool const isCandidate = entry != aFor && !entry->m_isLeaving && IsReading(entry->m_activity) &&
                             entry->Held() >= aHeld;
    if (isCandidate &&
        (largest == m_entries.end() || std::tuple(entry->Held(), largest->m_since) >
                                         std::tuple(largest->Held(), entry->m_since))) {
      largest = entry;
    }
  }
  return largest;
}

HttpBudget::Handle HttpBudget::FindOldest(HttpActivity aActivity, Handle aFor)
{
  auto oldest = m_entries.end();
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    bool const isCandidate = entry != aFor && !entry->m_isLeaving && entry->m_activity == aActivity;
    if (isCandidate && (oldest == m_entries.end() || entry->m_since < oldest->m_since)) {
      oldest = entry;
    }
  }
  return oldest;
}

HttpBudget::Handle HttpBudget::FindStalled(Handle aFor, Instant aNow)
{
  auto const writing = FindOldest(HttpActivity::Writing, aFor);
  bool const isStalled =
    writing != m_entries.end() && aNow - writing->m_since >= m_limits.m_stalledWrite;
  return isStalled ? writing : m_entries.end();
}

void HttpBudget::Cut(Handle aEntry)
{
  ++m_counts.m_cut[Index(aEntry->m_activity)];
  Discount(*aEntry);
  aEntry->m_isLeaving = true;
  aEntry->m_cut();
}

HttpBudget::Usage HttpBudget::Measure() const
{
  Usage usage;
  for (auto const& entry : m_entries) {
    usage.m_connections += HttpBudgetEntry::kConnectionBytes;
    usage.m_requests += entry.m_request;
    usage.m_responses += entry.m_response;
    ++usage.m_byActivity[Index(entry.m_activity)];
  }
  return usage;
}

} // namespace sardinefold::base
