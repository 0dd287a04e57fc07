#pragma once

#include "Base/Digest.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinefold::entry {

/// A key that an operator has issued; the secret itself is not stored.
struct IssuedKey
{
  base::KeyId m_id;
  base::WorkspaceId m_workspace;
  base::Sha256Value m_hash{};
};

/// The key that a request was made with and the key's workspace.
struct KeyHolder
{
  base::KeyId m_key;
  base::WorkspaceId m_workspace;
};

enum class KeyRingError
{
  /// No issued key has this secret, or it has been withdrawn.
  UnknownKey,
  /// The keys come from a version older than one already in force.
  OlderVersion
};

/// The keys in force in this process.
///
/// The time of a check depends neither on how much of a guess is right nor on
/// which key it is: entries are found by a hash that is keyed with a secret of
/// the process, and the stored hash is compared in constant time.
class KeyRing
{
public:
  /// The index secret is random and stays in the process.
  explicit KeyRing(std::string aIndexSecret);

  /// Puts a document's keys in force and returns the keys that it withdraws,
  /// whose queued and running requests have to be ended.
  tl::expected<std::vector<base::KeyId>, KeyRingError> Replace(std::vector<IssuedKey> aKeys,
                                                               base::DocumentVersion aVersion);

  tl::expected<KeyHolder, KeyRingError> Check(std::string_view aSecret) const;
  /// Whether a key that has been checked before is still in force, with the
  /// same secret and for the same workspace.
  bool IsInForce(KeyHolder const& aHolder) const;
  base::DocumentVersion Version() const { return m_version; }

private:
  std::uint64_t IndexOf(base::Sha256Value const& aHash) const;

  std::string m_indexSecret;
  std::unordered_multimap<std::uint64_t, IssuedKey> m_keys;
  std::map<base::KeyId, IssuedKey> m_byId;
  base::DocumentVersion m_version;
};

} // namespace sardinefold::entry
