#pragma once

#include <openssl/types.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sardinefold::base {

/// A SHA-256 value.
using Sha256Value = std::array<std::uint8_t, 32>;

Sha256Value Sha256(std::string_view aData);
/// A secret made ready to sign many messages with HMAC-SHA256.
class HmacKey
{
public:
  explicit HmacKey(std::string_view aSecret);
  Sha256Value Sign(std::string_view aData) const;

private:
  struct ContextDeleter
  {
    void operator()(EVP_MAC_CTX* aContext) const;
  };

  std::unique_ptr<EVP_MAC_CTX, ContextDeleter> m_keyedContext;
};

Sha256Value HmacSha256(std::string_view aSecret, std::string_view aData);

/// Lower-case hexadecimal.
std::string ToHex(Sha256Value const& aValue);
/// False unless the text is 64 hexadecimal digits.
bool FromHex(std::string_view aText, Sha256Value& aValue);

/// Compares in a time that does not depend on the values.
bool EqualInConstantTime(Sha256Value const& aLeft, Sha256Value const& aRight);

/// A fast hash for tables, rendezvous choice and chunking; not for secrets.
std::uint64_t FastHash(std::string_view aData, std::uint64_t aSeed = 0);

/// Random bytes from the system's generator, as hexadecimal digits.
std::string RandomHex(std::size_t aBytes);
/// A number from the system's generator, to seed others with.
std::uint64_t RandomNumber();

} // namespace sardinefold::base
