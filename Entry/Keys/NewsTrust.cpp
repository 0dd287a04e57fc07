#include "Entry/Keys/NewsTrust.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Older statements say nothing that a verdict could use.
constexpr base::Duration kLongestAge = std::chrono::hours(24);

} // namespace

NewsTrust::NewsTrust(base::HostId aSelf, NewsPolicy aPolicy)
  : m_self(std::move(aSelf))
  , m_policy(aPolicy)
{
}

void NewsTrust::SetInForce(base::DocumentVersion aVersion)
{
  m_inForce = std::max(m_inForce, aVersion);
  m_newest = std::max(m_newest, aVersion);
}

void NewsTrust::SetListed(std::set<base::HostId> aHosts)
{
  m_listed = std::move(aHosts);
  std::erase_if(m_heard, [this](auto const& aItem) { return !m_listed.contains(aItem.first); });
  std::erase_if(m_gone, [this](auto const& aHost) { return !m_listed.contains(aHost); });
}

void NewsTrust::ConfirmGone(base::HostId const& aHost)
{
  m_gone.insert(aHost);
}

void NewsTrust::NoteFresh(base::DocumentVersion aVersion, base::Instant aAt)
{
  m_newest = std::max(m_newest, aVersion);
  m_freshAt = std::max(m_freshAt, aAt);
}

void NewsTrust::HeardPlatform(base::DocumentVersion aVersion, base::Instant aAskedAt)
{
  NoteFresh(aVersion, aAskedAt);
}

void NewsTrust::Heard(NewsStatement const& aStatement, base::Instant aAskedAt)
{
  m_newest = std::max(m_newest, aStatement.m_version);
  base::Duration const age = std::clamp(aStatement.m_statementAge, base::Duration(), kLongestAge);
  base::Duration const platformAge =
    std::clamp(aStatement.m_platformAge, base::Duration(), kLongestAge);
  base::Instant const saidAt = aAskedAt - age;
  NoteFresh(aStatement.m_version, saidAt - platformAge);
  if (aStatement.m_host == m_self) {
    return;
  }
  PeerNews& news = m_heard[aStatement.m_host];
  if (news.m_saidAt > saidAt) {
    return;
  }
  news = { std::max(news.m_version, aStatement.m_version), saidAt - platformAge, saidAt };
  m_gone.erase(aStatement.m_host);
}

base::Instant NewsTrust::HeardAllAt() const
{
  base::Instant earliest = base::Instant::max();
  for (base::HostId const& host : m_listed) {
    if (host == m_self || m_gone.contains(host)) {
      continue;
    }
    auto const heard = m_heard.find(host);
    if (heard == m_heard.end()) {
      return base::Instant::min();
    }
    earliest = std::min(earliest, heard->second.m_saidAt);
  }
  return earliest;
}

NewsVerdict NewsTrust::Verdict(base::Instant aNow) const
{
  if (m_newest > m_inForce) {
    return NewsVerdict::Behind;
  }
  base::Instant const freshEnd = aNow - m_policy.m_freshLimit;
  if (m_freshAt >= freshEnd) {
    return NewsVerdict::Fresh;
  }
  // NOTE: A process that was never listed any peers can't tell an outage from
  // being cut off.
  bool const hasPeers =
    std::ranges::any_of(m_listed, [this](base::HostId const& aHost) { return aHost != m_self; });
  bool const wasEverFresh = m_freshAt != base::Instant::min();
  if (!wasEverFresh || (!hasPeers && !m_listed.contains(m_self))) {
    return NewsVerdict::CutOff;
  }
  base::Instant const heardAllAt = HeardAllAt();
  if (heardAllAt >= freshEnd) {
    return NewsVerdict::SharedOutage;
  }
  base::Instant const lastComplete = std::max(m_freshAt, heardAllAt);
  return lastComplete >= freshEnd - m_policy.m_unheardGrace ? NewsVerdict::Grace
                                                            : NewsVerdict::CutOff;
}

std::vector<NewsStatement> NewsTrust::Statements(base::Instant aNow) const
{
  base::Duration const ownAge =
    m_freshAt == base::Instant::min() ? kLongestAge : std::min(aNow - m_freshAt, kLongestAge);
  std::vector<NewsStatement> statements{ { m_self, m_newest, ownAge, {} } };
  for (auto const& [host, news] : m_heard) {
    base::Duration const age = aNow - news.m_saidAt;
    if (age <= m_policy.m_freshLimit) {
      statements.push_back({ host, news.m_version, news.m_saidAt - news.m_platformAt, age });
    }
  }
  return statements;
}

} // namespace sardinefold::entry
