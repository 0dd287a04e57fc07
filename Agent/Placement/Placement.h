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
  /// Must unload the model and confirm it; counts until then.
  Revoking
};

struct Holder
{
  base::UpstreamId m_upstream;
  HolderState m_state = HolderState::Granted;
  /// Loaded ahead of requests and kept while idle.
  bool m_isKeptWarm = false;

  friend bool operator==(Holder const&, Holder const&) = default;
};

/// Which upstreams may hold a replica of a model: the platform's `placement`
/// object. It names at most m_decided upstreams, those being revoked included,
/// so no more replicas are loaded than were decided.
struct Placement
{
  base::ModelId m_model;
  unsigned m_decided = 0;
  std::vector<Holder> m_holders;

  Holder const* Find(base::UpstreamId const& aUpstream) const;
  /// Takes an upstream out whose agent has confirmed the unload or whose host
  /// is gone for good; false when it may not leave.
  bool Remove(base::UpstreamId const& aUpstream);

  friend bool operator==(Placement const&, Placement const&) = default;
};

/// A placement as read, with the version that an update must name; none when
/// the object does not exist yet.
struct VersionedPlacement
{
  Placement m_placement;
  std::optional<base::ObjectVersion> m_version;
};

} // namespace sardinefold::agent
