#pragma once

#include "Agent/DispatchError.h"
#include "Agent/DispatchRequest.h"
#include "Base/Http/HttpMessage.h"
#include "Caller/Admission.h"
#include "Caller/ModelRequest.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

namespace sardinefold::caller {

/// An admitted request, ready for dispatch.
struct PreparedRequest
{
  agent::DispatchRequest m_dispatch;
  /// The message for the upstream, without the key, cookies and hop-by-hop
  /// headers.
  base::HttpRequest m_message;
};

/// Whether this is a request for the list of models of the route.
bool IsModelList(operators::Document const& aDocument, Admitted const& aAdmitted,
                 base::HttpRequest const& aMessage);

/// Validates an admitted request and prepares it for dispatch.
tl::expected<PreparedRequest, Refusal> Prepare(operators::Document const& aDocument,
                                               Admitted const& aAdmitted,
                                               base::HttpRequest aMessage,
                                               base::RequestId const& aRequest,
                                               ModelRequestLimits const& aLimits);

Refusal ToRefusal(agent::DispatchError const& aError);

/// Removes the headers that only the system's own processes exchange.
void RemoveInternalHeaders(base::HttpHeaders& aHeaders);

bool IsEventStream(base::HttpHeaders const& aHeaders);

} // namespace sardinefold::caller
