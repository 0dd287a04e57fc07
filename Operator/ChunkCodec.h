#pragma once

#include "Operator/Document.h"
#include "Operator/DocumentProblem.h"
#include "Operator/Version.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::operators {

/// A document cut into chunks; the last is the root.
struct ChunkedDocument
{
  ChunkHash m_root;
  std::vector<Chunk> m_chunks;
};

/// Cuts a document into chunks of a few kilobytes. Where it is cut depends on
/// the entries' names alone, so that a changed entry changes only its own
/// chunk and those above it. Environment and version are not part of it.
ChunkedDocument SplitDocument(Document const& aDocument);

/// The name that a chunk's text has.
ChunkHash HashChunk(std::string_view aText);

/// Reads a chunk and the names in it. The error says what is wrong.
tl::expected<Chunk, std::string> ParseChunk(std::string_view aText);

using ChunkLookup = std::function<Chunk const*(ChunkHash const&)>;

/// Puts a document together and checks it. A chunk that the lookup does not
/// find is a problem, too.
tl::expected<Document, DocumentProblems> JoinDocument(base::EnvironmentId const& aEnvironment,
                                                      VersionRecord const& aRecord,
                                                      ChunkLookup const& aLookup);

} // namespace sardinefold::operators
