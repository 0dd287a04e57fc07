#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Operator/Document.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace sardinefold::programs {

/// Reason why a command failed.
struct ControlError
{
  enum class Kind
  {
    /// An argument is invalid or a file cannot be read.
    Usage,
    /// The document is not valid.
    Invalid,
    /// The version in force is not the one that the document is based on.
    Conflict,
    /// No entry could be reached, or it refused.
    Failed,
    /// The change may have taken effect.
    Unknown,
    /// Not all processes applied the version within the time limit.
    Behind
  };
  Kind m_kind;
  std::string m_message;
};

template<typename Value>
using ControlResult = tl::expected<Value, ControlError>;
template<typename Value>
using ControlTask = boost::asio::awaitable<ControlResult<Value>>;

/// Calls the operator interface of an entry.
class ControlClient
{
public:
  struct Settings
  {
    base::Endpoint m_entry;
    std::string m_token;
    std::string m_author;
  };

  ControlClient(base::EventLoop& aLoop, Settings aSettings);

  base::EventLoop& Loop() { return m_loop; }
  /// Reads a version of an environment's document; 0 stands for the one in force.
  /// Returns none if the environment has no document.
  ControlTask<std::optional<operators::Document>> ReadDocument(base::EnvironmentId aEnvironment,
                                                               base::DocumentVersion aVersion);
  ControlTask<Json::Value> ReadHistory(base::EnvironmentId aEnvironment);
  ControlTask<Json::Value> ReadStatus();
  /// Applies a document on top of the version that it names. aSource is
  /// ENVIRONMENT@VERSION for a promotion, and otherwise empty.
  ControlTask<Json::Value> Apply(operators::Document const& aDocument, std::string aSource);

private:
  ControlTask<base::HttpResponse> Send(base::HttpRequest aRequest);
  ControlTask<Json::Value> ReadJson(std::string aPath);

  base::EventLoop& m_loop;
  Settings m_settings;
  base::HttpClient m_http;
};

} // namespace sardinefold::programs
