#include "rattanward/entry/caller_request.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxHeaderValueBytes = 256;
/// Number of leading prompt bytes that are hashed to recognize shared prefixes.
constexpr std::size_t kPromptPrefixBytes = 512;
constexpr int kNoIndent = -1;
/// Silence after which a service's call ends, if its class allows no more time.
constexpr Duration kServiceSilence{std::chrono::seconds(30)};
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kServicesPath = "/services/";

std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Result<std::string> ReadHeader(const http::ServerRequest& request,
                               const char* name) {
  std::string value = HeaderValue(request, name);
  if (value.size() > kMaxHeaderValueBytes) {
    return MakeError(ErrorCode::kMalformedHeader,
                     std::string(name) + " is longer than 256 bytes");
  }
  return value;
}

Result<const RequestClass*> ChooseClass(const ConfigSnapshot& config,
                                        const ClientAccount& account,
                                        const http::ServerRequest& request,
                                        const RequestClassName& default_class) {
  const Result<std::string> requested = ReadHeader(request, "X-Request-Class");
  if (!requested) {
    return requested.error();
  }
  RequestClassName name(requested.value());
  if (name.empty()) {
    name = default_class.empty() && !account.classes.empty()
               ? account.classes.front()
               : default_class;
  }
  const RequestClass* request_class = FindClass(config.config(), name);
  if (request_class == nullptr) {
    return MakeError(ErrorCode::kUnknownClass,
                     "unknown request class \"" + name.str() + "\"");
  }
  const auto& allowed = account.classes;
  if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
    return MakeError(
        ErrorCode::kClassNotAllowed,
        "the client account may not use request class \"" + name.str() + "\"");
  }
  return request_class;
}

Result<IdempotencyKey> ReadIdempotencyKey(const http::ServerRequest& request,
                                          bool idempotent) {
  const Result<std::string> key = ReadHeader(request, "Idempotency-Key");
  if (!key) {
    return key.error();
  }
  if (!idempotent && key.value().empty()) {
    return MakeError(ErrorCode::kIdempotencyKeyRequired,
                     "an Idempotency-Key header is required because this "
                     "request is not idempotent");
  }
  if (idempotent) {
    return IdempotencyKey();
  }
  return IdempotencyKey(key.value());
}

void FillPlan(const ConfigSnapshot& config, const ClientAccount& account,
              const http::ServerRequest& request, const RequestId& id,
              const RequestClass& request_class, ExchangePlan& plan) {
  plan.info.id = id;
  plan.info.account = account.id;
  plan.info.fingerprint = Hash(*request.body, Hash(account.id.str()));
  plan.request.id = id;
  plan.request.method = request.head.method;
  plan.info.request_class = request_class.name;
  plan.first_token_target = request_class.first_token_target;
  plan.silence = config.config().limits.silence;
}

std::string PromptPrefix(const Json& body) {
  std::string start;
  for (const Json& message : body["messages"]) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      start += message["content"].get_ref<const std::string&>();
    }
    if (start.size() >= kPromptPrefixBytes) {
      break;
    }
  }
  return start.substr(0, kPromptPrefixBytes);
}

/// Hashes of the messages that other requests may share: all but the last.
std::vector<std::uint64_t> SharedParts(const Json& body) {
  constexpr std::size_t kMaxParts = 16;
  const Json& messages = body["messages"];
  std::vector<std::uint64_t> parts;
  for (std::size_t i = 0; i + 1 < messages.size() && i < kMaxParts; ++i) {
    parts.push_back(Hash(messages[i].dump(kNoIndent, ' ', false,
                                          Json::error_handler_t::replace)));
  }
  return parts;
}

Status CheckCompletionBody(const ConfigSnapshot& config, const Json& body) {
  if (!body.is_object()) {
    return MakeError(ErrorCode::kMalformedBody,
                     "request body is not a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return MakeError(ErrorCode::kMalformedBody, "\"model\" must be a string");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return MakeError(ErrorCode::kMalformedBody,
                     "\"messages\" must be a non-empty array");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return MakeError(ErrorCode::kMalformedBody, "\"stream\" must be a boolean");
  }
  if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
    return MakeError(ErrorCode::kMalformedBody,
                     "\"max_tokens\" must be a non-negative integer");
  }
  if (!config.HasModel(ModelName(body["model"].get<std::string>()))) {
    return MakeError(
        ErrorCode::kUnknownModel,
        "unknown model \"" + body["model"].get<std::string>() + "\"");
  }
  return outcome::success();
}

}  // namespace

std::string HeaderValue(const http::ServerRequest& request,
                        std::string_view name) {
  const std::string* value = request.head.fields.Find(name);
  return value == nullptr ? std::string() : *value;
}

std::string_view PathOf(const http::ServerRequest& request) {
  const std::string_view target = request.head.target;
  return target.substr(0, target.find('?'));
}

Result<const ClientAccount*> Authenticate(const ConfigSnapshot& config,
                                          const http::ServerRequest& request) {
  const std::string header = HeaderValue(request, "Authorization");
  if (header.rfind(kBearerPrefix, 0) != 0) {
    return MakeError(ErrorCode::kUnknownKey,
                     "an Authorization header with a bearer key is required");
  }
  const std::string_view key = header;
  const ClientAccount* account =
      config.FindAccountByKey(key.substr(kBearerPrefix.size()));
  if (account == nullptr) {
    return MakeError(ErrorCode::kUnknownKey,
                     "the bearer key belongs to no client account");
  }
  return account;
}

Result<CheckedRequest> CheckCompletion(const ConfigSnapshot& config,
                                       const ClientAccount& account,
                                       const http::ServerRequest& request,
                                       const RequestId& id) {
  Json body = Json::parse(*request.body, nullptr, false);
  if (const Status status = CheckCompletionBody(config, body); !status) {
    return status.error();
  }
  const auto request_class = ChooseClass(config, account, request, {});
  if (!request_class) {
    return request_class.error();
  }
  const bool idempotent = request_class.value()->idempotent;
  const auto key = ReadIdempotencyKey(request, idempotent);
  if (!key) {
    return key.error();
  }
  CheckedRequest checked;
  checked.idempotency_key = key.value();
  ExchangePlan& plan = checked.plan;
  FillPlan(config, account, request, id, *request_class.value(), plan);
  plan.info.model = ModelName(body["model"].get<std::string>());
  plan.info.idempotent = idempotent;
  plan.info.shared_parts = SharedParts(body);
  plan.info.prefix = Hash(PromptPrefix(body), Hash(plan.info.model.str()));
  plan.shape = body.value("stream", false) ? AnswerShape::kEventStream
                                           : AnswerShape::kBufferedCompletion;
  body["stream"] = true;
  plan.request.path = "/v1/chat/completions";
  plan.request.content_type = "application/json";
  plan.request.body =
      body.dump(kNoIndent, ' ', false, Json::error_handler_t::replace);
  return checked;
}

Result<CheckedRequest> CheckServiceCall(const ConfigSnapshot& config,
                                        const ClientAccount& account,
                                        const http::ServerRequest& request,
                                        const RequestId& id) {
  const std::string rest(PathOf(request).substr(kServicesPath.size()));
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const ServiceName name(rest.substr(0, slash));
  const ServiceDeclaration* service = FindService(config.config(), name);
  if (service == nullptr) {
    return MakeError(ErrorCode::kUnknownService,
                     "unknown service \"" + name.str() + "\"");
  }
  const auto request_class =
      ChooseClass(config, account, request, service->request_class);
  if (!request_class) {
    return request_class.error();
  }
  const bool idempotent =
      service->idempotent && request_class.value()->idempotent;
  const auto key = ReadIdempotencyKey(request, idempotent);
  if (!key) {
    return key.error();
  }
  CheckedRequest checked;
  checked.idempotency_key = key.value();
  ExchangePlan& plan = checked.plan;
  FillPlan(config, account, request, id, *request_class.value(), plan);
  plan.info.kind = UpstreamKind::kService;
  plan.info.service = name;
  plan.info.idempotent = idempotent;
  plan.shape = AnswerShape::kService;
  // A service can't be asked whether it still works on a call.
  plan.silence = std::max(kServiceSilence, request_class.value()->deadline);
  plan.request.path = slash == rest.size() ? "/" : rest.substr(slash);
  plan.request.path += request.head.target.substr(PathOf(request).size());
  plan.request.content_type = HeaderValue(request, "Content-Type");
  plan.request.body = *request.body;
  if (!key.value().empty()) {
    plan.request.fields.Set("Idempotency-Key", key.value().str());
  }
  return checked;
}

}  // namespace rattanward::entry
