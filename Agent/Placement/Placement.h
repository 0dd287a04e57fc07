#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <optional>
#include <vector>

namespace sardinefold::agent {

/// Whether an upstream named in a placement may load the model.
enum class HolderState
{
  Granted,
  /// The upstream must unload the model and confirm it; counts as a holder
  /// until then.
  Revoking
};

struct Holder
{
  base::UpstreamId m_upstream;
  HolderState m_state = HolderState::Granted;
  /// Loaded before requests arrive and kept while idle.
  bool m_isKeptWarm = false;

  friend bool operator==(Holder const&, Holder const&) = default;
};

/// Which upstreams may hold a replica of a model; stored as the platform's
/// `placement` object. It lists at most m_decided upstreams, including those
/// being revoked, so no more replicas are loaded than were decided.
struct Placement
{
  base::ModelId m_model;
  unsigned m_decided = 0;
  std::vector<Holder> m_holders;

  Holder const* Find(base::UpstreamId const& aUpstream) const;
  /// Removes an upstream whose agent has confirmed the unload or whose host is
  /// permanently gone. Returns false if the upstream is not a holder being
  /// revoked.
  bool Remove(base::UpstreamId const& aUpstream);

  friend bool operator==(Placement const&, Placement const&) = default;
};

/// A placement as read, with the version that a conditional update must name;
/// empty if the object does not exist.
struct VersionedPlacement
{
  Placement m_placement;
  std::optional<base::ObjectVersion> m_version;
};

} // namespace sardinefold::agent
