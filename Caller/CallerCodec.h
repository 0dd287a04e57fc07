#pragma once

#include "Base/Http/HttpMessage.h"
#include "Caller/ModelRequest.h"
#include "Caller/Refusal.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

#include <string_view>

namespace sardinefold::caller {

/// The endpoints of the model API that generate text.
enum class ModelApi
{
  Chat,
  Completion
};

/// Parses a body in OpenAI's published format. The body for the engine gets an
/// explicit "max_tokens", the "priority" of the class and, for streams, a
/// request to report the usage at the end.
tl::expected<ModelRequest, ModelRequestError> ParseModelRequest(ModelApi aApi,
                                                                std::string_view aBody,
                                                                operators::RequestClass aClass,
                                                                ModelRequestLimits const& aLimits);

/// Renders a refusal in OpenAI's error format, with the outcome as an
/// additional field.
base::HttpResponse RenderRefusal(Refusal const& aRefusal, base::RequestId const& aRequest);

/// Renders the list of the models and adapters that a deployment serves.
base::HttpResponse RenderModels(operators::Document const& aDocument,
                                base::DeploymentId const& aDeployment);

} // namespace sardinefold::caller
