#pragma once

#include "Base/Http/HttpMessage.h"
#include "Engine/EngineOrder.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinefold::engine {

base::HttpRequest EncodeLoadOrder(EngineOrder const& aOrder);
base::HttpRequest EncodeUnloadOrder(EngineOrder const& aOrder);
tl::expected<void, EngineOrderFailure> DecodeOrderResponse(base::HttpResponse const& aResponse);

/// Decodes the response to GET /state; the error names the field.
tl::expected<EngineStatusReport, std::string> DecodeEngineStatusReport(std::string_view aBody);

} // namespace sardinefold::engine
