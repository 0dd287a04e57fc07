#pragma once

#include "Base/Time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::programs {

/// Requests of one workspace and class, sent at random times with a fixed mean
/// rate, whether or not earlier ones have been answered.
struct LoadStream
{
  std::string m_workspace;
  std::string m_class;
  std::string m_path;
  std::string m_key;
  /// Models to request, each with the same probability; empty for services.
  std::vector<std::string> m_models;
  double m_requestsPerSecond = 1;
  unsigned m_promptWords = 20;
  unsigned m_maximumTokens = 32;
  bool m_isStream = true;
  /// Sends a fresh Idempotency-Key with each request.
  bool m_hasIdempotencyKeys = false;
};

/// Request streams and how long to send them.
struct LoadPlan
{
  base::Duration m_duration{};
  std::vector<LoadStream> m_streams;
};

/// Reads a plan; the error names the field and what was expected.
tl::expected<LoadPlan, std::string> ParseLoadPlan(std::string_view aText);

} // namespace sardinefold::programs
