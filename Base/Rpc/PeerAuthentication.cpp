#include "Base/Rpc/PeerAuthentication.h"

#include "Base/CaseInsensitive.h"

namespace sardinefold::base {

namespace {

constexpr std::size_t kCorrelationBytes = 12;

bool IsSignedField(HttpHeaders::Field const& aField)
{
  return StartsWithIgnoringCase(aField.m_name, kPeerHeaderPrefix) &&
         !EqualIgnoringCase(aField.m_name, kCorrelationHeader) &&
         !EqualIgnoringCase(aField.m_name, kSignatureHeader);
}

} // namespace

std::string PeerAuthentication::Signature(HttpRequest const& aRequest,
                                          std::string_view aCorrelation) const
{
  std::string text;
  text.reserve(aRequest.m_body.size() + aRequest.m_target.size() + 64);
  text.append(aRequest.m_method).append("\n");
  text.append(aRequest.m_target).append("\n");
  text.append(aCorrelation).append("\n");
  for (auto const& field : aRequest.m_headers.Fields()) {
    if (IsSignedField(field)) {
      AppendLowerCase(field.m_name, text);
      text.append(":");
      text.append(field.m_value).append("\n");
    }
  }
  text.append("\n");
  text.append(aRequest.m_body);
  return ToHex(m_key.Sign(text));
}

void PeerAuthentication::Sign(HttpRequest& aRequest) const
{
  if (!aRequest.m_headers.Find(kCorrelationHeader)) {
    aRequest.m_headers.Add(kCorrelationHeader, RandomHex(kCorrelationBytes));
  }
  std::string const correlation(*aRequest.m_headers.Find(kCorrelationHeader));
  aRequest.m_headers.Set(kSignatureHeader, Signature(aRequest, correlation));
}

bool PeerAuthentication::Verify(HttpRequest const& aRequest) const
{
  auto const correlation = aRequest.m_headers.Find(kCorrelationHeader);
  auto const signature = aRequest.m_headers.Find(kSignatureHeader);
  Sha256Value given{};
  Sha256Value expected{};
  if (!correlation || !signature || !FromHex(*signature, given)) {
    return false;
  }
  FromHex(Signature(aRequest, *correlation), expected);
  return EqualInConstantTime(given, expected);
}

} // namespace sardinefold::base
