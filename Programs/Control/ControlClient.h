#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Operator/Document.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace sardinefold::programs {

/// Why an entry did not do what it was asked to.
struct ControlError
{
  enum class Kind
  {
    /// The arguments or a file cannot be used.
    Usage,
    /// The document is not valid.
    Invalid,
    /// Another version is in force than the document was made from.
    Conflict,
    /// No entry could be reached, or it refused.
    Failed,
    /// The change may have taken effect.
    Unknown,
    /// Not all processes have the version in force in the time given.
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
  /// A version of an environment's document; 0 for the one in force. None if
  /// the environment has no document.
  ControlTask<std::optional<operators::Document>> ReadDocument(base::EnvironmentId aEnvironment,
                                                               base::DocumentVersion aVersion);
  ControlTask<Json::Value> ReadHistory(base::EnvironmentId aEnvironment);
  ControlTask<Json::Value> ReadStatus();
  /// Puts a document in force on top of the version that it names. The source
  /// is ENVIRONMENT@VERSION of a promotion, or empty.
  ControlTask<Json::Value> Apply(operators::Document const& aDocument, std::string aSource);

private:
  ControlTask<base::HttpResponse> Send(base::HttpRequest aRequest);
  ControlTask<Json::Value> ReadJson(std::string aPath);

  base::EventLoop& m_loop;
  Settings m_settings;
  base::HttpClient m_http;
};

} // namespace sardinefold::programs
