#include "Operator/OperatorEndpoint.h"

#include <charconv>

namespace sardinefold::operators {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kEnvironmentsPrefix = "environments/";

std::optional<base::DocumentVersion> ParseVersion(std::string_view aText)
{
  std::uint64_t value = 0;
  auto const parsed = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  bool const isValid = parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
  return isValid ? std::optional(base::DocumentVersion(value)) : std::nullopt;
}

tl::unexpected<base::HttpResponse> Refuse(unsigned aStatus, std::string const& aCode,
                                          std::string const& aMessage)
{
  return tl::make_unexpected(RenderOperatorError(aStatus, aCode, aMessage));
}

Json::Value WriteProblems(DocumentProblems const& aProblems)
{
  Json::Value list(Json::arrayValue);
  for (auto const& problem : aProblems) {
    Json::Value entry;
    entry["path"] = problem.m_path;
    entry["message"] = problem.m_message;
    list.append(std::move(entry));
  }
  return list;
}

/// Reads an identifier from a header, or returns the response that refuses the
/// request.
template<typename Id>
tl::expected<Id, base::HttpResponse> ReadHeader(base::HttpRequest const& aRequest,
                                                std::string const& aName)
{
  auto id = Id::Create(aRequest.m_headers.Find(aName).value_or(std::string_view()));
  if (!id) {
    return Refuse(400, "bad_header", aName + " " + std::string(ToText(id.error())));
  }
  return std::move(*id);
}

tl::expected<std::optional<VersionSource>, base::HttpResponse> ReadSource(
  base::HttpRequest const& aRequest)
{
  auto const text = aRequest.m_headers.Find(kSourceHeader);
  if (!text) {
    return std::nullopt;
  }
  auto const at = text->rfind('@');
  auto const environment = base::EnvironmentId::Create(text->substr(0, at));
  auto const version =
    at == std::string_view::npos ? std::nullopt : ParseVersion(text->substr(at + 1));
  if (!environment || !version) {
    return Refuse(400, "bad_header", std::string(kSourceHeader) + ": expected ENVIRONMENT@VERSION");
  }
  return VersionSource{ *environment, *version };
}

} // namespace

bool IsAuthorized(base::HttpRequest const& aRequest, std::string const& aToken)
{
  auto const header = aRequest.m_headers.Find("Authorization").value_or(std::string_view());
  if (aToken.empty() || !header.starts_with(kBearerPrefix)) {
    return false;
  }
  auto const given = base::Sha256(header.substr(kBearerPrefix.size()));
  return base::EqualInConstantTime(given, base::Sha256(aToken));
}

tl::expected<OperatorRequest, base::HttpResponse> ReadOperatorRequest(
  base::HttpRequest const& aRequest)
{
  auto remaining = aRequest.Path();
  remaining.remove_prefix(std::min(remaining.size(), std::string_view(kOperatorPrefix).size()));
  bool const isGet = aRequest.m_method == "GET";
  if (remaining == "status" && isGet) {
    return OperatorRequest{ OperatorRequest::Action::ReadStatus, {}, {} };
  }
  auto const slash = remaining.rfind('/');
  if (!remaining.starts_with(kEnvironmentsPrefix) || slash < kEnvironmentsPrefix.size()) {
    return Refuse(404, "not_found", "no such path");
  }
  auto const name =
    remaining.substr(kEnvironmentsPrefix.size(), slash - kEnvironmentsPrefix.size());
  auto const environment = base::EnvironmentId::Create(name);
  if (!environment) {
    return Refuse(400, "bad_environment",
                  "the environment's name " + std::string(ToText(environment.error())));
  }
  auto const resource = remaining.substr(slash + 1);
  if (resource == "history" && isGet) {
    return OperatorRequest{ OperatorRequest::Action::ReadHistory, *environment, {} };
  }
  if (resource == "document" && isGet) {
    auto const version = ParseVersion(aRequest.Query("version").value_or("0"));
    if (!version) {
      return Refuse(400, "bad_version", "version: expected a whole number");
    }
    return OperatorRequest{ OperatorRequest::Action::ReadDocument, *environment, *version };
  }
  if (resource == "document" && aRequest.m_method == "PUT") {
    return OperatorRequest{ OperatorRequest::Action::Apply, *environment, {} };
  }
  return Refuse(404, "not_found", "no such path or method");
}

tl::expected<PublicationRequest, base::HttpResponse> ReadPublication(
  base::HttpRequest const& aRequest, base::EnvironmentId const& aEnvironment, base::WallTime aNow)
{
  auto const document = ParseDocument(aRequest.m_body);
  if (!document) {
    Json::Value body;
    body["error"]["code"] = "invalid_document";
    body["error"]["message"] = "the document is not valid";
    body["error"]["problems"] = WriteProblems(document.error());
    return tl::make_unexpected(base::JsonResponse(400, base::RenderJson(body)));
  }
  if (document->m_environment != aEnvironment) {
    return Refuse(400, "wrong_environment",
                  "the document belongs to environment \"" + document->m_environment.Text() + "\"");
  }
  auto id = ReadHeader<PublicationId>(aRequest, kPublicationHeader);
  auto author = ReadHeader<AuthorId>(aRequest, kAuthorHeader);
  auto source = ReadSource(aRequest);
  if (!id || !author || !source) {
    return tl::make_unexpected(!id ? id.error() : !author ? author.error() : source.error());
  }
  auto chunked = SplitDocument(*document);
  PublicationRequest request;
  request.m_environment = aEnvironment;
  request.m_base = document->m_version;
  request.m_root = std::move(chunked.m_root);
  request.m_chunks = std::move(chunked.m_chunks);
  request.m_id = std::move(*id);
  request.m_author = std::move(*author);
  request.m_time = aNow;
  request.m_source = std::move(*source);
  return request;
}

base::HttpResponse RenderOperatorError(unsigned aStatus, std::string const& aCode,
                                       std::string const& aMessage)
{
  Json::Value body;
  body["error"]["code"] = aCode;
  body["error"]["message"] = aMessage;
  return base::JsonResponse(aStatus, base::RenderJson(body));
}

base::HttpResponse RenderPublished(PublishedStep const& aStep)
{
  auto body = WriteVersionRecord(aStep.m_record);
  body["changed"] = aStep.m_isNew;
  return base::JsonResponse(200, base::RenderJson(body));
}

base::HttpResponse RenderFailure(PublicationFailure const& aFailure)
{
  Json::Value body;
  unsigned status = 503;
  body["error"]["code"] = "not_published";
  if (aFailure.m_kind == PublicationFailure::Kind::Conflict) {
    status = 409;
    body["error"]["code"] = "conflict";
  } else if (aFailure.m_kind == PublicationFailure::Kind::Unknown) {
    status = 504;
    body["error"]["code"] = "unknown";
  }
  body["error"]["message"] = aFailure.m_message;
  if (aFailure.m_inForce) {
    body["error"]["in_force"] = WriteVersionRecord(*aFailure.m_inForce);
  }
  return base::JsonResponse(status, base::RenderJson(body));
}

base::HttpResponse RenderHistory(Manifest const& aManifest)
{
  return base::JsonResponse(200, RenderManifest(aManifest));
}

} // namespace sardinefold::operators
