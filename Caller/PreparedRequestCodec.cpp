#include "Caller/PreparedRequestCodec.h"

#include "Base/CaseInsensitive.h"
#include "Base/Digest.h"
#include "Caller/CallerCodec.h"
#include "Caller/ModelLookup.h"

namespace sardinefold::caller {

namespace {

constexpr std::string_view kInternalPrefix = "Sardinefold-";
constexpr std::string_view kModelRoot = "/v1/";
constexpr char kIdempotencyHeader[] = "Idempotency-Key";

/// The path after a route's prefix, without a leading slash.
std::string_view Remainder(operators::RouteSpec const& aRoute, std::string_view aPath)
{
  aPath.remove_prefix(aRoute.m_pathPrefix.size());
  if (aPath.starts_with('/')) {
    aPath.remove_prefix(1);
  }
  return aPath;
}

bool ServesModels(operators::Document const& aDocument, base::DeploymentId const& aDeployment)
{
  for (auto const& [id, upstream] : aDocument.m_upstreams) {
    if (upstream.m_deployment == aDeployment) {
      return upstream.m_kind == operators::UpstreamKind::Engine;
    }
  }
  return false;
}

/// Removes headers that an upstream must not receive: the caller's key in any
/// form, and headers that the system sets itself.
void RemoveCallersHeaders(base::HttpHeaders& aHeaders)
{
  base::RemoveHopByHopHeaders(aHeaders);
  RemoveInternalHeaders(aHeaders);
  for (auto const* const name : { "Authorization", "Cookie", "X-Api-Key", "Api-Key", "Host",
                                  "Content-Length", "Expect", "Idempotency-Key" }) {
    aHeaders.Remove(name);
  }
}

tl::expected<std::optional<std::string>, Refusal> IdempotencyOf(Admitted const& aAdmitted,
                                                                base::HttpRequest const& aMessage)
{
  auto const text = aMessage.m_headers.Find(kIdempotencyHeader);
  if (!text || aAdmitted.m_route.m_isRepeatable) {
    return std::nullopt;
  }
  auto const key = base::IdempotencyKey::Create(*text);
  if (!key || aMessage.m_headers.Count(kIdempotencyHeader) != 1) {
    auto const reason = key ? std::string("is given twice") : std::string(ToText(key.error()));
    return tl::make_unexpected(
      RefuseBeforeSending(RefusalCode::InvalidRequest, "Idempotency-Key " + reason));
  }
  auto const scope =
    aAdmitted.m_workspace.Text() + "\n" + aAdmitted.m_route.m_id.Text() + "\n" + key->Text();
  return base::ToHex(base::Sha256(scope));
}

tl::expected<void, Refusal> PrepareModelRequest(operators::Document const& aDocument,
                                                Admitted const& aAdmitted,
                                                ModelRequestLimits const& aLimits,
                                                PreparedRequest& aPrepared)
{
  auto& message = aPrepared.m_message;
  auto const target = std::string(Remainder(aAdmitted.m_route, message.Path()));
  bool const isChat = target == "chat/completions";
  if (!isChat && target != "completions") {
    return tl::make_unexpected(
      RefuseBeforeSending(RefusalCode::UnknownRoute,
                          "the model API has chat/completions, completions and models below " +
                            aAdmitted.m_route.m_pathPrefix));
  }
  if (message.m_method != "POST") {
    return tl::make_unexpected(
      RefuseBeforeSending(RefusalCode::InvalidRequest, target + " takes the method POST"));
  }
  auto const api = isChat ? ModelApi::Chat : ModelApi::Completion;
  auto request = ParseModelRequest(api, message.m_body, aAdmitted.m_route.m_class, aLimits);
  if (!request) {
    return tl::make_unexpected(
      RefuseBeforeSending(RefusalCode::InvalidRequest, request.error().m_message));
  }
  auto const model = FindModel(aDocument, aAdmitted.m_route.m_deployment, request->m_name);
  if (!model) {
    return tl::make_unexpected(RefuseBeforeSending(
      RefusalCode::UnknownModel, "model: \"" + request->m_name + "\" is not served by this route"));
  }
  if (request->m_outputOfChoice > model->m_contextTokens) {
    return tl::make_unexpected(RefuseBeforeSending(
      RefusalCode::ContextTooLong, "max_tokens: the model's context holds " +
                                     std::to_string(model->m_contextTokens.Value()) + " tokens"));
  }
  message.m_target = std::string(kModelRoot) + target;
  message.m_body = std::move(request->m_body);
  message.m_headers.Set("Content-Type", "application/json");
  auto& dispatch = aPrepared.m_dispatch;
  dispatch.m_model = model->m_model;
  dispatch.m_adapter = model->m_adapter;
  dispatch.m_session = request->m_session;
  dispatch.m_prefixHash = request->m_prefixHash;
  dispatch.m_prompt = request->m_prompt;
  dispatch.m_output = request->m_output;
  return {};
}

} // namespace

void RemoveInternalHeaders(base::HttpHeaders& aHeaders)
{
  std::vector<std::string> names;
  for (auto const& field : aHeaders.Fields()) {
    if (base::StartsWithIgnoringCase(field.m_name, kInternalPrefix)) {
      names.push_back(field.m_name);
    }
  }
  for (auto const& name : names) {
    aHeaders.Remove(name);
  }
}

bool IsEventStream(base::HttpHeaders const& aHeaders)
{
  auto const type = aHeaders.Find("Content-Type");
  return type && base::StartsWithIgnoringCase(*type, "text/event-stream");
}

bool IsModelList(operators::Document const& aDocument, Admitted const& aAdmitted,
                 base::HttpRequest const& aMessage)
{
  return aMessage.m_method == "GET" && Remainder(aAdmitted.m_route, aMessage.Path()) == "models" &&
         ServesModels(aDocument, aAdmitted.m_route.m_deployment);
}

tl::expected<PreparedRequest, Refusal> Prepare(operators::Document const& aDocument,
                                               Admitted const& aAdmitted,
                                               base::HttpRequest aMessage,
                                               base::RequestId const& aRequest,
                                               ModelRequestLimits const& aLimits)
{
  auto const& route = aAdmitted.m_route;
  auto idempotency = IdempotencyOf(aAdmitted, aMessage);
  if (!idempotency) {
    return tl::make_unexpected(idempotency.error());
  }
  PreparedRequest prepared;
  prepared.m_message = std::move(aMessage);
  auto& dispatch = prepared.m_dispatch;
  dispatch.m_id = aRequest;
  dispatch.m_workspace = aAdmitted.m_workspace;
  dispatch.m_route = route.m_id;
  dispatch.m_deployment = route.m_deployment;
  dispatch.m_class = route.m_class;
  dispatch.m_deadline = aAdmitted.m_deadline;
  dispatch.m_isRepeatable = route.m_isRepeatable;
  dispatch.m_idempotency = std::move(*idempotency);
  RemoveCallersHeaders(prepared.m_message.m_headers);
  if (ServesModels(aDocument, route.m_deployment)) {
    auto const checked = PrepareModelRequest(aDocument, aAdmitted, aLimits, prepared);
    if (!checked) {
      return tl::make_unexpected(checked.error());
    }
  }
  auto const& message = prepared.m_message;
  auto const content = message.m_method + "\n" + message.m_target + "\n" + message.m_body;
  dispatch.m_fingerprint = base::ToHex(base::Sha256(content));
  prepared.m_message.m_headers.Set("X-Request-Id", aRequest.Text());
  return prepared;
}

Refusal ToRefusal(agent::DispatchError const& aError)
{
  if (auto const* const unknown = std::get_if<base::Unknown>(&aError.m_outcome)) {
    return Refusal::OutcomeUnknown(*unknown);
  }
  auto const& proof = std::get<base::NotRun>(aError.m_outcome);
  auto code = RefusalCode::UpstreamFailed;
  switch (aError.m_code) {
    case agent::DispatchErrorCode::NoUpstream:
      code = RefusalCode::NoUpstream;
      break;
    case agent::DispatchErrorCode::AllowanceExceeded:
      code = RefusalCode::AllowanceExceeded;
      break;
    case agent::DispatchErrorCode::Overloaded:
    case agent::DispatchErrorCode::Cancelled:
      code = RefusalCode::Overloaded;
      break;
    case agent::DispatchErrorCode::DeadlineUnreachable:
      code = RefusalCode::DeadlineUnreachable;
      break;
    case agent::DispatchErrorCode::UpstreamFailed:
      code = RefusalCode::UpstreamFailed;
      break;
    case agent::DispatchErrorCode::IdempotencyKeyReused:
      code = RefusalCode::IdempotencyKeyReused;
      break;
    case agent::DispatchErrorCode::SuspectRequest:
      code = RefusalCode::SuspectRequest;
      break;
    case agent::DispatchErrorCode::PlatformUnavailable:
      code = RefusalCode::PlatformUnavailable;
      break;
  }
  return Refusal::NotRun(code, proof, aError.m_retryAfter);
}

} // namespace sardinefold::caller
