#pragma once

#include "Base/Http/HttpMessage.h"
#include "Caller/ForwardRequest.h"
#include "Engine/EngineTypes.h"
#include "Engine/UpstreamNotice.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "Operator/ServingCatalog.h"

#include <tl/expected.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::programs {

/// A site's wire format of what the gateway and the loader exchange with callers,
/// engines, operators and the object store.
template<typename Wire>
concept ServingWire = requires(base::HttpRequest const& aRequest, base::HttpHeaders const& aHeaders,
                               base::HttpResponse const& aResponse,
                               caller::ForwardParameters const& aTerms, base::RequestId const& aId,
                               std::string const& aText, std::string_view aView,
                               engine::EngineOrderRequest const& aOrder,
                               engine::InstanceId const& aInstance,
                               typename Wire::CatalogDecoder& aDecoder)
{
  requires objectstore::ObjectStore<typename Wire::StoreClient>;
  /// Header that identifies the request; responses echo it.
  {
    Wire::RequestIdHeader()
    } -> std::convertible_to<char const*>;
  /// Name of the object that contains the catalog.
  {
    Wire::CatalogName()
    } -> std::same_as<objectstore::ObjectName>;
  {
    Wire::DecodeRequest(aRequest)
    } -> std::same_as<tl::expected<caller::ForwardRequest, std::string>>;
  /// The request without its body.
  {
    Wire::EncodeForEngine(aRequest, aTerms)
    } -> std::same_as<base::HttpRequest>;
  {
    Wire::DecodeResponseHead(0U, aHeaders, aId, true)
    } -> std::same_as<caller::UpstreamResponseHead>;
  /// What an engine announces about itself beside the response.
  {
    Wire::DecodeNotice(0U, aHeaders)
    } -> std::same_as<engine::UpstreamNotice>;
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
  /// Decodes a catalog in steps, either parts of it or with what an earlier decoder has
  /// decoded.
  requires std::constructible_from<typename Wire::CatalogDecoder, std::string,
                                   operators::CatalogScope>;
  requires std::constructible_from<typename Wire::CatalogDecoder, std::string,
                                   typename Wire::CatalogDecoder const*,
                                   operators::ServingCatalog const*>;
  {
    aDecoder.Decode(std::size_t(1))
    } -> std::same_as<std::optional<tl::expected<operators::ServingCatalog, std::string>>>;
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
    } -> std::same_as<engine::OrderResponse>;
};

} // namespace sardinefold::programs
