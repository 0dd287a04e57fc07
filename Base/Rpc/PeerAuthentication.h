#pragma once

#include "Base/Digest.h"
#include "Base/Http/HttpMessage.h"

#include <string>
#include <string_view>

namespace sardinefold::base {

/// Identifies the exchange in requests and responses, so that a response to another
/// request is detected.
inline constexpr char kCorrelationHeader[] = "Sardinefold-Correlation";
/// Prefix of the header fields that only the system's processes may set.
inline constexpr char kPeerHeaderPrefix[] = "Sardinefold-";
/// HMAC-SHA256 of the message under the fleet's secret, in hexadecimal.
inline constexpr char kSignatureHeader[] = "Sardinefold-Signature";

/// Signs and verifies messages between the system's own processes, so that no other
/// host on the network can issue orders.
class PeerAuthentication
{
public:
  explicit PeerAuthentication(std::string_view aFleetSecret)
    : m_key(aFleetSecret)
  {
  }

  /// Adds a new correlation ID, unless the request has one, and the signature. It
  /// covers the method, the target, the correlation ID, the other fields whose names
  /// start with kPeerHeaderPrefix, in their order, and the body.
  void Sign(HttpRequest& aRequest) const;
  bool Verify(HttpRequest const& aRequest) const;

private:
  std::string Signature(HttpRequest const& aRequest, std::string_view aCorrelation) const;

  HmacKey m_key;
};

} // namespace sardinefold::base
