#pragma once

#include "Operator/ChangeKind.h"
#include "Operator/Document.h"

#include <string>
#include <vector>

namespace sardinefold::operators {

/// One entry in which two documents differ.
struct DocumentChange
{
  ChangeKind m_kind;
  /// Path of the entry as a JSON Pointer.
  std::string m_path;
};

/// Lists the changes from one document to another, section by section.
std::vector<DocumentChange> CompareDocuments(Document const& aBefore, Document const& aAfter);

} // namespace sardinefold::operators
