#pragma once

#include "Entry/Configuration/ConfigurationMessages.h"
#include "Operator/DocumentProblem.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <vector>

namespace sardinefold::entry {

/// JSON-RPC methods of the configuration relay.
/// news.announce: {from, record, age_ms} returns an acknowledgement.
inline constexpr char kAnnounceMethod[] = "news.announce";
/// news.ask: {} returns {record, age_ms}, or {} from a process without a version.
inline constexpr char kAskMethod[] = "news.ask";
/// news.fetch: {wanted, held?, skip} returns {chunks: [text...]}.
inline constexpr char kFetchMethod[] = "news.fetch";
/// news.count: {version} returns a tally of the callee and all processes below
/// it.
inline constexpr char kCountMethod[] = "news.count";

template<typename Message>
using Decoded = tl::expected<Message, operators::DocumentProblems>;

/// An announcement with its sender.
struct SignedAnnouncement
{
  base::HostId m_from;
  Announcement m_announcement;
};

Json::Value WriteAnnouncement(Announcement const& aAnnouncement, base::HostId const& aFrom);
Decoded<SignedAnnouncement> ReadAnnouncement(Json::Value const& aValue);

Json::Value WriteAcknowledgement(Acknowledgement const& aAcknowledgement);
Decoded<Acknowledgement> ReadAcknowledgement(Json::Value const& aValue);

Json::Value WriteChunkRequest(ChunkRequest const& aRequest);
Decoded<ChunkRequest> ReadChunkRequest(Json::Value const& aValue);

Json::Value WriteChunks(std::vector<operators::Chunk> const& aChunks);
Decoded<std::vector<operators::Chunk>> ReadChunks(Json::Value const& aValue);

Json::Value WriteTally(Tally const& aTally);
Decoded<Tally> ReadTally(Json::Value const& aValue);

Json::Value WriteCountRequest(base::DocumentVersion aVersion);
Decoded<base::DocumentVersion> ReadCountRequest(Json::Value const& aValue);

} // namespace sardinefold::entry
