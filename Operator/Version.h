#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::operators {

/// Name of a chunk: the first 128 bits of its text's SHA-256 value, in
/// hexadecimal digits.
using ChunkHash = base::Identifier<struct ChunkTag>;
/// Random identifier of one attempt to publish a version, by which its author can
/// find out whether it took effect.
using PublicationId = base::Identifier<struct PublicationTag>;
/// Author of a version, as stated to the operator interface.
using AuthorId = base::Identifier<struct AuthorTag>;

/// An immutable part of a document, with the chunks that it refers to.
struct Chunk
{
  ChunkHash m_hash;
  std::string m_text;
  std::vector<ChunkHash> m_children;
};

/// A version of another environment.
struct VersionSource
{
  base::EnvironmentId m_environment;
  base::DocumentVersion m_version;

  friend bool operator==(VersionSource const&, VersionSource const&) = default;
};

/// One accepted version of a document. The chunks under its root are its complete
/// content.
struct VersionRecord
{
  base::DocumentVersion m_version;
  ChunkHash m_root;
  PublicationId m_publication;
  AuthorId m_author;
  base::WallTime m_time;
  /// The version that it was promoted from, if any.
  std::optional<VersionSource> m_source;
};

/// Number of versions that a manifest retains. At 7,000 changes a day they span
/// 20 minutes and take about 25 KB.
inline constexpr std::size_t kMaximumHistory = 100;

/// The versions of one environment, stored as one object of the platform that is
/// changed only by conditional updates.
struct Manifest
{
  base::EnvironmentId m_environment;
  /// Versions, oldest first; the last one is in force. Never empty.
  std::vector<VersionRecord> m_history;

  VersionRecord const& Current() const { return m_history.back(); }
  /// Returns null if the version is not retained.
  VersionRecord const* Find(base::DocumentVersion aVersion) const;
  VersionRecord const* Find(PublicationId const& aPublication) const;
  /// Appends a version and removes the oldest beyond kMaximumHistory.
  void Append(VersionRecord aRecord);
};

} // namespace sardinefold::operators
