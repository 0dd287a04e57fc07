#pragma once

#include "WeightStore/LoadGate.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::weightstore {

/// Parameters of the method gate.ask: `{upstream, incarnation, order, model,
/// adapter?, class, deadline_ms}`; the deadline is the time left.
Json::Value EncodeSlotRequest(SlotRequest const& aRequest, base::Instant aNow);
/// The error names the field.
tl::expected<SlotRequest, std::string> DecodeSlotRequest(Json::Value const& aValue,
                                                         base::Instant aNow);

/// Result of gate.ask: `{lease_ms}` or `{ask_again_ms}`.
Json::Value EncodeSlotResponse(SlotResponse const& aResponse);
tl::expected<SlotResponse, std::string> DecodeSlotResponse(Json::Value const& aValue);

/// Parameters of gate.release: `{upstream, incarnation, order}`.
Json::Value EncodeSlotKey(SlotKey const& aKey);
tl::expected<SlotKey, std::string> DecodeSlotKey(Json::Value const& aValue);

} // namespace sardinefold::weightstore
