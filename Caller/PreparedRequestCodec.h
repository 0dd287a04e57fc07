#pragma once

#include "Agent/DispatchError.h"
#include "Agent/DispatchRequest.h"
#include "Base/Http/HttpMessage.h"
#include "Caller/Admission.h"
#include "Caller/ModelRequest.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

namespace sardinefold::caller {

/// An admitted request in the form in which it is dispatched.
struct PreparedRequest
{
  agent::DispatchRequest m_dispatch;
  /// What the upstream receives: without key, cookies, hop-by-hop fields.
  base::HttpRequest m_message;
};

/// Whether this is a request for the list of models of the route.
bool IsModelList(operators::Document const& aDocument, Admitted const& aAdmitted,
                 base::HttpRequest const& aMessage);

/// Checks an admitted request and turns it into what is dispatched.
tl::expected<PreparedRequest, Refusal> Prepare(operators::Document const& aDocument,
                                               Admitted const& aAdmitted,
                                               base::HttpRequest aMessage,
                                               base::RequestId const& aRequest,
                                               ModelRequestLimits const& aLimits);

Refusal ToRefusal(agent::DispatchError const& aError);

/// Removes the fields that only the system's own processes exchange.
void RemoveInternalHeaders(base::HttpHeaders& aHeaders);

bool IsEventStream(base::HttpHeaders const& aHeaders);

} // namespace sardinefold::caller
