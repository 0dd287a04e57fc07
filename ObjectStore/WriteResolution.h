#pragma once

#include "Base/Time.h"
#include "ObjectStore/Backoff.h"
#include "ObjectStore/PlatformError.h"
#include "ObjectStore/PlatformObject.h"

#include <tl/expected.hpp>

#include <optional>
#include <variant>

namespace sardinefold::objectstore {

/// Send the write, with the same nonce in every attempt.
struct SendWrite
{};
/// Read the object to find out whether an earlier attempt was applied.
struct ReadBack
{};
struct WaitUntil
{
  base::Instant m_time;
};
struct WriteEnded
{
  tl::expected<base::ObjectVersion, WriteError> m_result;
};
using WriteStep = std::variant<SendWrite, ReadBack, WaitUntil, WriteEnded>;

/// Decides the next step of a write until it is known whether it was applied, or
/// its deadline has passed. An attempt without a response is resolved by reading
/// the object back and comparing nonces. Repeating is safe while the object has
/// the version that the write is conditional on: of two attempts at most one is
/// applied.
class WriteResolution
{
public:
  /// At aEnd the write ends with the result known at that time.
  WriteResolution(ObjectWrite const& aWrite, base::Instant aEnd, BackoffLimits aBackoff,
                  std::uint64_t aSeed);

  WriteStep Next(base::Instant aNow) const;
  void OnWriteResponse(tl::expected<base::ObjectVersion, WriteError> const& aResponse,
                       base::Instant aNow);
  void OnReadResponse(tl::expected<Object, ReadError> const& aResponse, base::Instant aNow);

private:
  void OnWriteError(WriteError const& aError, base::Instant aNow);
  void EndWithError(WriteError::Kind aKind, std::string aDetail);
  bool IsUnchanged(Object const& aObject) const;

  WriteNonce m_nonce;
  WriteCondition m_condition;
  base::Instant m_end;
  Backoff m_backoff;
  base::Instant m_next{};
  bool m_mayBeApplied = false;
  bool m_mustRead = false;
  std::optional<WriteError> m_lastError;
  std::optional<tl::expected<base::ObjectVersion, WriteError>> m_result;
};

} // namespace sardinefold::objectstore
