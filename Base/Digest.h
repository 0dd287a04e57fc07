#pragma once

#include <openssl/types.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sardinefold::base {

using Sha256Value = std::array<std::uint8_t, 32>;

Sha256Value Sha256(std::string_view aData);

/// An initialized HMAC-SHA256 key, for signing many messages.
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

/// Renders lower-case hexadecimal.
std::string ToHex(Sha256Value const& aValue);
/// Returns false unless the text consists of 64 hexadecimal digits.
bool FromHex(std::string_view aText, Sha256Value& aValue);

/// Compares in constant time, to give no timing side channel on secrets.
bool EqualInConstantTime(Sha256Value const& aLeft, Sha256Value const& aRight);

/// Computes a fast hash for hash tables, rendezvous hashing and chunking. It is
/// not cryptographic.
std::uint64_t FastHash(std::string_view aData, std::uint64_t aSeed = 0);

/// Returns random bytes of a cryptographic generator, as hexadecimal digits.
std::string RandomHex(std::size_t aBytes);
/// Returns a number of the same generator, for seeding other generators.
std::uint64_t RandomNumber();

} // namespace sardinefold::base
