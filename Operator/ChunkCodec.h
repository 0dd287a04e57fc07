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

/// A document split into chunks that are named by their hashes. The last chunk
/// is the root.
struct ChunkedDocument
{
  ChunkHash m_root;
  std::vector<Chunk> m_chunks;
};

/// Splits a document into chunks of a few kilobytes. The chunk boundaries depend
/// only on the names of the entries, so that a changed entry changes only its
/// own chunk and those above it. Environment and version are not included.
ChunkedDocument SplitDocument(Document const& aDocument);

/// Returns the hash that names a chunk with this text.
ChunkHash HashChunk(std::string_view aText);

/// Parses a chunk and the names of its children. The error describes the first
/// problem.
tl::expected<Chunk, std::string> ParseChunk(std::string_view aText);

using ChunkLookup = std::function<Chunk const*(ChunkHash const&)>;

/// Assembles a document from its chunks and checks it. A chunk that the lookup
/// does not find is reported as a problem.
tl::expected<Document, DocumentProblems> JoinDocument(base::EnvironmentId const& aEnvironment,
                                                      VersionRecord const& aRecord,
                                                      ChunkLookup const& aLookup);

} // namespace sardinefold::operators
