#include "Base/Digest.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <iterator>
#include <stdexcept>
#include <vector>

namespace sardinefold::base {

Sha256Value Sha256(std::string_view aData)
{
  Sha256Value value{};
  unsigned size = 0;
  EVP_Digest(aData.data(), aData.size(), value.data(), &size, EVP_sha256(), nullptr);
  return value;
}

Sha256Value HmacSha256(std::string_view aSecret, std::string_view aData)
{
  Sha256Value value{};
  unsigned size = 0;
  HMAC(EVP_sha256(), aSecret.data(), static_cast<int>(aSecret.size()),
       reinterpret_cast<unsigned char const*>(aData.data()), aData.size(), value.data(), &size);
  return value;
}

std::string ToHex(Sha256Value const& aValue)
{
  std::string text;
  boost::algorithm::hex_lower(aValue.begin(), aValue.end(), std::back_inserter(text));
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

std::string RandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the system's random number generator failed");
  }
  std::string text;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
  return text;
}

} // namespace sardinefold::base
