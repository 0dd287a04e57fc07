#define BOOST_TEST_MODULE AllowanceCodec
#include "Entry/Allowance/AllowanceCodec.h"

#include "Base/Json.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::entry;
using base::Tokens;

namespace {

TokenRequest Request()
{
  TokenRequest request;
  request.m_share = { base::WorkspaceId::FromValidated("depot"), ShareIndex(2) };
  request.m_holder = { base::HostId::FromValidated("a"), base::IncarnationId::FromValidated("i") };
  request.m_epoch = base::Epoch(3);
  request.m_number = TokenRequestNumber(4);
  request.m_minimum = Tokens(5);
  request.m_wanted = Tokens(6);
  request.m_prefetch = Tokens(7);
  request.m_reports = { { GrantNumber(8), Tokens(9), Tokens(10) } };
  request.m_refunds = { RefundNumber(11), { { base::Duration(12), Tokens(13) } } };
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(ATokenRequestSurvivesTheCodec)
{
  Json::Value const value = WriteTokenRequest(Request());
  auto const read = ReadTokenRequest(value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(base::RenderJson(WriteTokenRequest(*read)) == base::RenderJson(value));
  BOOST_TEST(read->m_share.m_share == ShareIndex(2));
  BOOST_TEST(read->m_reports.at(0).m_returned == Tokens(10));
  BOOST_TEST(read->m_refunds.m_number == RefundNumber(11));
  BOOST_TEST(read->m_refunds.m_entries.at(0).m_tokens == Tokens(13));
}

BOOST_AUTO_TEST_CASE(AGrantSurvivesTheCodec)
{
  TokenGrant const grant{ Request().m_share,     Request().m_holder, base::Epoch(1),
                          TokenRequestNumber(2), GrantNumber(3),     Tokens(4),
                          base::Duration(5),     RefundNumber(6),    base::Duration(7) };
  Json::Value const value = WriteTokenGrant(grant);
  auto const read = ReadTokenGrant(value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(base::RenderJson(WriteTokenGrant(*read)) == base::RenderJson(value));
  BOOST_TEST(read->m_tokens == Tokens(4));
}

BOOST_AUTO_TEST_CASE(ARecordSurvivesTheCodecWithOrWithoutAnOwner)
{
  BucketRecord record{ Request().m_holder, base::Epoch(9), { 3, 8 }, {} };
  auto const owned = ReadBucketRecord(WriteBucketRecord(record));
  BOOST_REQUIRE(owned.has_value());
  BOOST_TEST(owned->m_owner.m_host.Text() == "a");
  record.m_owner = {};
  record.m_levels[base::WorkspaceId::FromValidated("depot")] = Tokens(70);
  auto const handedOver = ReadBucketRecord(WriteBucketRecord(record));
  BOOST_REQUIRE(handedOver.has_value());
  BOOST_TEST(handedOver->m_owner.m_host.IsEmpty());
  BOOST_TEST(handedOver->m_levels.begin()->second == Tokens(70));
  BOOST_TEST((handedOver->m_layout == AllowanceLayout{ 3, 8 }));
}

BOOST_AUTO_TEST_CASE(EveryFieldIsCheckedAndNamed)
{
  for (std::string const& field : WriteTokenRequest(Request()).getMemberNames()) {
    Json::Value value = WriteTokenRequest(Request());
    value[field] = Json::Value(-1);
    auto const read = ReadTokenRequest(value);
    BOOST_REQUIRE_MESSAGE(!read.has_value(), field);
    BOOST_TEST(read.error().front().m_path == "/" + field);
  }
  BOOST_TEST(!ReadTokenRequest(Json::Value("text")).has_value());
  BOOST_TEST(!ReadTokenGrant(Json::Value()).has_value());
  BOOST_TEST(!ReadBucketRecord(Json::Value(Json::arrayValue)).has_value());
}
