#pragma once

#include "Base/Identifier.h"

namespace sardinefold::base {

/// A customer of the fleet; keys, rates and bursts belong to it.
using WorkspaceId = Identifier<struct WorkspaceTag>;
/// A machine, as the platform's list names it.
using HostId = Identifier<struct HostTag>;
/// A set of hosts that can be lost together.
using FailureDomainId = Identifier<struct FailureDomainTag>;
/// A set of failure domains with short links between them.
using RegionId = Identifier<struct RegionTag>;
/// A back end: a model engine or a plain service.
using UpstreamId = Identifier<struct UpstreamTag>;
/// A set of interchangeable upstreams that serve the same routes.
using DeploymentId = Identifier<struct DeploymentTag>;
/// A base model.
using ModelId = Identifier<struct ModelTag>;
/// A fine-tuned adapter of a base model.
using AdapterId = Identifier<struct AdapterTag>;
/// A route of the operator's document.
using RouteId = Identifier<struct RouteTag>;
/// The public name of a key; never the secret itself.
using KeyId = Identifier<struct KeyTag>;
/// One request of a caller, unique in the fleet.
using RequestId = Identifier<struct RequestTag>;
/// One exchange between an entry and an agent; a retry is another exchange.
using CorrelationId = Identifier<struct CorrelationTag>;
/// Hash of workspace, route and Idempotency-Key: names the claim of a request
/// that may not run twice.
using ClaimId = Identifier<struct ClaimTag>;
/// Hash of a request's body, the same for each time that its caller sends it.
using FingerprintId = Identifier<struct FingerprintTag>;
/// A caller's Idempotency-Key.
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
/// A conversation whose requests share a prompt prefix.
using SessionId = Identifier<struct SessionTag>;
/// An environment of the operator's document, such as trial or production.
using EnvironmentId = Identifier<struct EnvironmentTag>;
/// One life of one process: drawn at random at each start.
using IncarnationId = Identifier<struct IncarnationTag>;

} // namespace sardinefold::base
