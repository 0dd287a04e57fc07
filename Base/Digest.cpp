#include "Base/Digest.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <stdexcept>

namespace sardinefold::base {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kRandomBlockBytes = 4096;

} // namespace

Sha256Value Sha256(std::string_view aData)
{
  Sha256Value value{};
  unsigned size = 0;
  // Cached, since fetching the algorithm costs more than a short digest.
  static EVP_MD* const kAlgorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  EVP_Digest(aData.data(), aData.size(), value.data(), &size, kAlgorithm, nullptr);
  return value;
}

void HmacKey::ContextDeleter::operator()(EVP_MAC_CTX* aContext) const
{
  EVP_MAC_CTX_free(aContext);
}

HmacKey::HmacKey(std::string_view aSecret)
{
  auto* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  m_keyedContext.reset(EVP_MAC_CTX_new(algorithm));
  EVP_MAC_free(algorithm);
  std::string digest = "SHA256";
  std::array<OSSL_PARAM, 2> const parameters = {
    OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()
  };
  auto const* const key = reinterpret_cast<unsigned char const*>(aSecret.data());
  if (EVP_MAC_init(m_keyedContext.get(), key, aSecret.size(), parameters.data()) != 1) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
}

Sha256Value HmacKey::Sign(std::string_view aData) const
{
  std::unique_ptr<EVP_MAC_CTX, ContextDeleter> const context(EVP_MAC_CTX_dup(m_keyedContext.get()));
  auto const* const data = reinterpret_cast<unsigned char const*>(aData.data());
  Sha256Value value{};
  std::size_t size = 0;
  EVP_MAC_update(context.get(), data, aData.size());
  EVP_MAC_final(context.get(), value.data(), &size, value.size());
  return value;
}

Sha256Value HmacSha256(std::string_view aSecret, std::string_view aData)
{
  return HmacKey(aSecret).Sign(aData);
}

std::string ToHex(Sha256Value const& aValue)
{
  std::string text;
  text.reserve(2 * aValue.size());
  for (auto const byte : aValue) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 0xF];
  }
  return text;
}

bool FromHex(std::string_view aText, Sha256Value& aValue)
{
  if (aText.size() != 2 * aValue.size()) {
    return false;
  }
  try {
    boost::algorithm::unhex(aText.begin(), aText.end(), aValue.begin());
  } catch (boost::algorithm::hex_decode_error const&) {
    return false;
  }
  return true;
}

bool EqualInConstantTime(Sha256Value const& aLeft, Sha256Value const& aRight)
{
  return CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t FastHash(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::uint64_t RandomNumber()
{
  constexpr int kHexadecimal = 16;
  return std::stoull(RandomHex(sizeof(std::uint64_t)), nullptr, kHexadecimal);
}

std::string RandomHex(std::size_t aBytes)
{
  // Buffered, since each call of the generator costs several microseconds.
  static std::array<unsigned char, kRandomBlockBytes> block;
  static std::size_t used = block.size();
  std::string text;
  text.reserve(2 * aBytes);
  for (std::size_t count = 0; count < aBytes; ++count) {
    if (used == block.size()) {
      if (RAND_bytes(block.data(), static_cast<int>(block.size())) != 1) {
        throw std::runtime_error("the system's random number generator failed");
      }
      used = 0;
    }
    text += kHexDigits[block[used] >> 4];
    text += kHexDigits[block[used] & 0xF];
    ++used;
  }
  return text;
}

} // namespace sardinefold::base
