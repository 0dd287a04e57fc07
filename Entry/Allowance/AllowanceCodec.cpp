#include "Entry/Allowance/AllowanceCodec.h"

#include "Operator/ObjectReaderCodec.h"

#include <limits>
#include <utility>

namespace sardinefold::entry {

namespace {

using operators::DocumentProblems;
using operators::IntegerRange;
using operators::ObjectReader;

constexpr IntegerRange kOrdinalRange{ 0, std::numeric_limits<std::int64_t>::max() };
/// Far above any burst, and sums of many values still fit 64 bits.
constexpr IntegerRange kTokenRange{ 0, 1'000'000'000'000 };
/// Ten years in nanoseconds.
constexpr IntegerRange kTimeRange{ 0, std::int64_t(10) * 365 * 86'400'000'000'000 };
constexpr IntegerRange kCountRange{ 1, 65'536 };
constexpr Json::ArrayIndex kMaximumItems = 4096;

template<typename Message>
DecodedBucket<Message> Result(Message aMessage, DocumentProblems aProblems)
{
  if (!aProblems.empty()) {
    return tl::make_unexpected(std::move(aProblems));
  }
  return aMessage;
}

template<typename Ordinal>
Json::Value ToJson(Ordinal aOrdinal)
{
  return Json::Value(static_cast<Json::Int64>(aOrdinal.Value()));
}

Json::Value ToJson(base::Duration aTime)
{
  return Json::Value(static_cast<Json::Int64>(aTime.count()));
}

template<typename Ordinal>
Ordinal ReadOrdinal(ObjectReader& aReader, std::string const& aName)
{
  return Ordinal(static_cast<std::uint64_t>(aReader.ReadInteger(aName, kOrdinalRange)));
}

base::Tokens ReadTokens(ObjectReader& aReader, std::string const& aName)
{
  return base::Tokens(aReader.ReadInteger(aName, kTokenRange));
}

base::Duration ReadTime(ObjectReader& aReader, std::string const& aName)
{
  return base::Duration(aReader.ReadInteger(aName, kTimeRange));
}

void WriteParties(Json::Value& aValue, ShareKey const& aShare, HolderKey const& aHolder)
{
  aValue["workspace"] = aShare.m_workspace.Text();
  aValue["share"] = ToJson(aShare.m_share);
  aValue["host"] = aHolder.m_host.Text();
  aValue["incarnation"] = aHolder.m_incarnation.Text();
}

ShareKey ReadShare(ObjectReader& aReader)
{
  auto workspace = aReader.ReadId<base::WorkspaceId>("workspace");
  return { std::move(workspace), ReadOrdinal<ShareIndex>(aReader, "share") };
}

HolderKey ReadHolder(ObjectReader& aReader)
{
  auto host = aReader.ReadId<base::HostId>("host");
  return { std::move(host), aReader.ReadId<base::IncarnationId>("incarnation") };
}

/// Returns the items of an optional array; reports a field that is not an array
/// or is too long.
Json::Value const& Items(Json::Value const& aValue, std::string const& aName,
                         DocumentProblems& aProblems)
{
  static Json::Value const kNone(Json::arrayValue);
  if (!aValue.isObject() || !aValue.isMember(aName)) {
    return kNone;
  }
  Json::Value const& items = aValue[aName];
  if (!items.isArray() || items.size() > kMaximumItems) {
    aProblems.push_back({ "/" + aName, "expected an array of at most 4096 items" });
    return kNone;
  }
  return items;
}

std::string ItemPath(std::string const& aName, Json::ArrayIndex aIndex)
{
  return "/" + aName + "/" + std::to_string(aIndex);
}

std::vector<GrantReport> ReadReports(Json::Value const& aValue, DocumentProblems& aProblems)
{
  std::vector<GrantReport> reports;
  Json::Value const& items = Items(aValue, "reports", aProblems);
  for (Json::ArrayIndex index = 0; index < items.size(); ++index) {
    ObjectReader reader(items[index], ItemPath("reports", index), aProblems);
    GrantReport report;
    report.m_grant = ReadOrdinal<GrantNumber>(reader, "grant");
    report.m_spent = ReadTokens(reader, "spent");
    report.m_returned = ReadTokens(reader, "returned");
    reports.push_back(report);
  }
  return reports;
}

RefundBatch ReadRefunds(Json::Value const& aValue, DocumentProblems& aProblems)
{
  RefundBatch batch;
  Json::Value const& items = Items(aValue, "refunds", aProblems);
  if (items.empty()) {
    return batch;
  }
  ObjectReader reader(aValue, "", aProblems);
  batch.m_number = ReadOrdinal<RefundNumber>(reader, "refunds_number");
  for (Json::ArrayIndex index = 0; index < items.size(); ++index) {
    ObjectReader entry(items[index], ItemPath("refunds", index), aProblems);
    base::Duration const spentAfter = ReadTime(entry, "spent_after_ns");
    batch.m_entries.push_back({ spentAfter, ReadTokens(entry, "tokens") });
  }
  return batch;
}

} // namespace

Json::Value WriteTokenRequest(TokenRequest const& aRequest)
{
  Json::Value value;
  WriteParties(value, aRequest.m_share, aRequest.m_holder);
  value["epoch"] = ToJson(aRequest.m_epoch);
  value["number"] = ToJson(aRequest.m_number);
  value["first"] = ToJson(aRequest.m_minimum);
  value["want"] = ToJson(aRequest.m_wanted);
  value["prefetch"] = ToJson(aRequest.m_prefetch);
  for (GrantReport const& report : aRequest.m_reports) {
    Json::Value item;
    item["grant"] = ToJson(report.m_grant);
    item["spent"] = ToJson(report.m_spent);
    item["returned"] = ToJson(report.m_returned);
    value["reports"].append(std::move(item));
  }
  if (aRequest.m_refunds.m_entries.empty()) {
    return value;
  }
  value["refunds_number"] = ToJson(aRequest.m_refunds.m_number);
  for (RefundEntry const& entry : aRequest.m_refunds.m_entries) {
    Json::Value item;
    item["spent_after_ns"] = ToJson(entry.m_spentAfter);
    item["tokens"] = ToJson(entry.m_tokens);
    value["refunds"].append(std::move(item));
  }
  return value;
}

DecodedBucket<TokenRequest> ReadTokenRequest(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  TokenRequest request;
  request.m_share = ReadShare(reader);
  request.m_holder = ReadHolder(reader);
  request.m_epoch = ReadOrdinal<base::Epoch>(reader, "epoch");
  request.m_number = ReadOrdinal<TokenRequestNumber>(reader, "number");
  request.m_minimum = ReadTokens(reader, "first");
  request.m_wanted = ReadTokens(reader, "want");
  request.m_prefetch = ReadTokens(reader, "prefetch");
  request.m_reports = ReadReports(aValue, problems);
  request.m_refunds = ReadRefunds(aValue, problems);
  return Result(std::move(request), std::move(problems));
}

Json::Value WriteTokenGrant(TokenGrant const& aGrant)
{
  Json::Value value;
  WriteParties(value, aGrant.m_share, aGrant.m_holder);
  value["epoch"] = ToJson(aGrant.m_epoch);
  value["answers"] = ToJson(aGrant.m_requestNumber);
  value["number"] = ToJson(aGrant.m_number);
  value["tokens"] = ToJson(aGrant.m_tokens);
  value["owner_ns"] = ToJson(aGrant.m_ownerTime);
  value["refunds_applied"] = ToJson(aGrant.m_refundsApplied);
  value["expected_wait_ns"] = ToJson(aGrant.m_expectedWait);
  return value;
}

DecodedBucket<TokenGrant> ReadTokenGrant(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  TokenGrant grant;
  grant.m_share = ReadShare(reader);
  grant.m_holder = ReadHolder(reader);
  grant.m_epoch = ReadOrdinal<base::Epoch>(reader, "epoch");
  grant.m_requestNumber = ReadOrdinal<TokenRequestNumber>(reader, "answers");
  grant.m_number = ReadOrdinal<GrantNumber>(reader, "number");
  grant.m_tokens = ReadTokens(reader, "tokens");
  grant.m_ownerTime = ReadTime(reader, "owner_ns");
  grant.m_refundsApplied = ReadOrdinal<RefundNumber>(reader, "refunds_applied");
  grant.m_expectedWait = ReadTime(reader, "expected_wait_ns");
  return Result(std::move(grant), std::move(problems));
}

Json::Value WriteBucketRecord(BucketRecord const& aRecord)
{
  Json::Value value;
  if (!aRecord.m_owner.m_host.IsEmpty()) {
    value["host"] = aRecord.m_owner.m_host.Text();
    value["incarnation"] = aRecord.m_owner.m_incarnation.Text();
  }
  value["epoch"] = ToJson(aRecord.m_epoch);
  value["shares"] = static_cast<Json::UInt64>(aRecord.m_layout.m_shares);
  value["slots"] = static_cast<Json::UInt64>(aRecord.m_layout.m_slots);
  for (auto const& [workspace, level] : aRecord.m_levels) {
    value["levels"][workspace.Text()] = ToJson(level);
  }
  return value;
}

DecodedBucket<BucketRecord> ReadBucketRecord(Json::Value const& aValue)
{
  DocumentProblems problems;
  ObjectReader reader(aValue, "", problems);
  BucketRecord record;
  if (aValue.isObject() && aValue.isMember("host")) {
    record.m_owner = ReadHolder(reader);
  }
  record.m_epoch = ReadOrdinal<base::Epoch>(reader, "epoch");
  record.m_layout.m_shares = static_cast<std::uint64_t>(reader.ReadInteger("shares", kCountRange));
  record.m_layout.m_slots = static_cast<std::uint64_t>(reader.ReadInteger("slots", kCountRange));
  Json::Value const& levels = reader.ReadObject("levels");
  ObjectReader fields(levels, "/levels", problems);
  for (std::string const& name : levels.getMemberNames()) {
    auto workspace = fields.MemberId<base::WorkspaceId>(name);
    record.m_levels[std::move(workspace)] = ReadTokens(fields, name);
  }
  return Result(std::move(record), std::move(problems));
}

std::string BucketObjectName(ShareSlot aSlot)
{
  return "share-" + std::to_string(aSlot.m_share.Value()) + "/slot-" +
         std::to_string(aSlot.m_slot.Value());
}

} // namespace sardinefold::entry
