#define BOOST_TEST_MODULE Caller
#include "Base/Json.h"
#include "Caller/Admission.h"
#include "Caller/CallerCodec.h"
#include "Caller/PreparedRequestCodec.h"
#include "Caller/UsageScanner.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using caller::ModelApi;
using caller::RefusalCode;
using operators::RequestClass;

namespace {

constexpr base::Instant kNow{ std::chrono::seconds(100) };

/// Accepts a single key, or cannot verify any key while it is isolated.
struct SingleKeyVerifier
{
  bool m_isIsolated = false;

  tl::expected<base::WorkspaceId, caller::KeyError> Verify(std::string_view aSecret,
                                                           base::Instant) const
  {
    if (m_isIsolated) {
      return tl::make_unexpected(caller::KeyError::NotVerifiable);
    }
    if (aSecret != "good") {
      return tl::make_unexpected(caller::KeyError::Invalid);
    }
    return base::WorkspaceId::FromValidated("marshals");
  }
};

operators::RouteSpec Route(std::string aName, std::string aPrefix, std::string aDeployment)
{
  operators::RouteSpec route;
  route.m_id = base::RouteId::FromValidated(std::move(aName));
  route.m_pathPrefix = std::move(aPrefix);
  route.m_deployment = base::DeploymentId::FromValidated(std::move(aDeployment));
  route.m_deadline = std::chrono::seconds(5);
  return route;
}

operators::Document SmallDocument()
{
  operators::Document document;
  auto models = Route("models", "/v1/", "assistant");
  models.m_class = RequestClass::Interactive;
  auto orders = Route("orders", "/orders", "dispatch");
  orders.m_isRepeatable = false;
  auto status = Route("status", "/orders/status", "dispatch");
  status.m_isOpen = true;
  for (auto const& route : { models, orders, status }) {
    document.m_routes.emplace(route.m_id, route);
  }
  operators::ModelSpec model;
  model.m_id = base::ModelId::FromValidated("briefing");
  model.m_deployment = models.m_deployment;
  model.m_contextTokens = base::Tokens(1000);
  document.m_models.emplace(model.m_id, model);
  operators::AdapterSpec adapter;
  adapter.m_id = base::AdapterId::FromValidated("briefing-kazakh");
  adapter.m_model = model.m_id;
  document.m_adapters.emplace(adapter.m_id, adapter);
  operators::UpstreamSpec engine;
  engine.m_id = base::UpstreamId::FromValidated("engine-1");
  engine.m_deployment = models.m_deployment;
  document.m_upstreams.emplace(engine.m_id, engine);
  operators::UpstreamSpec service;
  service.m_id = base::UpstreamId::FromValidated("dispatch-1");
  service.m_deployment = orders.m_deployment;
  service.m_kind = operators::UpstreamKind::Service;
  document.m_upstreams.emplace(service.m_id, service);
  return document;
}

tl::expected<caller::Admitted, caller::Refusal> AdmitPath(
  std::string_view aPath, std::optional<std::string_view> aAuthorization,
  SingleKeyVerifier aKeys = {})
{
  caller::RouteTable const routes(SmallDocument());
  return caller::Admit(routes, aKeys, aPath, aAuthorization, kNow);
}

base::HttpRequest Post(std::string aTarget, std::string aBody)
{
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_target = std::move(aTarget);
  request.m_body = std::move(aBody);
  return request;
}

tl::expected<caller::PreparedRequest, caller::Refusal> PreparePath(std::string const& aPath,
                                                                   base::HttpRequest aMessage)
{
  auto const admitted = AdmitPath(aPath, "Bearer good");
  BOOST_REQUIRE(admitted);
  return caller::Prepare(SmallDocument(), *admitted, std::move(aMessage),
                         base::RequestId::FromValidated("r1"), {});
}

constexpr char kChat[] =
  R"({"model":"briefing","messages":[{"role":"user","content":"hello"}],"max_tokens":10})";

} // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixThatEndsAtASegmentWins)
{
  auto const open = AdmitPath("/orders/status/7", std::nullopt);
  BOOST_REQUIRE(open);
  BOOST_TEST(open->m_route.m_id.Text() == "status");
  BOOST_TEST(open->m_workspace == caller::OpenWorkspace());
  BOOST_TEST(AdmitPath("/orders/7", "Bearer good")->m_route.m_id.Text() == "orders");
  auto const other = AdmitPath("/ordersheet", "Bearer good");
  BOOST_REQUIRE(!other);
  BOOST_TEST((other.error().Code() == RefusalCode::UnknownRoute));
}

BOOST_AUTO_TEST_CASE(KeysAreRequiredCheckedAndBoundToTheirWorkspace)
{
  auto const served = AdmitPath("/v1/models", "bearer good");
  BOOST_REQUIRE(served);
  BOOST_TEST(served->m_workspace.Text() == "marshals");
  BOOST_TEST((served->m_deadline == kNow + std::chrono::seconds(5)));
  BOOST_TEST((AdmitPath("/v1/models", std::nullopt).error().Code() == RefusalCode::MissingKey));
  BOOST_TEST((AdmitPath("/v1/models", "Basic good").error().Code() == RefusalCode::MissingKey));
  BOOST_TEST((AdmitPath("/v1/models", "Bearer bad").error().Code() == RefusalCode::InvalidKey));
  auto const isolated = AdmitPath("/v1/models", "Bearer good", SingleKeyVerifier{ true });
  BOOST_TEST((isolated.error().Code() == RefusalCode::KeysNotVerifiable));
  BOOST_TEST(isolated.error().RetryAfter().has_value());
}

BOOST_AUTO_TEST_CASE(EngineGetsExplicitLimitsAndPriority)
{
  auto const request =
    caller::ParseModelRequest(ModelApi::Chat, kChat, RequestClass::Interactive, {});
  BOOST_REQUIRE(request);
  BOOST_TEST(request->m_prompt.Value() == 5 + 8);
  BOOST_TEST(request->m_output.Value() == 10);
  auto const body = base::ParseJson(request->m_body);
  BOOST_REQUIRE(body);
  BOOST_TEST((*body)["priority"].asInt() == 0);
  BOOST_TEST((*body)["max_tokens"].asInt() == 10);
}

BOOST_AUTO_TEST_CASE(ReservationCoversEveryChoice)
{
  auto const body =
    R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_completion_tokens":7,"n":3,"priority":-9})";
  auto const request = caller::ParseModelRequest(ModelApi::Chat, body, RequestClass::Batch, {});
  BOOST_REQUIRE(request);
  BOOST_TEST(request->m_output.Value() == 21);
  BOOST_TEST(request->m_outputOfChoice.Value() == 7);
  auto const sent = base::ParseJson(request->m_body);
  BOOST_TEST((*sent)["priority"].asInt() == 2);
  BOOST_TEST(!sent->isMember("max_completion_tokens"));
}

BOOST_AUTO_TEST_CASE(ErrorsNameTheField)
{
  struct Row
  {
    std::string m_body;
    std::string m_start;
  };
  Row const rows[] = {
    { "[]", "expected a JSON object" },
    { "{", "not valid JSON" },
    { R"({"model":7,"messages":[]})", "model:" },
    { R"({"model":"m","messages":[]})", "messages:" },
    { R"({"model":"m","messages":[{"content":"x"}]})", "messages[0].role:" },
    { R"({"model":"m","messages":[{"role":"user","content":7}]})", "messages[0].content:" },
    { R"({"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]})",
      "messages[0].content[0]:" },
    { R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0})", "max_tokens:" },
    { R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":"9"})",
      "max_tokens:" },
    { R"({"model":"m","messages":[{"role":"user","content":"x"}],"n":99})", "n:" },
    { R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":1})", "stream:" },
    { R"({"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"stream_options":1})",
      "stream_options:" },
    { std::string(5000, '['), "not valid JSON: nested deeper" },
  };
  for (auto const& row : rows) {
    auto const request =
      caller::ParseModelRequest(ModelApi::Chat, row.m_body, RequestClass::Standard, {});
    BOOST_REQUIRE_MESSAGE(!request, row.m_body);
    BOOST_TEST(request.error().m_message.starts_with(row.m_start),
               row.m_body << " gave " << request.error().m_message);
  }
}

BOOST_AUTO_TEST_CASE(UpstreamNeverReceivesTheKey)
{
  auto message = Post("/v1/chat/completions", kChat);
  for (auto const* const name :
       { "Authorization", "authorization", "Cookie", "X-Api-Key", "Sardinefold-Workspace",
         "Connection", "X-Hop", "Proxy-Authorization" }) {
    message.m_headers.Add(name, "X-Hop");
  }
  message.m_headers.Add("X-Trace", "kept");
  auto const prepared = PreparePath("/v1/chat/completions", std::move(message));
  BOOST_REQUIRE(prepared);
  for (auto const& field : prepared->m_message.m_headers.Fields()) {
    BOOST_TEST(field.m_value != "X-Hop", field.m_name);
  }
  BOOST_TEST((prepared->m_message.m_headers.Find("X-Trace") == "kept"));
  BOOST_TEST(prepared->m_message.m_target == "/v1/chat/completions");
}

BOOST_AUTO_TEST_CASE(AdapterNameSelectsItsModel)
{
  auto const body =
    R"({"model":"briefing-kazakh","messages":[{"role":"user","content":"x"}],"max_tokens":9})";
  auto message = Post("/v1/chat/completions", body);
  auto const prepared = PreparePath("/v1/chat/completions", std::move(message));
  BOOST_REQUIRE(prepared);
  BOOST_TEST(prepared->m_dispatch.m_model->Text() == "briefing");
  BOOST_TEST(prepared->m_dispatch.m_adapter->Text() == "briefing-kazakh");
}

BOOST_AUTO_TEST_CASE(UnknownModelsAndTooMuchOutputAreRefused)
{
  auto const unknown =
    PreparePath("/v1/chat/completions",
                Post("/v1/chat/completions",
                     R"({"model":"other","messages":[{"role":"user","content":"x"}]})"));
  BOOST_TEST((unknown.error().Code() == RefusalCode::UnknownModel));
  auto const tooLong = PreparePath(
    "/v1/chat/completions",
    Post("/v1/chat/completions",
         R"({"model":"briefing","messages":[{"role":"user","content":"x"}],"max_tokens":2000})"));
  BOOST_TEST((tooLong.error().Code() == RefusalCode::ContextTooLong));
  BOOST_TEST(tooLong.error().IsProvenNotRun());
}

BOOST_AUTO_TEST_CASE(IdempotencyKeysAreScopedToWorkspaceAndRoute)
{
  auto message = Post("/orders/new", "{}");
  message.m_headers.Add("Idempotency-Key", "abc");
  auto const first = PreparePath("/orders/new", message);
  auto const second = PreparePath("/orders/new", message);
  BOOST_REQUIRE(first);
  BOOST_REQUIRE(first->m_dispatch.m_idempotency.has_value());
  BOOST_TEST(*first->m_dispatch.m_idempotency == *second->m_dispatch.m_idempotency);
  BOOST_TEST(!first->m_dispatch.m_isRepeatable);
  BOOST_TEST(!first->m_message.m_headers.Find("Idempotency-Key").has_value());
  message.m_headers.Add("Idempotency-Key", "other");
  BOOST_TEST((PreparePath("/orders/new", message).error().Code() == RefusalCode::InvalidRequest));
}

BOOST_AUTO_TEST_CASE(RefusalsCarryOutcomeAndRetryAfter)
{
  auto const refusal = caller::RefuseBeforeSending(RefusalCode::AllowanceExceeded, "no tokens",
                                                   std::chrono::milliseconds(1500));
  auto const response = caller::RenderRefusal(refusal, base::RequestId::FromValidated("r9"));
  BOOST_TEST(response.m_status == 429U);
  BOOST_TEST((response.m_headers.Find("Retry-After") == "2"));
  auto const body = base::ParseJson(response.m_body);
  BOOST_TEST((*body)["error"]["outcome"].asString() == "not-run");
  BOOST_TEST((*body)["error"]["request_id"].asString() == "r9");
  auto const unknown = caller::Refusal::OutcomeUnknown({ "cut" });
  auto const unknownResponse = caller::RenderRefusal(unknown, base::RequestId::FromValidated("r9"));
  BOOST_TEST((*base::ParseJson(unknownResponse.m_body))["error"]["outcome"].asString() ==
             "unknown");
}

BOOST_AUTO_TEST_CASE(UsageIsFoundAtTheEndOfAStreamOnly)
{
  caller::UsageScanner scanner;
  BOOST_TEST(!scanner.Total().has_value());
  scanner.Feed(R"(data: {"choices":[{"delta":{"content":"\"total_tokens\":1"}}]})");
  BOOST_TEST(!scanner.Total().has_value());
  for (int event = 0; event < 1000; ++event) {
    scanner.Feed("data: {\"choices\":[]}\n\n");
  }
  scanner.Feed(R"(data: {"usage":{"prompt_tokens":3,"total_)");
  scanner.Feed("tokens\": 44}}\n\ndata: [DONE]\n\n");
  BOOST_REQUIRE(scanner.Total().has_value());
  BOOST_TEST(scanner.Total()->Value() == 44);
}
