#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/EngineTypes.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::caller {

/// The model that a request names, and the adapter if it names one.
struct ModelChoice
{
  base::ModelId m_model;
  std::optional<base::AdapterId> m_adapter;

  friend bool operator==(ModelChoice const&, ModelChoice const&) = default;
  friend auto operator<=>(ModelChoice const&, ModelChoice const&) = default;
};

/// Number of tokens of a request as stated by its caller.
struct TokenCount
{
  base::Tokens m_prompt;
  base::Tokens m_maximumOutput;

  base::Tokens Total() const { return m_prompt + m_maximumOutput; }
};

/// Position in a stream of events; the next event has a higher one.
using EventNumber = base::Ordinal<struct EventNumberTag>;

/// The properties of a request that determine how it is forwarded; the request
/// itself is forwarded unchanged.
struct ForwardRequest
{
  static constexpr std::size_t kMaximumSharedParts = 16;

  /// Identifies one request of a caller; a retry by the caller has another
  /// identifier.
  base::RequestId m_id;
  std::string m_host;
  std::optional<std::string> m_key;
  /// How long the caller waits, measured from the request's arrival.
  std::optional<base::Duration> m_deadline;
  std::optional<ModelChoice> m_model;
  std::optional<TokenCount> m_tokens;
  /// The first parts of the prompt, in order, which other requests may share; at
  /// most kMaximumSharedParts.
  std::vector<base::PromptPartId> m_sharedParts;
  /// The caller resumes a stream after this event.
  std::optional<EventNumber> m_resumeAfter;
  /// The request whose response held the first event of that stream.
  std::optional<base::RequestId> m_resumes;
};

/// The parameters with which a request is sent to one engine.
struct ForwardParameters
{
  static constexpr unsigned kMinimumUrgency = 9;

  engine::InstanceId m_instance;
  base::Duration m_timeLeft{};
  std::optional<base::WorkspaceId> m_workspace;
  /// From 0, the most urgent, to kMinimumUrgency, the least urgent.
  unsigned m_urgency = 5;
  std::optional<EventNumber> m_resumeAfter;
};

/// Requests at an upstream at the time of its response.
struct UpstreamLoad
{
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  /// How long work takes on the upstream's host at that moment; 1 is as usual. Absent
  /// if the response does not tell.
  std::optional<double> m_slowdown;
};

/// The contents of the head of an engine's response.
struct UpstreamResponseHead
{
  unsigned m_status = 0;
  /// The response is for this request. Otherwise it may be for an earlier one on the
  /// connection, so that it says nothing about this one.
  bool m_isForRequest = false;
  /// The engine states that it did not run the request.
  bool m_isNotRun = false;
  /// The response carries the header that marks engine responses, and names
  /// this request.
  bool m_isGenuine = false;
  /// Another engine listens at the address.
  bool m_isWrongEngine = false;
  /// The body has a content encoding, so it is not the engine's original
  /// output.
  bool m_isEncoded = false;
  std::optional<UpstreamLoad> m_load;

  bool IsSuccess() const { return m_status >= 200 && m_status < 300; }
};

} // namespace sardinefold::caller
