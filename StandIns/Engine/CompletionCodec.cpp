#include "StandIns/Engine/CompletionCodec.h"

#include "Base/Json.h"

namespace sardinefold::standins {

namespace {

std::string TextOf(Json::Value const& aContent)
{
  if (aContent.isString()) {
    return aContent.asString();
  }
  std::string text;
  if (aContent.isArray()) {
    for (auto const& part : aContent) {
      if (part.isObject() && part["text"].isString()) {
        text += part["text"].asString();
      }
    }
  }
  return text;
}

tl::expected<std::string, std::string> ReadPrompt(Json::Value const& aBody, bool aIsChat)
{
  if (!aIsChat) {
    if (!aBody["prompt"].isString()) {
      return tl::make_unexpected("field \"prompt\" must be a string");
    }
    return aBody["prompt"].asString();
  }
  if (!aBody["messages"].isArray() || aBody["messages"].empty()) {
    return tl::make_unexpected("field \"messages\" must be an array that is not empty");
  }
  std::string prompt;
  for (auto const& message : aBody["messages"]) {
    if (!message.isObject() || !message["role"].isString()) {
      return tl::make_unexpected("each of \"messages\" must be an object with a \"role\"");
    }
    prompt += message["role"].asString() + ": " + TextOf(message["content"]) + "\n";
  }
  return prompt;
}

Json::Value RenderUsage(CompletionResponse const& aResponse)
{
  Json::Value usage;
  usage["prompt_tokens"] = Json::Value::UInt64(aResponse.m_promptTokens);
  usage["completion_tokens"] = Json::Value::UInt64(aResponse.m_generatedTokens);
  usage["total_tokens"] =
    Json::Value::UInt64(aResponse.m_promptTokens + aResponse.m_generatedTokens);
  usage["prompt_tokens_details"]["cached_tokens"] = Json::Value::UInt64(aResponse.m_cachedTokens);
  return usage;
}

Json::Value RenderHead(CompletionResponse const& aResponse, bool aIsChunk)
{
  Json::Value value;
  value["id"] = aResponse.m_id;
  value["created"] = Json::Value::Int64(aResponse.m_createdSeconds);
  value["model"] = aResponse.m_model;
  if (aResponse.m_isChat) {
    value["object"] = aIsChunk ? "chat.completion.chunk" : "chat.completion";
  } else {
    value["object"] = "text_completion";
  }
  return value;
}

std::string RenderEvent(Json::Value const& aValue)
{
  return "data: " + base::RenderJson(aValue) + "\n\n";
}

} // namespace

tl::expected<CompletionRequest, std::string> ParseCompletionRequest(
  base::HttpRequest const& aRequest)
{
  auto const body = base::ParseJson(aRequest.m_body);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!body->isObject() || !(*body)["model"].isString()) {
    return tl::make_unexpected("field \"model\" must be a string");
  }
  CompletionRequest request;
  request.m_isChat = aRequest.Path() == "/v1/chat/completions";
  request.m_model = (*body)["model"].asString();
  auto prompt = ReadPrompt(*body, request.m_isChat);
  if (!prompt) {
    return tl::make_unexpected(prompt.error());
  }
  request.m_prompt = std::move(*prompt);
  for (auto const* const field : { "max_tokens", "max_completion_tokens" }) {
    auto const& limit = (*body)[field];
    if (limit.isNull()) {
      continue;
    }
    if (!limit.isUInt64() || limit.asUInt64() == 0) {
      return tl::make_unexpected("field \"" + std::string(field) + "\" must be from 1 on");
    }
    request.m_maximumTokens = limit.asUInt64();
  }
  auto const& priority = (*body)["priority"];
  if (!priority.isNull() && !priority.isInt64()) {
    return tl::make_unexpected("field \"priority\" must be a whole number");
  }
  request.m_priority = priority.isNull() ? 0 : priority.asInt64();
  request.m_ignoreEnd = (*body)["ignore_eos"].isBool() && (*body)["ignore_eos"].asBool();
  request.m_stream = (*body)["stream"].isBool() && (*body)["stream"].asBool();
  auto const& options = (*body)["stream_options"];
  request.m_includeUsage =
    options.isObject() && options["include_usage"].isBool() && options["include_usage"].asBool();
  return request;
}

std::string RenderCompletion(CompletionResponse const& aResponse, std::string const& aText)
{
  auto value = RenderHead(aResponse, false);
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = aResponse.m_finishReason;
  if (aResponse.m_isChat) {
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = aText;
  } else {
    choice["text"] = aText;
  }
  value["choices"].append(choice);
  value["usage"] = RenderUsage(aResponse);
  return base::RenderJson(value);
}

std::string RenderTokenEvent(CompletionResponse const& aResponse, std::string const& aToken,
                             bool aIsFirst)
{
  auto value = RenderHead(aResponse, true);
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = Json::Value();
  if (aResponse.m_isChat) {
    if (aIsFirst) {
      choice["delta"]["role"] = "assistant";
    }
    choice["delta"]["content"] = aToken;
  } else {
    choice["text"] = aToken;
  }
  value["choices"].append(choice);
  return RenderEvent(value);
}

std::string RenderFinishEvent(CompletionResponse const& aResponse)
{
  auto value = RenderHead(aResponse, true);
  Json::Value choice;
  choice["index"] = 0;
  choice["finish_reason"] = aResponse.m_finishReason;
  if (aResponse.m_isChat) {
    choice["delta"] = Json::Value(Json::objectValue);
  } else {
    choice["text"] = "";
  }
  value["choices"].append(choice);
  return RenderEvent(value);
}

std::string RenderUsageEvent(CompletionResponse const& aResponse)
{
  auto value = RenderHead(aResponse, true);
  value["choices"] = Json::Value(Json::arrayValue);
  value["usage"] = RenderUsage(aResponse);
  return RenderEvent(value);
}

std::string RenderDoneEvent()
{
  return "data: [DONE]\n\n";
}

} // namespace sardinefold::standins
