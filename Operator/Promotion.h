#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"

#include <tl/expected.hpp>

namespace sardinefold::operators {

/// Builds the document that a promotion gives the target environment: models,
/// adapters, workspaces and routes exactly as in the source; keys and upstreams
/// of the target, since those belong to an environment. Copied keys could
/// restore one that the target has withdrawn. The result is checked; the error
/// lists the inconsistencies.
tl::expected<Document, DocumentProblems> Promote(Document const& aSource, Document const& aTarget);

} // namespace sardinefold::operators
