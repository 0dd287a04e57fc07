#define BOOST_TEST_MODULE AllowanceCodec
#include "Entry/Allowance/AllowanceCodec.h"

#include "Base/Json.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::entry;
using base::Tokens;

namespace {

TokenAsk Ask()
{
  TokenAsk ask;
  ask.m_share = { base::WorkspaceId::FromValidated("depot"), ShareIndex(2) };
  ask.m_holder = { base::HostId::FromValidated("a"), base::IncarnationId::FromValidated("i") };
  ask.m_epoch = base::Epoch(3);
  ask.m_number = AskNumber(4);
  ask.m_first = Tokens(5);
  ask.m_want = Tokens(6);
  ask.m_prefetch = Tokens(7);
  ask.m_reports = { { GrantNumber(8), Tokens(9), Tokens(10) } };
  ask.m_refunds = { RefundNumber(11), { { base::Duration(12), Tokens(13) } } };
  return ask;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnAskComesBackAsItWas)
{
  Json::Value const value = WriteTokenAsk(Ask());
  auto const read = ReadTokenAsk(value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(base::RenderJson(WriteTokenAsk(*read)) == base::RenderJson(value));
  BOOST_TEST(read->m_share.m_share == ShareIndex(2));
  BOOST_TEST(read->m_reports.at(0).m_returned == Tokens(10));
  BOOST_TEST(read->m_refunds.m_number == RefundNumber(11));
  BOOST_TEST(read->m_refunds.m_entries.at(0).m_tokens == Tokens(13));
}

BOOST_AUTO_TEST_CASE(AGrantComesBackAsItWas)
{
  TokenGrant const grant{ Ask().m_share,     Ask().m_holder,  base::Epoch(1),
                          AskNumber(2),      GrantNumber(3),  Tokens(4),
                          base::Duration(5), RefundNumber(6), base::Duration(7) };
  Json::Value const value = WriteTokenGrant(grant);
  auto const read = ReadTokenGrant(value);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(base::RenderJson(WriteTokenGrant(*read)) == base::RenderJson(value));
  BOOST_TEST(read->m_tokens == Tokens(4));
}

BOOST_AUTO_TEST_CASE(ARecordComesBackWithOrWithoutAnOwner)
{
  BucketRecord record{ Ask().m_holder, base::Epoch(9), { 3, 8 }, {} };
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
  for (std::string const& field : WriteTokenAsk(Ask()).getMemberNames()) {
    Json::Value value = WriteTokenAsk(Ask());
    value[field] = Json::Value(-1);
    auto const read = ReadTokenAsk(value);
    BOOST_REQUIRE_MESSAGE(!read.has_value(), field);
    BOOST_TEST(read.error().front().m_path == "/" + field);
  }
  BOOST_TEST(!ReadTokenAsk(Json::Value("text")).has_value());
  BOOST_TEST(!ReadTokenGrant(Json::Value()).has_value());
  BOOST_TEST(!ReadBucketRecord(Json::Value(Json::arrayValue)).has_value());
}
