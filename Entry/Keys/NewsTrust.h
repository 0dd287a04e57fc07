#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace sardinefold::entry {

/// What one process says about its news, possibly passed on by others.
struct NewsStatement
{
  base::HostId m_host;
  /// Newest version that it has heard of, in force or not.
  base::DocumentVersion m_version;
  /// Time since the state of the platform on which that version is based.
  base::Duration m_platformAge{};
  /// Time since it said so.
  base::Duration m_statementAge{};
};

/// How long keys are honoured without fresh news.
struct NewsPolicy
{
  /// News older than this is not fresh. The sum of this and the time to pass a
  /// version on bounds how long a withdrawn key works.
  base::Duration m_freshLimit = std::chrono::milliseconds(1500);
  /// During an outage of the platform: how long a process honours keys although
  /// it does not hear every listed entry. Longer than zero, a withdrawal that an
  /// unheard entry accepted takes effect this much later here.
  base::Duration m_unheardGrace = std::chrono::seconds(3);
};

/// Why keys are or are not honoured at the moment.
enum class NewsVerdict
{
  /// News of the platform itself, direct or through a peer, is fresh.
  Fresh,
  /// Every listed entry has lately said that it has nothing newer, so that no
  /// withdrawal can have been accepted.
  SharedOutage,
  /// Some entry is unheard, and the policy's grace has not run out.
  Grace,
  /// A withdrawal may exist that this process has not heard of.
  CutOff,
  /// A newer version exists that is not in force here.
  Behind
};

inline bool IsTrusted(NewsVerdict aVerdict)
{
  return aVerdict == NewsVerdict::Fresh || aVerdict == NewsVerdict::SharedOutage ||
         aVerdict == NewsVerdict::Grace;
}

/// Decides whether the keys in force may be honoured, telling an outage of the
/// platform that all entries share from being cut off alone.
///
/// Operators reach the platform only through entries, so whoever accepts a
/// withdrawal is a listed entry and says so when asked. Ages count from before
/// the question was sent, so that a late answer is never taken for a new one.
class NewsTrust
{
public:
  NewsTrust(base::HostId aSelf, NewsPolicy aPolicy);

  /// The version now in force in this process.
  void SetInForce(base::DocumentVersion aVersion);
  /// Entries by the platform's latest list, this process included or not.
  void SetListed(std::set<base::HostId> aHosts);
  /// No process listens at the host's address: it answers that it refuses.
  void ConfirmGone(base::HostId const& aHost);
  /// A read of the platform that began at the given time gave this version.
  void HeardPlatform(base::DocumentVersion aVersion, base::Instant aAskedAt);
  /// An answer to a question that was sent at the given time.
  void Heard(NewsStatement const& aStatement, base::Instant aAskedAt);

  NewsVerdict Verdict(base::Instant aNow) const;
  /// What this process says when asked: of itself, and of those it has heard.
  std::vector<NewsStatement> Statements(base::Instant aNow) const;

private:
  struct PeerNews
  {
    base::DocumentVersion m_version;
    base::Instant m_platformAt;
    base::Instant m_saidAt;
  };

  void NoteFresh(base::DocumentVersion aVersion, base::Instant aAt);
  /// The earliest of the listed entries' latest statements.
  base::Instant HeardAllAt() const;

  base::HostId m_self;
  NewsPolicy m_policy;
  base::DocumentVersion m_inForce;
  base::DocumentVersion m_newest;
  base::Instant m_freshAt = base::Instant::min();
  std::set<base::HostId> m_listed;
  std::set<base::HostId> m_gone;
  std::map<base::HostId, PeerNews> m_heard;
};

} // namespace sardinefold::entry
