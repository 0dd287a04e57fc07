#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"

namespace sardinefold::operators {

/// Checks the consistency of a document's fields: references, capacity and
/// allowances. Returns every problem found.
DocumentProblems CheckDocument(Document const& aDocument);

} // namespace sardinefold::operators
