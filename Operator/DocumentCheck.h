#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"

namespace sardinefold::operators {

/// Checks what the fields of a document say together: references, capacity
/// and allowances. Returns every problem found.
DocumentProblems CheckDocument(Document const& aDocument);

} // namespace sardinefold::operators
