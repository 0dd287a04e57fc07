#pragma once

#include "Base/Digest.h"
#include "Base/EventLoop.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/WriteResolution.h"

#include <algorithm>
#include <utility>

namespace sardinefold::objectstore {

/// Returns a nonce for one write, unique in the fleet.
inline WriteNonce NewWriteNonce()
{
  constexpr std::size_t kNonceBytes = 12;
  return WriteNonce::FromValidated(base::RandomHex(kNonceBytes));
}

/// Time-out of one attempt within WriteUntilKnown().
inline constexpr base::Duration kAttemptTime = std::chrono::seconds(2);

/// Carries out a write until its result is known or its time limit has passed:
/// repeats attempts that were certainly not applied, and reads back those that
/// may have been.
template<ObjectStore Store>
WriteTask WriteUntilKnown(Store& aStore, base::EventLoop& aLoop, ObjectWrite aWrite,
                          base::Duration aLimit, CallPurpose aPurpose)
{
  auto const end = aLoop.Now() + aLimit;
  auto const seed = base::FastHash(aWrite.m_nonce.Text());
  WriteResolution resolution(aWrite, end, {}, seed);
  while (true) {
    auto const step = resolution.Next(aLoop.Now());
    if (auto const* const ended = std::get_if<WriteEnded>(&step)) {
      co_return ended->m_result;
    }
    if (auto const* const wait = std::get_if<WaitUntil>(&step)) {
      co_await aLoop.Sleep(wait->m_time - aLoop.Now());
      continue;
    }
    auto const limit = std::min<base::Duration>(kAttemptTime, end - aLoop.Now());
    if (std::holds_alternative<ReadBack>(step)) {
      auto key = aWrite.m_key;
      auto const object = co_await aStore.Get(std::move(key), limit, aPurpose);
      resolution.OnReadResponse(object, aLoop.Now());
      continue;
    }
    auto write = aWrite;
    auto const written = co_await aStore.Write(std::move(write), limit, aPurpose);
    resolution.OnWriteResponse(written, aLoop.Now());
  }
}

} // namespace sardinefold::objectstore
