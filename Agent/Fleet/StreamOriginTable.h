#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>

namespace sardinefold::agent {

/// Which software began a stream. What another version of it writes does not continue the
/// stream.
struct StreamOrigin
{
  /// The request whose response holds the first event.
  base::RequestId m_request;
  base::DeploymentId m_deployment;
  /// Empty if the upstream states none.
  base::SoftwareVersion m_version;

  friend bool operator==(StreamOrigin const&, StreamOrigin const&) = default;
};

struct StreamOriginLimits
{
  /// Callers resume a stream within the time limit of their request.
  base::Duration m_retention = std::chrono::minutes(1);
  std::size_t m_maximumCount = 20'000;
};

/// The origins of streams, each kept for some time after it was last told.
class StreamOriginTable
{
public:
  explicit StreamOriginTable(StreamOriginLimits aLimits = {})
    : m_limits(aLimits)
  {
  }

  void Record(StreamOrigin const& aOrigin, base::Instant aNow);
  /// Returns nothing if the origin is not known, or if several were told.
  std::optional<StreamOrigin> Find(base::RequestId const& aRequest, base::Instant aNow) const;
  std::size_t Size() const { return m_entries.size(); }

private:
  using Order = std::list<base::RequestId>;
  struct Entry
  {
    StreamOrigin m_origin;
    base::Instant m_toldAt{};
    bool m_isAmbiguous = false;
    Order::iterator m_place;
  };

  void Expire(base::Instant aNow);

  StreamOriginLimits m_limits;
  std::map<base::RequestId, Entry> m_entries;
  /// The one that was told longest ago comes first.
  Order m_order;
};

} // namespace sardinefold::agent
