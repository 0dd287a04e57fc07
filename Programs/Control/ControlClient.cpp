#include "Programs/Control/ControlClient.h"

#include "Base/Digest.h"
#include "Base/Json.h"
#include "Operator/DocumentCodec.h"
#include "Operator/OperatorEndpoint.h"

#include <utility>

namespace sardinefold::programs {

namespace {

/// Longer than an entry takes to determine whether a version was published.
constexpr base::Duration kResponseTimeout = std::chrono::seconds(30);
constexpr std::size_t kPublicationIdBytes = 12;

tl::unexpected<ControlError> Fail(ControlError::Kind aKind, std::string aMessage)
{
  return tl::make_unexpected(ControlError{ aKind, std::move(aMessage) });
}

ControlError::Kind KindOf(unsigned aStatus)
{
  switch (aStatus) {
    case 400:
      return ControlError::Kind::Invalid;
    case 409:
      return ControlError::Kind::Conflict;
    case 504:
      return ControlError::Kind::Unknown;
    default:
      return ControlError::Kind::Failed;
  }
}

ControlError ErrorOf(base::HttpResponse const& aResponse)
{
  ControlError error{ KindOf(aResponse.m_status), {} };
  auto const body = base::ParseJson(aResponse.m_body);
  bool const isReadable = body && body->isObject() && (*body)["error"].isObject();
  if (!isReadable) {
    error.m_message = "the entry answered with status " + std::to_string(aResponse.m_status);
    return error;
  }
  auto const& fields = (*body)["error"];
  error.m_message = fields["message"].asString();
  for (auto const& problem : fields["problems"]) {
    error.m_message += "\n" + problem["path"].asString() + ": " + problem["message"].asString();
  }
  auto const& inForce = fields["in_force"];
  if (inForce.isObject()) {
    error.m_message += " (by " + inForce["author"].asString() + ")";
  }
  return error;
}

std::string EnvironmentPath(base::EnvironmentId const& aEnvironment, std::string const& aResource)
{
  return std::string(operators::kOperatorPrefix) + "environments/" + aEnvironment.Text() + "/" +
         aResource;
}

} // namespace

ControlClient::ControlClient(base::EventLoop& aLoop, Settings aSettings)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_http(aLoop, {})
{
}

ControlTask<base::HttpResponse> ControlClient::Send(base::HttpRequest aRequest)
{
  bool const isChange = aRequest.m_method != "GET";
  aRequest.m_headers.Set("Authorization", "Bearer " + m_settings.m_token);
  aRequest.m_headers.Set("Host", m_settings.m_entry.Text());
  auto endpoint = m_settings.m_entry;
  auto response = co_await m_http.Fetch(std::move(endpoint), std::move(aRequest), kResponseTimeout,
                                        base::Bytes(operators::kMaximumDocumentBytes));
  if (response) {
    co_return std::move(*response);
  }
  auto const& failure = response.error();
  bool const isOutcomeUnknown = isChange && failure.m_mayHaveBeenSent;
  auto const kind = isOutcomeUnknown ? ControlError::Kind::Unknown : ControlError::Kind::Failed;
  co_return Fail(kind, "entry " + m_settings.m_entry.Text() + ": " +
                         std::string(ToText(failure.m_kind)) + ": " + failure.m_detail);
}

ControlTask<Json::Value> ControlClient::ReadJson(std::string aPath)
{
  base::HttpRequest request;
  request.m_target = std::move(aPath);
  auto const response = co_await Send(std::move(request));
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  if (response->m_status != 200) {
    co_return tl::make_unexpected(ErrorOf(*response));
  }
  auto value = base::ParseJson(response->m_body);
  if (!value) {
    co_return Fail(ControlError::Kind::Failed, "the entry's response is " + value.error());
  }
  co_return std::move(*value);
}

ControlTask<std::optional<operators::Document>> ControlClient::ReadDocument(
  base::EnvironmentId aEnvironment, base::DocumentVersion aVersion)
{
  base::HttpRequest request;
  request.m_target =
    EnvironmentPath(aEnvironment, "document") + "?version=" + std::to_string(aVersion.Value());
  auto const response = co_await Send(std::move(request));
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  bool const isAbsent = response->m_status == 404 && aVersion == base::DocumentVersion(0);
  if (isAbsent) {
    co_return std::optional<operators::Document>();
  }
  if (response->m_status != 200) {
    co_return tl::make_unexpected(ErrorOf(*response));
  }
  auto document = operators::ParseDocument(response->m_body);
  if (!document) {
    co_return Fail(ControlError::Kind::Failed,
                   "the entry's document is not valid: " + operators::ToText(document.error()));
  }
  co_return std::move(*document);
}

ControlTask<Json::Value> ControlClient::ReadHistory(base::EnvironmentId aEnvironment)
{
  auto path = EnvironmentPath(aEnvironment, "history");
  co_return co_await ReadJson(std::move(path));
}

ControlTask<Json::Value> ControlClient::ReadStatus()
{
  std::string path = std::string(operators::kOperatorPrefix) + "status";
  co_return co_await ReadJson(std::move(path));
}

ControlTask<Json::Value> ControlClient::Apply(operators::Document const& aDocument,
                                              std::string aSource)
{
  base::HttpRequest request;
  request.m_method = "PUT";
  request.m_target = EnvironmentPath(aDocument.m_environment, "document");
  request.m_headers.Set("Content-Type", "application/json");
  request.m_headers.Set(operators::kAuthorHeader, m_settings.m_author);
  request.m_headers.Set(operators::kPublicationHeader, base::RandomHex(kPublicationIdBytes));
  if (!aSource.empty()) {
    request.m_headers.Set(operators::kSourceHeader, std::move(aSource));
  }
  request.m_body = operators::RenderDocument(aDocument);
  auto response = co_await Send(request);
  // NOTE: Repeating the request with the same publication ID is safe, and resolves
  // a lost response.
  if (!response && response.error().m_kind == ControlError::Kind::Unknown) {
    response = co_await Send(request);
  }
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  if (response->m_status != 200) {
    co_return tl::make_unexpected(ErrorOf(*response));
  }
  auto value = base::ParseJson(response->m_body);
  if (!value) {
    co_return Fail(ControlError::Kind::Unknown, "the entry's response is " + value.error());
  }
  co_return std::move(*value);
}

} // namespace sardinefold::programs
