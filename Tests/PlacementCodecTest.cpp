#define BOOST_TEST_MODULE PlacementCodec
#include "Agent/Placement/PlacementCodec.h"

#include "WeightStore/GateCodec.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;

namespace {

base::Instant const kNow{ 1h };

std::string DecodingError(std::string const& aText)
{
  auto const decoded = agent::DecodePlacement(aText);
  return decoded ? "decoded" : decoded.error();
}

weightstore::SlotRequest MakeSlotRequest()
{
  return { { base::UpstreamId::FromValidated("u"), base::IncarnationId::FromValidated("i"),
             engine::OrderId(7) },
           { base::ModelId::FromValidated("m"), base::AdapterId::FromValidated("a") },
           operators::RequestClass::Batch,
           kNow + 5s };
}

} // namespace

BOOST_AUTO_TEST_CASE(PlacementSurvivesTheCodec)
{
  agent::Placement const placement{
    base::ModelId::FromValidated("m"),
    3,
    { { base::UpstreamId::FromValidated("u1"), agent::HolderState::Granted, true },
      { base::UpstreamId::FromValidated("u2"), agent::HolderState::Revoking, false } }
  };
  auto const decoded = agent::DecodePlacement(agent::EncodePlacement(placement));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == placement));
}

BOOST_AUTO_TEST_CASE(InvalidPlacementIsRefusedWithTheFieldName)
{
  BOOST_TEST(DecodingError("[]") == "placement must be an object");
  BOOST_TEST(DecodingError(R"({"model":"","decided":1,"holders":[]})") == "model is empty");
  BOOST_TEST(DecodingError(R"({"model":"m","decided":-1,"holders":[]})") ==
             "decided must be a whole number, not negative");
  BOOST_TEST(DecodingError(R"({"model":"m","decided":1})") == "holders must be an array");
  BOOST_TEST(DecodingError(R"({"model":"m","decided":1,"holders":[{"upstream":"u"}]})") ==
             R"(holders[0].state must be "granted" or "revoking")");
  std::string const holder = R"({"upstream":"u","state":"granted","warm":false})";
  BOOST_TEST(DecodingError(R"({"model":"m","decided":2,"holders":[)" + holder + "," + holder +
                           "]}") == "holders[1].upstream is named twice");
  BOOST_TEST(DecodingError(R"({"model":"m","decided":0,"holders":[)" + holder + "]}") ==
             "holders must be no longer than decided");
}

BOOST_AUTO_TEST_CASE(SlotRequestDeadlineIsConvertedToTheReceiversClock)
{
  auto const request = MakeSlotRequest();
  base::Instant const receiverNow{ 9h };
  auto const decoded =
    weightstore::DecodeSlotRequest(weightstore::EncodeSlotRequest(request, kNow), receiverNow);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((decoded->m_key == request.m_key));
  BOOST_TEST(decoded->m_replica == request.m_replica);
  BOOST_TEST((decoded->m_class == request.m_class));
  BOOST_TEST((decoded->m_deadline == receiverNow + 5s));
}

BOOST_AUTO_TEST_CASE(InvalidSlotRequestIsRefusedWithTheFieldName)
{
  auto const error = [](std::string const& aField, Json::Value const& aValue) {
    auto value = weightstore::EncodeSlotRequest(MakeSlotRequest(), kNow);
    value[aField] = aValue;
    auto const decoded = weightstore::DecodeSlotRequest(value, kNow);
    return decoded ? std::string("decoded") : decoded.error();
  };
  for (std::string const field :
       { "upstream", "incarnation", "order", "model", "adapter", "class", "deadline_ms" }) {
    BOOST_TEST(error(field, Json::Value(Json::arrayValue)).starts_with(field + " "));
  }
  BOOST_TEST(error("deadline_ms", -1).starts_with("deadline_ms "));
  BOOST_TEST(error("order", -1).starts_with("order "));
  BOOST_TEST(!weightstore::DecodeSlotRequest(Json::Value(3), kNow));
}

BOOST_AUTO_TEST_CASE(SlotResponseIsALeaseOrARetryTime)
{
  auto const granted =
    weightstore::DecodeSlotResponse(weightstore::EncodeSlotResponse({ base::Duration(30s), {} }));
  BOOST_REQUIRE(granted);
  BOOST_TEST((granted->m_lease == base::Duration(30s)));
  auto const waiting =
    weightstore::DecodeSlotResponse(weightstore::EncodeSlotResponse({ std::nullopt, 20ms }));
  BOOST_REQUIRE(waiting);
  BOOST_TEST(!waiting->m_lease);
  BOOST_TEST((waiting->m_retryAfter == 20ms));
  BOOST_TEST(!weightstore::DecodeSlotResponse(Json::Value(Json::objectValue)));
}
