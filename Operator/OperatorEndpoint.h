#pragma once

#include "Base/Http/HttpExchange.h"
#include "Base/Json.h"
#include "Operator/DocumentCodec.h"
#include "Operator/DocumentStoreClient.h"

#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace sardinefold::operators {

/// Path prefix of the operator interface; see docs/OPERATOR-API.md.
inline constexpr char kOperatorPrefix[] = "/operator/v1/";
/// Identifies one attempt to apply a document, so that it can be sent again.
inline constexpr char kPublicationHeader[] = "Sardinefold-Publication";
inline constexpr char kAuthorHeader[] = "Sardinefold-Author";
/// The version that a document was promoted from, as ENVIRONMENT@VERSION.
inline constexpr char kSourceHeader[] = "Sardinefold-Source";

/// A parsed request of the operator interface.
struct OperatorRequest
{
  enum class Action
  {
    ReadDocument,
    ReadHistory,
    Apply,
    ReadStatus
  };
  Action m_action;
  base::EnvironmentId m_environment;
  /// The version that ReadDocument reads; 0 stands for the one in force.
  base::DocumentVersion m_version;
};

/// Checks an operator's token in constant time. If aToken is empty, every
/// request is rejected.
bool IsAuthorized(base::HttpRequest const& aRequest, std::string const& aToken);
/// Parses a request, or returns the response that refuses it.
tl::expected<OperatorRequest, base::HttpResponse> ReadOperatorRequest(
  base::HttpRequest const& aRequest);
/// Builds a publication from the document and the headers of a request, or
/// returns the response that refuses it.
tl::expected<PublicationRequest, base::HttpResponse> ReadPublication(
  base::HttpRequest const& aRequest, base::EnvironmentId const& aEnvironment, base::WallTime aNow);
base::HttpResponse RenderOperatorError(unsigned aStatus, std::string const& aCode,
                                       std::string const& aMessage);
base::HttpResponse RenderPublished(PublishedStep const& aStep);
base::HttpResponse RenderFailure(PublicationFailure const& aFailure);
base::HttpResponse RenderHistory(Manifest const& aManifest);

/// Serves the operator interface over HTTP.
template<objectstore::ObjectStore Store>
class OperatorEndpoint
{
public:
  /// Renders the state of the fleet as JSON text.
  using Status = std::function<boost::asio::awaitable<std::string>()>;

  OperatorEndpoint(base::EventLoop& aLoop, Store& aStore, std::string aToken, Status aStatus)
    : m_loop(aLoop)
    , m_documents(aLoop, aStore)
    , m_token(std::move(aToken))
    , m_status(std::move(aStatus))
  {
  }

  boost::asio::awaitable<base::HttpResponse> HandleRequest(base::HttpRequest const& aRequest)
  {
    if (!IsAuthorized(aRequest, m_token)) {
      co_return RenderOperatorError(401, "unauthorized", "the operator token is missing or wrong");
    }
    auto const request = ReadOperatorRequest(aRequest);
    if (!request) {
      co_return request.error();
    }
    switch (request->m_action) {
      case OperatorRequest::Action::ReadStatus:
        co_return base::JsonResponse(200, co_await m_status());
      case OperatorRequest::Action::Apply:
        co_return co_await Apply(aRequest, request->m_environment);
      case OperatorRequest::Action::ReadDocument:
      case OperatorRequest::Action::ReadHistory:
        break;
    }
    co_return co_await Read(*request);
  }

private:
  /// Longest time that a caller waits for the response.
  static constexpr base::Duration kPublicationTimeout = std::chrono::seconds(20);

  boost::asio::awaitable<base::HttpResponse> Apply(base::HttpRequest const& aRequest,
                                                   base::EnvironmentId const& aEnvironment)
  {
    auto publication = ReadPublication(aRequest, aEnvironment, m_loop.WallNow());
    if (!publication) {
      co_return publication.error();
    }
    auto const published =
      co_await m_documents.Publish(std::move(*publication), kPublicationTimeout);
    co_return published ? RenderPublished(*published) : RenderFailure(published.error());
  }

  boost::asio::awaitable<base::HttpResponse> Read(OperatorRequest const& aRequest)
  {
    auto environment = aRequest.m_environment;
    auto const manifest = co_await m_documents.ReadManifest(environment);
    if (!manifest) {
      co_return RenderOperatorError(503, "platform_unavailable", manifest.error().m_message);
    }
    if (!*manifest) {
      co_return RenderOperatorError(404, "no_document", "the environment has no document");
    }
    auto const& stored = (*manifest)->m_manifest;
    if (aRequest.m_action == OperatorRequest::Action::ReadHistory) {
      co_return RenderHistory(stored);
    }
    bool const isCurrent = aRequest.m_version == base::DocumentVersion(0);
    auto const* record = isCurrent ? &stored.Current() : stored.Find(aRequest.m_version);
    if (!record) {
      co_return RenderOperatorError(404, "no_version", "the history does not have this version");
    }
    auto const version = *record;
    auto const document = co_await m_documents.ReadDocument(environment, version);
    if (!document) {
      co_return RenderOperatorError(503, "platform_unavailable", document.error().m_message);
    }
    co_return base::JsonResponse(200, RenderDocument(*document));
  }

  base::EventLoop& m_loop;
  DocumentStoreClient<Store> m_documents;
  std::string m_token;
  Status m_status;
};

} // namespace sardinefold::operators
