#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"

#include <tl/expected.hpp>

namespace sardinefold::operators {

/// The document that another environment gets by promotion: models, adapters,
/// workspaces and routes of the source, exactly; keys and upstreams of the
/// target, since those belong to an environment. Were keys carried along, a
/// promotion could bring back one that the target has withdrawn. The result is
/// checked; the error names what does not fit together.
tl::expected<Document, DocumentProblems> Promote(Document const& aSource, Document const& aTarget);

} // namespace sardinefold::operators
