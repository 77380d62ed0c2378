#include "rattanward/entry/caller_front.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "rattanward/entry/http_answers.h"

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;

constexpr Duration kIdleTimeout{std::chrono::seconds(5)};
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr std::size_t kMaxBodyBytesTogether = 64U << 20U;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/services/";
constexpr std::array<std::string_view, 5> kServiceMethods = {
    "GET", "POST", "PUT", "PATCH", "DELETE"};

bool IsCompletion(const http::ServerRequest& request) {
  return request.head.method == "POST" && PathOf(request) == kCompletionsPath;
}

bool IsServiceCall(const http::ServerRequest& request) {
  const std::string_view path = PathOf(request);
  const auto& methods = kServiceMethods;
  return path.size() > kServicesPath.size() &&
         path.starts_with(kServicesPath) &&
         std::find(methods.begin(), methods.end(), request.head.method) !=
             methods.end();
}

void Respond(http::ServerConnection& caller, http::Response answer) {
  caller.Respond(std::move(answer.head), answer.body);
}

}  // namespace

CallerFront::CallerFront(EntryCore& core, const RequestRecorder& recorder,
                         std::string id_prefix, std::size_t max_connections,
                         GuardFactory guards,
                         std::function<std::string()> metrics)
    : core_(core),
      recorder_(recorder),
      id_prefix_(std::move(id_prefix)),
      guards_(std::move(guards)),
      metrics_(std::move(metrics)),
      server_(core.context(), {max_connections, kMaxBodyBytesTogether},
              [this](const Caller& caller, const http::ServerRequest& request) {
                Route(caller, request);
              }) {
  http::ServerLimits limits;
  limits.parser.max_body_bytes = kMaxBodyBytes;
  limits.idle_timeout = kIdleTimeout;
  server_.SetLimits(limits);
  server_.make_error_response = ErrorAnswer;
}

void CallerFront::Route(const Caller& caller,
                        const http::ServerRequest& request) {
  if (IsCompletion(request) || IsServiceCall(request)) {
    Serve(caller, request);
  } else {
    Respond(*caller, Answer(request));
  }
}

/// Answers what needs no upstream.
http::Response CallerFront::Answer(const http::ServerRequest& request) const {
  const std::string_view path = PathOf(request);
  const bool reads =
      request.head.method == "GET" || request.head.method == "HEAD";
  if (reads && path == "/health/live") {
    return JsonAnswer(kOk, "{\"live\":true}");
  }
  if (reads && path == "/health/ready") {
    return Ready();
  }
  if (reads && path == "/v1/models") {
    return ListModels(request);
  }
  if (reads && path == "/metrics") {
    http::Response answer = JsonAnswer(kOk, metrics_ ? metrics_() : "");
    answer.head.fields.Set("Content-Type", "text/plain");
    return answer;
  }
  return ErrorAnswer(
      MakeError(ErrorCode::kUnknownPath, "nothing is served here"));
}

http::Response CallerFront::Ready() const {
  const EntryStatusView view = core_.View();
  const bool ready = view.ready && ready_;
  const Json json = {{"ready", ready},
                     {"version", view.version.value},
                     {"open_requests", view.open_requests},
                     {"upstreams", view.upstreams}};
  return JsonAnswer(ready ? kOk : kUnavailable, json.dump());
}

http::Response CallerFront::ListModels(
    const http::ServerRequest& request) const {
  const auto snapshot = core_.Snapshot();
  if (!snapshot) {
    return ErrorAnswer(MakeError(ErrorCode::kNoConfiguration,
                                 "no configuration is in force here yet"));
  }
  if (const auto account = Authenticate(*snapshot, request); !account) {
    return ErrorAnswer(account.error());
  }
  Json list = Json::array();
  for (const ModelName& model : snapshot->config().models) {
    list.push_back({{"id", model.str()}, {"object", "model"}});
  }
  return JsonAnswer(kOk, Json({{"object", "list"}, {"data", list}}).dump());
}

void CallerFront::Serve(const Caller& caller,
                        const http::ServerRequest& request) {
  http::Fields common;
  if (const std::string id = FieldOf(request, "X-Request-Id"); !id.empty()) {
    common.Set("X-Request-Id", id);
  }
  const auto snapshot = core_.Snapshot();
  if (const Status open = core_.MayStart(); !open || !snapshot) {
    const Error error = open
                            ? MakeError(ErrorCode::kNoConfiguration,
                                        "no configuration is in force here yet")
                            : open.error();
    caller->CloseWhenIdle();
    CallerAnswer(caller, std::move(common)).Fail(error);
    return;
  }
  const RequestId id = NextId();
  Result<CheckedRequest> checked = Check(request, *snapshot, id);
  if (!checked) {
    CallerAnswer(caller, std::move(common)).Fail(checked.error());
    return;
  }
  if (!checked.value().idempotency_key.empty() && guards_) {
    checked.value().plan.guard = guards_(checked.value(), *snapshot);
  }
  common.Set("X-Rattanward-Request", id.str());
  Run(caller, std::move(checked).value(), std::move(common));
}

Result<CheckedRequest> CallerFront::Check(const http::ServerRequest& request,
                                          const ConfigSnapshot& config,
                                          const RequestId& id) const {
  const auto account = Authenticate(config, request);
  if (!account) {
    return account.error();
  }
  const std::size_t most = config.config().limits.max_body_bytes;
  if (request.body->size() > most) {
    return MakeError(ErrorCode::kBodyTooLarge,
                     "the body has " + std::to_string(request.body->size()) +
                         " bytes; the limit is " + std::to_string(most));
  }
  return IsCompletion(request)
             ? CheckCompletion(config, *account.value(), request, id)
             : CheckServiceCall(config, *account.value(), request, id);
}

void CallerFront::Run(const Caller& caller, CheckedRequest checked,
                      http::Fields common) {
  checked.plan.info.arrived = EntryCore::Now();
  const auto exchange = std::make_shared<Exchange>(
      core_, recorder_, std::move(checked.plan),
      CallerAnswer(caller, std::move(common)),
      [this](const auto& ended) { open_.erase(ended); });
  open_.insert(exchange);
  const std::weak_ptr<Exchange> weak = exchange;
  caller->Watch({[weak] {
                   if (const auto open = weak.lock()) {
                     open->CallerLeft();
                   }
                 },
                 [weak] {
                   if (const auto open = weak.lock()) {
                     open->CallerDrained();
                   }
                 }});
  exchange->Start();
}

RequestId CallerFront::NextId() {
  return RequestId(id_prefix_ + "-" + std::to_string(next_id_++));
}

}  // namespace rattanward::entry
