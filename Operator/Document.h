#pragma once

#include "Base/Digest.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <map>
#include <string>
#include <string_view>

namespace sardinefold::operators {

/// Priority classes, highest first: under load, a class yields to those before
/// it.
enum class RequestClass
{
  Interactive,
  Standard,
  Batch
};

std::string_view ToText(RequestClass aClass);

/// A base model that the environment serves.
struct ModelSpec
{
  base::ModelId m_id;
  base::DeploymentId m_deployment;
  /// Accelerator memory of one replica's weights.
  base::Bytes m_weights;
  /// Accelerator memory that one replica reserves for its KV cache.
  base::Bytes m_cache;
  /// Maximum length of prompt and response together.
  base::Tokens m_contextTokens;
  unsigned m_minimumReplicas = 0;
  unsigned m_maximumReplicas = 1;

  friend bool operator==(ModelSpec const&, ModelSpec const&) = default;
};

/// A fine-tuned adapter; a request may name it in place of its model.
struct AdapterSpec
{
  base::AdapterId m_id;
  base::ModelId m_model;
  base::Bytes m_weights;

  friend bool operator==(AdapterSpec const&, AdapterSpec const&) = default;
};

/// A customer with its token allowance, which applies to the whole fleet.
struct WorkspaceSpec
{
  base::WorkspaceId m_id;
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;

  friend bool operator==(WorkspaceSpec const&, WorkspaceSpec const&) = default;
};

/// An API key of a workspace; the document contains only its hash.
struct KeySpec
{
  base::KeyId m_id;
  base::WorkspaceId m_workspace;
  base::Sha256Value m_hash;

  friend bool operator==(KeySpec const&, KeySpec const&) = default;
};

enum class UpstreamKind
{
  Engine,
  Service
};

std::string_view ToText(UpstreamKind aKind);

/// A back end on the host of one agent.
struct UpstreamSpec
{
  base::UpstreamId m_id;
  base::DeploymentId m_deployment;
  base::HostId m_host;
  UpstreamKind m_kind = UpstreamKind::Engine;
  /// Accelerator memory of an engine; 0 for a service.
  base::Bytes m_memory;
  /// Maximum number of requests that run concurrently.
  unsigned m_concurrency = 1;
  /// Whether the engine rejects orders with an outdated fencing number.
  bool m_checksFencing = false;

  friend bool operator==(UpstreamSpec const&, UpstreamSpec const&) = default;
};

/// Destination and handling of the requests with a path prefix. The routes of
/// the model API have the path prefix "/v1/".
struct RouteSpec
{
  base::RouteId m_id;
  std::string m_pathPrefix;
  base::DeploymentId m_deployment;
  /// Open routes need no key.
  bool m_isOpen = false;
  /// Whether a request may safely run more than once.
  bool m_isRepeatable = true;
  RequestClass m_class = RequestClass::Standard;
  /// Time from the arrival of a request to the first byte of its response.
  base::Duration m_deadline{};

  friend bool operator==(RouteSpec const&, RouteSpec const&) = default;
};

/// The checked document of one environment.
struct Document
{
  base::EnvironmentId m_environment;
  /// In a file, the version that the file is based on; 0 if there is none.
  base::DocumentVersion m_version;
  std::map<base::ModelId, ModelSpec> m_models;
  std::map<base::AdapterId, AdapterSpec> m_adapters;
  std::map<base::WorkspaceId, WorkspaceSpec> m_workspaces;
  std::map<base::KeyId, KeySpec> m_keys;
  std::map<base::UpstreamId, UpstreamSpec> m_upstreams;
  std::map<base::RouteId, RouteSpec> m_routes;
};

} // namespace sardinefold::operators
