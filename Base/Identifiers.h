#pragma once

#include "Base/Identifier.h"

namespace sardinefold::base {

/// A customer of the fleet, which owns keys and has rate and burst limits.
using WorkspaceId = Identifier<struct WorkspaceTag>;
/// A machine, named as in the platform's list.
using HostId = Identifier<struct HostTag>;
/// A set of hosts that can fail together.
using FailureDomainId = Identifier<struct FailureDomainTag>;
/// A set of failure domains with low latency between them.
using RegionId = Identifier<struct RegionTag>;
/// A back end, which is either a model engine or a plain service.
using UpstreamId = Identifier<struct UpstreamTag>;
/// The version of an upstream's software, as the upstream names it.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;
/// A set of interchangeable upstreams that serve the same routes.
using DeploymentId = Identifier<struct DeploymentTag>;
/// A base model.
using ModelId = Identifier<struct ModelTag>;
/// A fine-tuned adapter of a base model.
using AdapterId = Identifier<struct AdapterTag>;
/// A route of the operator's document.
using RouteId = Identifier<struct RouteTag>;
/// The public name of an API key, never its secret.
using KeyId = Identifier<struct KeyTag>;
/// A caller's request, unique in the fleet.
using RequestId = Identifier<struct RequestTag>;
/// One exchange between an entry and an agent. A retry is a new exchange.
using CorrelationId = Identifier<struct CorrelationTag>;
/// A hash of workspace, route and Idempotency-Key. It names the claim of a request
/// that must not run twice.
using ClaimId = Identifier<struct ClaimTag>;
/// A hash of a request's body, equal for all resends of the request.
using FingerprintId = Identifier<struct FingerprintTag>;
/// A part of a prompt that many requests may share.
using PromptPartId = Identifier<struct PromptPartTag>;
/// A caller's Idempotency-Key.
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
/// A conversation whose requests share a prompt prefix.
using SessionId = Identifier<struct SessionTag>;
/// An environment of the operator's document, such as trial or production.
using EnvironmentId = Identifier<struct EnvironmentTag>;
/// One run of a process, generated at random at each start.
using IncarnationId = Identifier<struct IncarnationTag>;

} // namespace sardinefold::base
