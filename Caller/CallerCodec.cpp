#include "Caller/CallerCodec.h"

#include "Base/Digest.h"
#include "Base/Json.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::caller {

namespace {

constexpr std::int64_t kMaximumChoices = 16;
constexpr std::int64_t kMaximumOutputTokens = 1'000'000;
/// Number of leading bytes of the prompt that are hashed to identify a shared
/// prefix.
constexpr std::size_t kPrefixBytes = 256;
/// Tokens that a chat template may add to each message.
constexpr std::int64_t kTokensPerMessage = 8;

tl::unexpected<ModelRequestError> Invalid(std::string aMessage)
{
  return tl::make_unexpected(ModelRequestError{ std::move(aMessage) });
}

/// The text of a prompt and the number of its messages.
struct PromptText
{
  std::string m_text;
  std::int64_t m_messages = 0;
};

tl::expected<void, ModelRequestError> AppendContent(Json::Value const& aContent,
                                                    std::string const& aPath, std::string& aText)
{
  if (aContent.isString()) {
    aText += aContent.asString();
    return {};
  }
  if (aContent.isNull()) {
    return {};
  }
  if (!aContent.isArray()) {
    return Invalid(aPath + ": expected text or a list of parts");
  }
  for (Json::ArrayIndex index = 0; index < aContent.size(); ++index) {
    auto const& part = aContent[index];
    bool const isText = part.isObject() && part["type"] == "text" && part["text"].isString();
    if (!isText) {
      return Invalid(aPath + "[" + std::to_string(index) + "]: expected a part of type \"text\"");
    }
    aText += part["text"].asString();
  }
  return {};
}

tl::expected<PromptText, ModelRequestError> ReadMessages(Json::Value const& aMessages)
{
  if (!aMessages.isArray() || aMessages.empty()) {
    return Invalid("messages: expected a list with at least one message");
  }
  PromptText prompt;
  for (Json::ArrayIndex index = 0; index < aMessages.size(); ++index) {
    auto const path = "messages[" + std::to_string(index) + "]";
    auto const& message = aMessages[index];
    if (!message.isObject() || !message["role"].isString()) {
      return Invalid(path + ".role: expected text");
    }
    auto const appended = AppendContent(message["content"], path + ".content", prompt.m_text);
    if (!appended) {
      return tl::make_unexpected(appended.error());
    }
    ++prompt.m_messages;
  }
  return prompt;
}

tl::expected<PromptText, ModelRequestError> ReadPrompt(Json::Value const& aPrompt)
{
  if (!aPrompt.isString()) {
    return Invalid("prompt: expected text");
  }
  return PromptText{ aPrompt.asString(), 1 };
}

/// Reads a field as an integer; returns the default if the field is absent.
tl::expected<std::int64_t, ModelRequestError> ReadCount(Json::Value const& aRoot,
                                                        char const* aField, std::int64_t aDefault,
                                                        std::int64_t aMaximum)
{
  auto const& value = aRoot[aField];
  if (value.isNull()) {
    return aDefault;
  }
  if (!value.isInt64() || value.asInt64() < 1 || value.asInt64() > aMaximum) {
    return Invalid(std::string(aField) + ": expected a whole number from 1 to " +
                   std::to_string(aMaximum));
  }
  return value.asInt64();
}

tl::expected<bool, ModelRequestError> ReadFlag(Json::Value const& aRoot, char const* aField)
{
  auto const& value = aRoot[aField];
  if (value.isNull()) {
    return false;
  }
  if (!value.isBool()) {
    return Invalid(std::string(aField) + ": expected true or false");
  }
  return value.asBool();
}

tl::expected<std::int64_t, ModelRequestError> ReadOutput(Json::Value const& aRoot,
                                                         ModelRequestLimits const& aLimits)
{
  auto const* const field =
    aRoot.isMember("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  return ReadCount(aRoot, field, aLimits.m_defaultOutput.Value(), kMaximumOutputTokens);
}

/// The engine's scheduling priority: smaller goes first.
int EnginePriority(operators::RequestClass aClass)
{
  return static_cast<int>(aClass);
}

} // namespace

tl::expected<ModelRequest, ModelRequestError> ParseModelRequest(ModelApi aApi,
                                                                std::string_view aBody,
                                                                operators::RequestClass aClass,
                                                                ModelRequestLimits const& aLimits)
{
  auto root = base::ParseJson(aBody);
  if (!root) {
    return Invalid(root.error());
  }
  if (!root->isObject()) {
    return Invalid("expected a JSON object");
  }
  auto const& fields = std::as_const(*root);
  auto const& name = fields["model"];
  if (!name.isString() || !base::CheckIdentifier(name.asString())) {
    return Invalid("model: expected the name of a model or adapter");
  }
  auto const prompt =
    aApi == ModelApi::Chat ? ReadMessages(fields["messages"]) : ReadPrompt(fields["prompt"]);
  if (!prompt) {
    return tl::make_unexpected(prompt.error());
  }
  auto const output = ReadOutput(fields, aLimits);
  if (!output) {
    return tl::make_unexpected(output.error());
  }
  auto const choices = ReadCount(fields, "n", 1, kMaximumChoices);
  if (!choices) {
    return tl::make_unexpected(choices.error());
  }
  auto const isStream = ReadFlag(fields, "stream");
  if (!isStream) {
    return tl::make_unexpected(isStream.error());
  }
  auto const& streamOptions = fields["stream_options"];
  if (!streamOptions.isNull() && !streamOptions.isObject()) {
    return Invalid("stream_options: expected an object");
  }

  ModelRequest request;
  request.m_name = name.asString();
  auto const textBytes = static_cast<std::int64_t>(prompt->m_text.size());
  auto const textTokens = (textBytes + aLimits.m_bytesPerToken - 1) / aLimits.m_bytesPerToken;
  request.m_prompt = base::Tokens(textTokens + prompt->m_messages * kTokensPerMessage);
  request.m_output = base::Tokens(*output * *choices);
  request.m_outputOfChoice = base::Tokens(*output);
  request.m_isStream = *isStream;
  auto const prefix = std::string_view(prompt->m_text).substr(0, kPrefixBytes);
  request.m_prefixHash = base::FastHash(prefix);
  auto const& user = fields["user"];
  if (user.isString()) {
    if (auto session = base::SessionId::Create(user.asString())) {
      request.m_session = std::move(*session);
    }
  }
  root->removeMember("max_completion_tokens");
  (*root)["max_tokens"] = static_cast<Json::Int64>(*output);
  (*root)["priority"] = EnginePriority(aClass);
  if (request.m_isStream) {
    (*root)["stream_options"]["include_usage"] = true;
  }
  request.m_body = base::RenderJson(*root);
  return request;
}

base::HttpResponse RenderRefusal(Refusal const& aRefusal, base::RequestId const& aRequest)
{
  Json::Value error;
  error["message"] = aRefusal.Message();
  error["type"] = HttpStatus(aRefusal.Code()) < 500 ? "invalid_request_error" : "server_error";
  error["code"] = std::string(ToText(aRefusal.Code()));
  error["outcome"] = aRefusal.IsProvenNotRun() ? "not-run" : "unknown";
  error["request_id"] = aRequest.Text();
  Json::Value root;
  root["error"] = std::move(error);
  auto response = base::JsonResponse(HttpStatus(aRefusal.Code()), base::RenderJson(root));
  response.m_headers.Add("X-Request-Id", aRequest.Text());
  if (auto const wait = aRefusal.RetryAfter()) {
    auto const seconds = std::max<std::int64_t>(1, std::llround(std::ceil(base::ToSeconds(*wait))));
    response.m_headers.Add("Retry-After", std::to_string(seconds));
  }
  if (HttpStatus(aRefusal.Code()) == 401) {
    response.m_headers.Add("WWW-Authenticate", "Bearer");
  }
  return response;
}

base::HttpResponse RenderModels(operators::Document const& aDocument,
                                base::DeploymentId const& aDeployment)
{
  Json::Value data(Json::arrayValue);
  auto const add = [&](std::string const& aName, std::string const& aRoot) {
    Json::Value row;
    row["id"] = aName;
    row["object"] = "model";
    row["created"] = 0;
    row["owned_by"] = "sardinefold";
    row["root"] = aRoot;
    data.append(std::move(row));
  };
  for (auto const& [id, model] : aDocument.m_models) {
    if (model.m_deployment == aDeployment) {
      add(id.Text(), id.Text());
    }
  }
  for (auto const& [id, adapter] : aDocument.m_adapters) {
    auto const model = aDocument.m_models.find(adapter.m_model);
    if (model != aDocument.m_models.end() && model->second.m_deployment == aDeployment) {
      add(id.Text(), adapter.m_model.Text());
    }
  }
  Json::Value root;
  root["object"] = "list";
  root["data"] = std::move(data);
  return base::JsonResponse(200, base::RenderJson(root));
}

} // namespace sardinefold::caller
