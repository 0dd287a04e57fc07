#pragma once

#include "Base/Http/HttpMessage.h"
#include "Caller/ModelRequest.h"
#include "Caller/Refusal.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

#include <string_view>

namespace sardinefold::caller {

/// The two endpoints of the model API that generate.
enum class ModelApi
{
  Chat,
  Completion
};

/// Reads a body in OpenAI's published format. The engine's copy gets an
/// explicit "max_tokens", the class's "priority" and, on streams, a request
/// for the usage at the end.
tl::expected<ModelRequest, ModelRequestError> ParseModelRequest(ModelApi aApi,
                                                                std::string_view aBody,
                                                                operators::RequestClass aClass,
                                                                ModelRequestLimits const& aLimits);

/// Renders a refusal in OpenAI's error format, with the outcome beside it.
base::HttpResponse RenderRefusal(Refusal const& aRefusal, base::RequestId const& aRequest);

/// Renders the list of what a deployment serves, adapters included.
base::HttpResponse RenderModels(operators::Document const& aDocument,
                                base::DeploymentId const& aDeployment);

} // namespace sardinefold::caller
