#include "Entry/Keys/KeyRing.h"

#include <cstring>
#include <optional>
#include <utility>

namespace sardinefold::entry {

KeyRing::KeyRing(std::string aIndexSecret)
  : m_indexSecret(std::move(aIndexSecret))
{
}

std::uint64_t KeyRing::IndexOf(base::Sha256Value const& aHash) const
{
  std::string_view const text(reinterpret_cast<char const*>(aHash.data()), aHash.size());
  base::Sha256Value const keyed = base::HmacSha256(m_indexSecret, text);
  std::uint64_t index = 0;
  std::memcpy(&index, keyed.data(), sizeof(index));
  return index;
}

tl::expected<std::vector<base::KeyId>, KeyRingError> KeyRing::Replace(
  std::vector<IssuedKey> aKeys, base::DocumentVersion aVersion)
{
  if (aVersion < m_version) {
    return tl::make_unexpected(KeyRingError::OlderVersion);
  }
  m_version = aVersion;
  std::map<base::KeyId, IssuedKey> const previous = std::exchange(m_byId, {});
  m_keys.clear();
  for (IssuedKey& key : aKeys) {
    m_keys.emplace(IndexOf(key.m_hash), key);
    m_byId.emplace(key.m_id, std::move(key));
  }
  std::vector<base::KeyId> withdrawn;
  for (auto const& [id, key] : previous) {
    auto const found = m_byId.find(id);
    bool const isSame = found != m_byId.end() && found->second.m_hash == key.m_hash &&
                        found->second.m_workspace == key.m_workspace;
    if (!isSame) {
      withdrawn.push_back(id);
    }
  }
  return withdrawn;
}

tl::expected<KeyHolder, KeyRingError> KeyRing::Check(std::string_view aSecret) const
{
  base::Sha256Value const hash = base::Sha256(aSecret);
  std::optional<KeyHolder> holder;
  auto const [first, last] = m_keys.equal_range(IndexOf(hash));
  for (auto position = first; position != last; ++position) {
    IssuedKey const& key = position->second;
    if (base::EqualInConstantTime(key.m_hash, hash)) {
      holder = KeyHolder{ key.m_id, key.m_workspace };
    }
  }
  if (!holder) {
    return tl::make_unexpected(KeyRingError::UnknownKey);
  }
  return *std::move(holder);
}

bool KeyRing::IsInForce(KeyHolder const& aHolder) const
{
  auto const found = m_byId.find(aHolder.m_key);
  return found != m_byId.end() && found->second.m_workspace == aHolder.m_workspace;
}

} // namespace sardinefold::entry
