#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace sardinefold::operators {

/// Largest document text accepted; 52,000 adapters take about 6 MB.
inline constexpr std::size_t kMaximumDocumentBytes = std::size_t(32) * 1024 * 1024;

/// Parses a document from JSON and checks it, including cross references. The
/// error lists every problem, not only the first.
tl::expected<Document, DocumentProblems> ParseDocument(std::string_view aText);

/// Renders a document as indented JSON. Parsing the result gives an equal
/// document.
std::string RenderDocument(Document const& aDocument);

} // namespace sardinefold::operators
