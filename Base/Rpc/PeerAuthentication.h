#pragma once

#include "Base/Digest.h"
#include "Base/Http/HttpMessage.h"

#include <string>
#include <string_view>

namespace sardinefold::base {

/// Names the exchange in both directions, so that a crossed answer is seen.
inline constexpr char kCorrelationHeader[] = "Sardinefold-Correlation";
/// Prefix of the header fields that only processes of the system may set.
inline constexpr char kPeerHeaderPrefix[] = "Sardinefold-";
/// HMAC-SHA256 of the message under the fleet's secret, in hexadecimal.
inline constexpr char kSignatureHeader[] = "Sardinefold-Signature";

/// Signs and checks the messages between the system's own processes, so that
/// no stranger on the network can give an order.
class PeerAuthentication
{
public:
  explicit PeerAuthentication(std::string_view aFleetSecret)
    : m_key(aFleetSecret)
  {
  }

  /// Adds a fresh correlation id, unless the request has one, and the
  /// signature over method, target, correlation id, the other fields whose
  /// names start with kPeerHeaderPrefix, in their order, and the body.
  void Sign(HttpRequest& aRequest) const;
  bool Verify(HttpRequest const& aRequest) const;

private:
  std::string Signature(HttpRequest const& aRequest, std::string_view aCorrelation) const;

  HmacKey m_key;
};

} // namespace sardinefold::base
