#include "ObjectStore/WriteResolution.h"

namespace sardinefold::objectstore {

WriteResolution::WriteResolution(ObjectWrite const& aWrite, base::Instant aEnd,
                                 BackoffLimits aBackoff, std::uint64_t aSeed)
  : m_nonce(aWrite.m_nonce)
  , m_condition(aWrite.m_condition)
  , m_end(aEnd)
  , m_backoff(aBackoff, aSeed)
{
}

WriteStep WriteResolution::Next(base::Instant aNow) const
{
  if (m_result) {
    return WriteEnded{ *m_result };
  }
  if (aNow >= m_end || m_next >= m_end) {
    WriteError error{ WriteError::Kind::NotApplied, "the time limit passed before an attempt" };
    if (m_lastError) {
      error = *m_lastError;
    }
    if (m_mayBeApplied) {
      error.m_kind = WriteError::Kind::Unknown;
    }
    return WriteEnded{ tl::make_unexpected(error) };
  }
  if (m_next > aNow) {
    return WaitUntil{ m_next };
  }
  if (m_mustRead) {
    return ReadBack{};
  }
  return SendWrite{};
}

void WriteResolution::EndWithError(WriteError::Kind aKind, std::string aDetail)
{
  m_result = tl::make_unexpected(WriteError{ aKind, std::move(aDetail) });
}

void WriteResolution::OnWriteResponse(
  tl::expected<base::ObjectVersion, WriteError> const& aResponse, base::Instant aNow)
{
  if (aResponse) {
    m_result = *aResponse;
    return;
  }
  OnWriteError(aResponse.error(), aNow);
}

void WriteResolution::OnWriteError(WriteError const& aError, base::Instant aNow)
{
  using Kind = WriteError::Kind;
  if (aError.m_kind == Kind::TooLarge) {
    EndWithError(Kind::TooLarge, aError.m_detail);
    return;
  }
  if (aError.m_kind == Kind::Conflict) {
    if (!m_mayBeApplied) {
      EndWithError(Kind::Conflict, aError.m_detail);
      return;
    }
    // The earlier attempt itself may have changed the version.
    m_mustRead = true;
    m_next = aNow;
    return;
  }
  if (!IsCertainlyNotApplied(aError.m_kind)) {
    m_mayBeApplied = true;
    m_mustRead = true;
  }
  m_lastError = aError;
  m_next = aNow + m_backoff.Next();
}

bool WriteResolution::IsUnchanged(Object const& aObject) const
{
  auto const* const expected = std::get_if<IfVersion>(&m_condition);
  return expected && aObject.m_version == expected->m_version;
}

void WriteResolution::OnReadResponse(tl::expected<Object, ReadError> const& aResponse,
                                     base::Instant aNow)
{
  if (aResponse && aResponse->m_nonce == m_nonce) {
    m_result = aResponse->m_version;
    return;
  }
  bool const isAbsent = !aResponse && aResponse.error().m_kind == ReadError::Kind::NotFound;
  if (!aResponse && !isAbsent) {
    m_next = aNow + m_backoff.Next();
    return;
  }
  bool const expectsAbsent = std::holds_alternative<IfAbsent>(m_condition);
  bool const isUnchanged = isAbsent ? expectsAbsent : IsUnchanged(*aResponse);
  if (!isUnchanged) {
    EndWithError(WriteError::Kind::Superseded, "another value is there now");
    return;
  }
  // An earlier attempt may still arrive; at most one of it and the next one is
  // applied.
  m_mustRead = false;
  m_next = aNow;
}

} // namespace sardinefold::objectstore
