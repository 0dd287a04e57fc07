#pragma once

#include "Base/Http/HttpMessage.h"
#include "Caller/ForwardRequest.h"
#include "Engine/EngineFacts.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "Operator/ServingCatalog.h"

#include <tl/expected.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::programs {

/// How a site's platform puts on the wire what the gateway and the loader
/// exchange with callers, engines, operators and the object store.
template<typename Wire>
concept ServingWire = requires(base::HttpRequest const& aRequest, base::HttpHeaders const& aHeaders,
                               base::HttpResponse const& aResponse,
                               caller::ForwardTerms const& aTerms, base::RequestId const& aId,
                               std::string const& aText, std::string_view aView,
                               engine::EngineOrderRequest const& aOrder,
                               engine::InstanceId const& aInstance)
{
  requires objectstore::ObjectStore<typename Wire::StoreClient>;
  /// Names the request; answers echo it.
  {
    Wire::RequestIdHeader()
    } -> std::convertible_to<char const*>;
  /// The object that holds the catalog.
  {
    Wire::CatalogName()
    } -> std::same_as<objectstore::ObjectName>;
  {
    Wire::DecodeRequest(aRequest)
    } -> std::same_as<tl::expected<caller::ForwardRequest, std::string>>;
  {
    Wire::EncodeForEngine(aRequest, aTerms)
    } -> std::same_as<base::HttpRequest>;
  {
    Wire::DecodeResponseHead(0U, aHeaders, aId)
    } -> std::same_as<caller::UpstreamAnswerHead>;
  {
    Wire::EncodeResponseHeaders(aHeaders)
    } -> std::same_as<base::HttpHeaders>;
  {
    Wire::EncodeRefusal(0U, aView, std::optional<base::RequestId>(),
                        std::optional<base::Duration>())
    } -> std::same_as<base::HttpResponse>;
  {
    Wire::DecodeEventNumber(aView)
    } -> std::same_as<std::optional<caller::EventNumber>>;
  {
    Wire::DecodeCatalog(aText)
    } -> std::same_as<tl::expected<operators::ServingCatalog, std::string>>;
  {
    Wire::DecodeUpstream(aText, aText)
    } -> std::same_as<tl::expected<engine::UpstreamEntry, std::string>>;
  {
    Wire::EncodeReportRequest()
    } -> std::same_as<base::HttpRequest>;
  {
    Wire::DecodeReport(aText)
    } -> std::same_as<tl::expected<engine::EngineReport, std::string>>;
  {
    Wire::EncodeOrder(aOrder, aInstance)
    } -> std::same_as<base::HttpRequest>;
  {
    Wire::DecodeOrderResponse(0U)
    } -> std::same_as<engine::OrderAnswer>;
};

} // namespace sardinefold::programs
