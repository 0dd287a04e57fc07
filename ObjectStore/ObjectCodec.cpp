#include "ObjectStore/ObjectCodec.h"

#include "Base/Http/PercentEncoding.h"
#include "Base/Json.h"

#include <charconv>

namespace sardinefold::objectstore {

namespace {

constexpr std::string_view kNoncePrefix = "write:";
constexpr std::size_t kMaximumNonceLineBytes = 80;

std::string ObjectTarget(ObjectKey const& aKey)
{
  return "/v1/objects/" + std::string(ToText(aKey.m_kind)) + "/" +
         base::PercentEncode(aKey.m_name.Text());
}

/// The tag names the era, too, so that a condition of an earlier era holds for no
/// version of a later one.
std::string VersionTag(base::ObjectVersion aVersion)
{
  auto const number = std::to_string(aVersion.Value());
  auto const era = std::to_string(aVersion.Era().Value());
  return aVersion.Era() == base::StoreEra() ? "\"" + number + "\""
                                            : "\"" + era + "." + number + "\"";
}

std::uint64_t ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

base::ObjectVersion ParseVersionTag(std::string_view aTag)
{
  if (aTag.size() <= 2) {
    return {};
  }
  auto const text = aTag.substr(1, aTag.size() - 2);
  auto const dot = text.find('.');
  if (dot == std::string_view::npos) {
    return base::ObjectVersion(ParseNumber(text));
  }
  return { base::StoreEra(ParseNumber(text.substr(0, dot))), ParseNumber(text.substr(dot + 1)) };
}

/// Returns the era in which a response was given; a store that names none has one.
base::StoreEra EraOf(base::HttpResponse const& aResponse)
{
  return base::StoreEra(ParseNumber(aResponse.m_headers.Find("Objects-Era").value_or("")));
}

tl::unexpected<ReadError> Malformed(std::string aDetail)
{
  return tl::make_unexpected(ReadError{ ReadError::Kind::Malformed, std::move(aDetail) });
}

ReadError ToReadError(base::HttpResponse const& aResponse)
{
  auto const detail = "status " + std::to_string(aResponse.m_status);
  switch (aResponse.m_status) {
    case 404:
      return { ReadError::Kind::NotFound, detail };
    case 410:
      return { ReadError::Kind::Compacted, detail };
    case 429:
      return { ReadError::Kind::Throttled, detail };
    default:
      return { aResponse.m_status >= 500 ? ReadError::Kind::Unavailable
                                         : ReadError::Kind::Malformed,
               detail };
  }
}

tl::expected<Json::Value, ReadError> DecodeBody(base::HttpResponse const& aResponse)
{
  if (aResponse.m_status != 200) {
    return tl::make_unexpected(ToReadError(aResponse));
  }
  auto body = base::ParseJson(aResponse.m_body);
  if (!body) {
    return Malformed(body.error());
  }
  if (!body->isObject()) {
    return Malformed("the answer is not an object");
  }
  return std::move(*body);
}

tl::expected<Object, ReadError> ReadObject(Json::Value const& aValue, base::StoreEra aEra)
{
  if (!aValue.isObject() || !aValue["kind"].isString() || !aValue["name"].isString()) {
    return Malformed("an object needs the texts \"kind\" and \"name\"");
  }
  if (!aValue["version"].isUInt64() || !aValue["value"].isString()) {
    return Malformed("an object needs the number \"version\" and the text \"value\"");
  }
  auto const kind = ParseObjectKind(aValue["kind"].asString());
  auto const name = ObjectName::Create(aValue["name"].asString());
  if (!kind || !name) {
    return Malformed("\"kind\" or \"name\" is not one of this system");
  }
  Object object;
  object.m_key = { *kind, *name };
  object.m_version = { aEra, aValue["version"].asUInt64() };
  DecodeValue(aValue["value"].asString(), object);
  return object;
}

tl::expected<ObjectChange, ReadError> ReadChange(Json::Value const& aValue, base::StoreEra aEra)
{
  if (!aValue.isObject() || !aValue["type"].isString()) {
    return Malformed("an event needs the text \"type\"");
  }
  auto object = ReadObject(aValue["object"], aEra);
  if (!object) {
    return tl::make_unexpected(object.error());
  }
  if (aValue["type"].asString() == "delete") {
    return ObjectDeleted{ std::move(object->m_key), object->m_version };
  }
  if (aValue["type"].asString() != "put") {
    return Malformed("\"type\" is neither put nor delete");
  }
  return ObjectPut{ std::move(*object) };
}

std::string TextField(Json::Value const& aValue, char const* aField)
{
  return aValue[aField].isString() ? aValue[aField].asString() : std::string();
}

tl::expected<HostEntry, ReadError> ReadHost(Json::Value const& aValue)
{
  if (!aValue.isObject()) {
    return Malformed("an entry of \"hosts\" is not an object");
  }
  auto const host = base::HostId::Create(TextField(aValue, "host"));
  auto const domain = base::FailureDomainId::Create(TextField(aValue, "failure_domain"));
  auto const region = base::RegionId::Create(TextField(aValue, "region"));
  if (!host || !domain || !region) {
    return Malformed("\"host\", \"failure_domain\" or \"region\" is not an identifier");
  }
  auto const role = TextField(aValue, "role");
  auto const state = TextField(aValue, "state");
  if ((role != "entry" && role != "upstream") || (state != "live" && state != "leaving")) {
    return Malformed("\"role\" or \"state\" of host " + host->Text() + " is not known");
  }
  HostEntry entry;
  entry.m_host = *host;
  entry.m_role = role == "entry" ? HostRole::Entry : HostRole::Upstream;
  entry.m_failureDomain = *domain;
  entry.m_region = *region;
  entry.m_address = TextField(aValue, "address");
  entry.m_state = state == "live" ? HostState::Live : HostState::Draining;
  return entry;
}

} // namespace

base::HttpRequest EncodeGet(ObjectKey const& aKey)
{
  base::HttpRequest request;
  request.m_target = ObjectTarget(aKey);
  return request;
}

base::HttpRequest EncodeList(ObjectKind aKind, ObjectName const& aPrefix)
{
  base::HttpRequest request;
  request.m_target =
    "/v1/objects/" + std::string(ToText(aKind)) + "?prefix=" + base::PercentEncode(aPrefix.Text());
  return request;
}

base::HttpRequest EncodeWatch(ObjectKind aKind, ObjectName const& aPrefix,
                              base::ObjectVersion aAfter, base::Duration aLimit)
{
  base::HttpRequest request;
  request.m_target = "/v1/watch/" + std::string(ToText(aKind)) +
                     "?prefix=" + base::PercentEncode(aPrefix.Text()) +
                     "&after=" + std::to_string(aAfter.Value()) +
                     "&timeout_ms=" + std::to_string(base::ToMilliseconds(aLimit));
  return request;
}

base::HttpRequest EncodeWrite(ObjectWrite const& aWrite)
{
  base::HttpRequest request;
  request.m_method = "PUT";
  request.m_target = ObjectTarget(aWrite.m_key);
  if (auto const* const version = std::get_if<IfVersion>(&aWrite.m_condition)) {
    request.m_headers.Add("If-Match", VersionTag(version->m_version));
  } else {
    request.m_headers.Add("If-None-Match", "*");
  }
  request.m_body = EncodeValue(aWrite.m_nonce, aWrite.m_value);
  return request;
}

base::HttpRequest EncodeDelete(ObjectKey const& aKey, base::ObjectVersion aVersion)
{
  base::HttpRequest request;
  request.m_method = "DELETE";
  request.m_target = ObjectTarget(aKey);
  request.m_headers.Add("If-Match", VersionTag(aVersion));
  return request;
}

base::HttpRequest EncodeHosts()
{
  base::HttpRequest request;
  request.m_target = "/v1/hosts";
  return request;
}

tl::expected<Object, ReadError> DecodeObject(base::HttpResponse const& aResponse)
{
  return DecodeBody(aResponse).and_then(
    [&](Json::Value const& aValue) { return ReadObject(aValue, EraOf(aResponse)); });
}

tl::expected<ObjectList, ReadError> DecodeList(base::HttpResponse const& aResponse)
{
  auto const body = DecodeBody(aResponse);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!(*body)["version"].isUInt64() || !(*body)["items"].isArray()) {
    return Malformed("a list needs the number \"version\" and the array \"items\"");
  }
  ObjectList list;
  list.m_version = { EraOf(aResponse), (*body)["version"].asUInt64() };
  for (auto const& item : (*body)["items"]) {
    auto object = ReadObject(item, list.m_version.Era());
    if (!object) {
      return tl::make_unexpected(object.error());
    }
    list.m_objects.push_back(std::move(*object));
  }
  return list;
}

tl::expected<ObjectChanges, ReadError> DecodeChanges(base::HttpResponse const& aResponse)
{
  auto const body = DecodeBody(aResponse);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!(*body)["version"].isUInt64() || !(*body)["events"].isArray()) {
    return Malformed("a watch needs the number \"version\" and the array \"events\"");
  }
  ObjectChanges changes;
  changes.m_version = { EraOf(aResponse), (*body)["version"].asUInt64() };
  for (auto const& event : (*body)["events"]) {
    auto change = ReadChange(event, changes.m_version.Era());
    if (!change) {
      return tl::make_unexpected(change.error());
    }
    changes.m_changes.push_back(std::move(*change));
  }
  return changes;
}

tl::expected<HostList, ReadError> DecodeHosts(base::HttpResponse const& aResponse)
{
  auto const body = DecodeBody(aResponse);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!(*body)["hosts"].isArray()) {
    return Malformed("the host list needs the array \"hosts\"");
  }
  HostList hosts;
  for (auto const& one : (*body)["hosts"]) {
    auto entry = ReadHost(one);
    if (!entry) {
      return tl::make_unexpected(entry.error());
    }
    hosts.push_back(std::move(*entry));
  }
  return hosts;
}

tl::expected<base::ObjectVersion, WriteError> DecodeWrite(base::HttpResponse const& aResponse)
{
  using Kind = WriteError::Kind;
  auto const status = aResponse.m_status;
  auto const fail = [&](Kind aKind) {
    return tl::make_unexpected(WriteError{ aKind, "status " + std::to_string(status) });
  };
  if (status == 200 || status == 204) {
    auto const version = ParseVersionTag(aResponse.m_headers.Find("ETag").value_or(""));
    return version.Value() == 0 && status == 200
             ? tl::expected<base::ObjectVersion, WriteError>(fail(Kind::Unknown))
             : version;
  }
  if (status == 412) {
    return fail(Kind::Conflict);
  }
  if (status == 413) {
    return fail(Kind::TooLarge);
  }
  if (status == 429) {
    return fail(Kind::Throttled);
  }
  // NOTE: An intermediary may return a server error after the write has been
  // applied.
  return fail(status >= 500 ? Kind::Unknown : Kind::NotApplied);
}

std::string EncodeValue(WriteNonce const& aNonce, std::string_view aValue)
{
  return std::string(kNoncePrefix) + aNonce.Text() + "\n" + std::string(aValue);
}

void DecodeValue(std::string aStored, Object& aObject)
{
  auto const end = aStored.find('\n');
  bool const hasNonce =
    aStored.starts_with(kNoncePrefix) && end != std::string::npos && end <= kMaximumNonceLineBytes;
  if (hasNonce) {
    auto const text =
      std::string_view(aStored).substr(kNoncePrefix.size(), end - kNoncePrefix.size());
    if (auto nonce = WriteNonce::Create(text)) {
      aObject.m_nonce = std::move(*nonce);
      aObject.m_value = aStored.substr(end + 1);
      return;
    }
  }
  aObject.m_value = std::move(aStored);
}

} // namespace sardinefold::objectstore
