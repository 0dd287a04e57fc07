#include "Agent/Placement/PlacementCodec.h"

#include "Base/Json.h"

#include <json/value.h>

#include <set>

namespace sardinefold::agent {

namespace {

constexpr char kGranted[] = "granted";
constexpr char kRevoking[] = "revoking";

tl::unexpected<std::string> InvalidField(std::string const& aField, std::string const& aExpected)
{
  return tl::make_unexpected(aField + " " + aExpected);
}

tl::expected<Holder, std::string> DecodeHolder(Json::Value const& aValue, std::string const& aField)
{
  if (!aValue.isObject()) {
    return InvalidField(aField, "must be an object");
  }
  if (!aValue["upstream"].isString()) {
    return InvalidField(aField + ".upstream", "must be a string");
  }
  auto upstream = base::UpstreamId::Create(aValue["upstream"].asString());
  if (!upstream) {
    return InvalidField(aField + ".upstream", std::string(base::ToText(upstream.error())));
  }
  auto const state = aValue["state"].isString() ? aValue["state"].asString() : std::string();
  if (state != kGranted && state != kRevoking) {
    return InvalidField(aField + ".state", "must be \"granted\" or \"revoking\"");
  }
  if (!aValue["warm"].isBool()) {
    return InvalidField(aField + ".warm", "must be true or false");
  }
  auto const holderState = state == kGranted ? HolderState::Granted : HolderState::Revoking;
  return Holder{ std::move(*upstream), holderState, aValue["warm"].asBool() };
}

tl::expected<std::vector<Holder>, std::string> DecodeHolders(Json::Value const& aValue)
{
  if (!aValue.isArray()) {
    return InvalidField("holders", "must be an array");
  }
  std::vector<Holder> holders;
  std::set<base::UpstreamId> seen;
  for (Json::ArrayIndex index = 0; index < aValue.size(); ++index) {
    auto const field = "holders[" + std::to_string(index) + "]";
    auto holder = DecodeHolder(aValue[index], field);
    if (!holder) {
      return tl::make_unexpected(holder.error());
    }
    if (!seen.insert(holder->m_upstream).second) {
      return InvalidField(field + ".upstream", "is named twice");
    }
    holders.push_back(std::move(*holder));
  }
  return holders;
}

} // namespace

std::string EncodePlacement(Placement const& aPlacement)
{
  Json::Value value(Json::objectValue);
  value["model"] = aPlacement.m_model.Text();
  value["decided"] = aPlacement.m_decided;
  value["holders"] = Json::Value(Json::arrayValue);
  for (Holder const& holder : aPlacement.m_holders) {
    Json::Value row(Json::objectValue);
    row["upstream"] = holder.m_upstream.Text();
    row["state"] = holder.m_state == HolderState::Granted ? kGranted : kRevoking;
    row["warm"] = holder.m_isKeptWarm;
    value["holders"].append(row);
  }
  return base::RenderJson(value);
}

tl::expected<Placement, std::string> DecodePlacement(std::string_view aValue)
{
  auto const value = base::ParseJson(aValue);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  if (!value->isObject()) {
    return InvalidField("placement", "must be an object");
  }
  if (!(*value)["model"].isString()) {
    return InvalidField("model", "must be a string");
  }
  auto model = base::ModelId::Create((*value)["model"].asString());
  if (!model) {
    return InvalidField("model", std::string(base::ToText(model.error())));
  }
  if (!(*value)["decided"].isUInt()) {
    return InvalidField("decided", "must be a whole number, not negative");
  }
  auto holders = DecodeHolders((*value)["holders"]);
  if (!holders) {
    return tl::make_unexpected(holders.error());
  }
  unsigned const decided = (*value)["decided"].asUInt();
  if (holders->size() > decided) {
    return InvalidField("holders", "must be no longer than decided");
  }
  return Placement{ std::move(*model), decided, std::move(*holders) };
}

} // namespace sardinefold::agent
