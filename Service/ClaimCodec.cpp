#include "Service/ClaimCodec.h"

#include "Base/Json.h"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace sardinefold::service {

namespace {

struct StateName
{
  ClaimState m_state;
  std::string_view m_text;
};

constexpr std::array kStateNames{ StateName{ ClaimState::Running, "running" },
                                  StateName{ ClaimState::Answered, "answered" },
                                  StateName{ ClaimState::AnswerNotKept, "answer_not_kept" },
                                  StateName{ ClaimState::Lost, "lost" },
                                  StateName{ ClaimState::Released, "released" } };

bool IsPlainText(std::string const& aText)
{
  return std::ranges::all_of(aText, [](char aCharacter) {
    auto const byte = static_cast<unsigned char>(aCharacter);
    return byte != 0 && byte < 0x80;
  });
}

/// Encodes arbitrary bytes: as a string if they are plain ASCII text, otherwise
/// in hexadecimal, as JSON strings hold only text.
void EncodeBytes(Json::Value& aObject, std::string const& aName, std::string const& aBytes)
{
  if (IsPlainText(aBytes)) {
    aObject[aName] = aBytes;
    return;
  }
  std::string digits;
  boost::algorithm::hex_lower(aBytes, std::back_inserter(digits));
  aObject[aName + "_hex"] = digits;
}

tl::expected<std::string, std::string> DecodeBytes(Json::Value const& aObject,
                                                   std::string const& aName)
{
  if (aObject[aName].isString()) {
    return aObject[aName].asString();
  }
  auto const& digits = aObject[aName + "_hex"];
  if (!digits.isString()) {
    return tl::make_unexpected(aName + " is missing");
  }
  std::string bytes;
  try {
    boost::algorithm::unhex(digits.asString(), std::back_inserter(bytes));
  } catch (boost::algorithm::hex_decode_error const&) {
    return tl::make_unexpected(aName + "_hex is not hexadecimal");
  }
  return bytes;
}

Json::Value EncodeResponse(StoredResponse const& aResponse)
{
  Json::Value value(Json::objectValue);
  value["status"] = aResponse.m_status;
  value["fields"] = Json::Value(Json::arrayValue);
  for (auto const& field : aResponse.m_fields) {
    Json::Value entry(Json::objectValue);
    entry["name"] = field.m_name;
    EncodeBytes(entry, "value", field.m_value);
    value["fields"].append(entry);
  }
  EncodeBytes(value, "body", aResponse.m_body);
  return value;
}

tl::expected<StoredResponse, std::string> DecodeResponse(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["status"].isUInt() || !aValue["fields"].isArray()) {
    return tl::make_unexpected("answer.status or answer.fields has the wrong type");
  }
  StoredResponse response;
  response.m_status = aValue["status"].asUInt();
  for (auto const& entry : aValue["fields"]) {
    if (!entry.isObject() || !entry["name"].isString()) {
      return tl::make_unexpected("answer.fields[].name is not a string");
    }
    auto value = DecodeBytes(entry, "value");
    if (!value) {
      return tl::make_unexpected("answer.fields[]." + value.error());
    }
    response.m_fields.push_back({ entry["name"].asString(), std::move(*value) });
  }
  auto body = DecodeBytes(aValue, "body");
  if (!body) {
    return tl::make_unexpected("answer." + body.error());
  }
  response.m_body = std::move(*body);
  return response;
}

template<typename Id>
bool ReadId(Json::Value const& aValue, Id& aTarget)
{
  auto id = Id::Create(aValue.isString() ? aValue.asString() : std::string());
  if (!id) {
    return false;
  }
  aTarget = std::move(*id);
  return true;
}

} // namespace

std::string EncodeClaim(Claim const& aClaim)
{
  Json::Value value(Json::objectValue);
  for (auto const& name : kStateNames) {
    if (name.m_state == aClaim.m_state) {
      value["state"] = std::string(name.m_text);
    }
  }
  value["owner"] = aClaim.m_owner.Text();
  value["incarnation"] = aClaim.m_incarnation.Text();
  value["content"] = aClaim.m_content.Text();
  if (aClaim.m_response) {
    value["answer"] = EncodeResponse(*aClaim.m_response);
  }
  return base::RenderJson(value);
}

tl::expected<Claim, std::string> DecodeClaim(std::string_view aValue)
{
  auto const value = base::ParseJson(aValue);
  if (!value) {
    return tl::make_unexpected(value.error());
  }
  if (!value->isObject()) {
    return tl::make_unexpected("the claim is not an object");
  }
  Claim claim;
  bool const hasIds = ReadId((*value)["owner"], claim.m_owner) &&
                      ReadId((*value)["incarnation"], claim.m_incarnation) &&
                      ReadId((*value)["content"], claim.m_content);
  if (!hasIds) {
    return tl::make_unexpected("owner, incarnation or content is not an identifier");
  }
  auto const& state = (*value)["state"];
  auto const* const name = std::ranges::find_if(kStateNames, [&](StateName const& aName) {
    return state.isString() && state.asString() == aName.m_text;
  });
  if (name == kStateNames.end()) {
    return tl::make_unexpected("state has a value that is not known");
  }
  claim.m_state = name->m_state;
  if (claim.m_state == ClaimState::Answered) {
    auto response = DecodeResponse((*value)["answer"]);
    if (!response) {
      return tl::make_unexpected(response.error());
    }
    claim.m_response = std::move(*response);
  }
  return claim;
}

} // namespace sardinefold::service
