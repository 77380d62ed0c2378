#include "rattanward/entry/caller_front.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "rattanward/entry/http_answers.h"
#include "rattanward/policy/rendezvous.h"

namespace rattanward::entry {
namespace {

using Json = nlohmann::json;

constexpr Duration kIdleTimeout{std::chrono::seconds(5)};
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr std::size_t kMaxTotalBodyBytes = 64U << 20U;
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
                         std::shared_ptr<http::MemoryBudget> memory,
                         GuardFactory guard_factory,
                         std::function<std::string()> metrics)
    : core_(core),
      recorder_(recorder),
      id_prefix_(std::move(id_prefix)),
      guard_factory_(std::move(guard_factory)),
      metrics_(std::move(metrics)),
      server_(core.context(),
              {max_connections, kMaxTotalBodyBytes, std::move(memory)},
              [this](const CallerConnection& caller,
                     const http::ServerRequest& request) {
                Route(caller, request);
              }) {
  http::ServerLimits limits;
  limits.parser.max_body_bytes = kMaxBodyBytes;
  limits.idle_timeout = kIdleTimeout;
  server_.SetLimits(limits);
  server_.make_error_response = ErrorResponse;
}

void CallerFront::Route(const CallerConnection& caller,
                        const http::ServerRequest& request) {
  if (IsCompletion(request) || IsServiceCall(request)) {
    Forward(caller, request);
  } else {
    Respond(*caller, HandleLocally(request));
  }
}

/// Answers a request that needs no upstream.
http::Response CallerFront::HandleLocally(
    const http::ServerRequest& request) const {
  const std::string_view path = PathOf(request);
  const bool is_read =
      request.head.method == "GET" || request.head.method == "HEAD";
  if (is_read && path == "/health/live") {
    return JsonResponse(kOk, "{\"live\":true}");
  }
  if (is_read && path == "/health/ready") {
    return ReadinessResponse();
  }
  if (is_read && path == "/v1/models") {
    return ListModels(request);
  }
  if (is_read && path == "/metrics") {
    http::Response answer = JsonResponse(kOk, metrics_ ? metrics_() : "");
    answer.head.fields.Set("Content-Type", "text/plain");
    return answer;
  }
  return ErrorResponse(
      MakeError(ErrorCode::kUnknownPath, "no route for this method and path"));
}

http::Response CallerFront::ReadinessResponse() const {
  const EntryStatusView view = core_.View();
  const bool ready = view.ready && ready_;
  const Json json = {{"ready", ready},
                     {"version", view.version.value},
                     {"open_requests", view.open_requests},
                     {"upstreams", view.upstreams}};
  return JsonResponse(ready ? kOk : kUnavailable, json.dump());
}

http::Response CallerFront::ListModels(
    const http::ServerRequest& request) const {
  const auto snapshot = core_.Snapshot();
  if (!snapshot) {
    return ErrorResponse(
        MakeError(ErrorCode::kNoConfiguration,
                  "this entry has not received a configuration yet"));
  }
  if (const auto account = Authenticate(*snapshot, request); !account) {
    return ErrorResponse(account.error());
  }
  Json list = Json::array();
  for (const ModelName& model : snapshot->config().models) {
    list.push_back({{"id", model.str()}, {"object", "model"}});
  }
  return JsonResponse(kOk, Json({{"object", "list"}, {"data", list}}).dump());
}

void CallerFront::Forward(const CallerConnection& caller,
                          const http::ServerRequest& request) {
  http::Fields common_fields;
  if (const std::string id = HeaderValue(request, "X-Request-Id");
      !id.empty()) {
    common_fields.Set("X-Request-Id", id);
  }
  const auto snapshot = core_.Snapshot();
  if (const Status open = core_.MayStart(); !open || !snapshot) {
    const Error error = open ? MakeError(ErrorCode::kNoConfiguration,
                                         "this entry has not received a "
                                         "configuration yet")
                             : open.error();
    caller->CloseWhenIdle();
    CallerAnswer(caller, std::move(common_fields)).Fail(error);
    return;
  }
  const RequestId id = NextRequestId();
  Result<CheckedRequest> checked = CheckRequest(request, *snapshot, id);
  if (!checked) {
    CallerAnswer(caller, std::move(common_fields)).Fail(checked.error());
    return;
  }
  if (!checked.value().idempotency_key.empty() && guard_factory_) {
    checked.value().plan.guard = guard_factory_(checked.value(), *snapshot);
  }
  common_fields.Set("X-Rattanward-Request", id.str());
  checked.value().plan.relay =
      MakeRelay(caller, request, checked.value().plan.info, common_fields);
  StartExchange(caller, std::move(checked).value(), std::move(common_fields));
}

void CallerFront::RelayTo(RelayPeers peers) {
  if (peers.empty()) {
    return;
  }
  relays_ =
      std::make_unique<RelayDesk>(core_.context(), recorder_, std::move(peers),
                                  policy::StableHash(id_prefix_));
  core_.WatchPaths();
}

void CallerFront::CutShort() {
  const auto open = open_exchanges_;
  for (const auto& exchange : open) {
    exchange->CutShort();
  }
  if (relays_) {
    relays_->CutShort();
  }
}

/// A request that another entry relayed is not relayed again.
std::function<void()> CallerFront::MakeRelay(
    const CallerConnection& caller, const http::ServerRequest& request,
    const policy::RequestInfo& info, const http::Fields& common_fields) {
  if (!relays_ || request.head.fields.Find(kRelayedField) != nullptr) {
    return nullptr;
  }
  return
      [this, unserved = UnservedRequest{info, request, caller, common_fields}] {
        relays_->Relay(unserved);
      };
}

Result<CheckedRequest> CallerFront::CheckRequest(
    const http::ServerRequest& request, const ConfigSnapshot& config,
    const RequestId& id) const {
  const auto account = Authenticate(config, request);
  if (!account) {
    return account.error();
  }
  const std::size_t limit = config.config().limits.max_body_bytes;
  if (request.body->size() > limit) {
    return MakeError(
        ErrorCode::kBodyTooLarge,
        "request body too large: " + std::to_string(request.body->size()) +
            " bytes, limit " + std::to_string(limit));
  }
  return IsCompletion(request)
             ? CheckCompletion(config, *account.value(), request, id)
             : CheckServiceCall(config, *account.value(), request, id);
}

void CallerFront::StartExchange(const CallerConnection& caller,
                                CheckedRequest checked,
                                http::Fields common_fields) {
  checked.plan.info.arrived = EntryCore::Now();
  const auto exchange = std::make_shared<Exchange>(
      core_, recorder_, std::move(checked.plan),
      CallerAnswer(caller, std::move(common_fields)),
      [this](const auto& ended) { open_exchanges_.erase(ended); });
  open_exchanges_.insert(exchange);
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
                 },
                 nullptr});
  exchange->Start();
}

RequestId CallerFront::NextRequestId() {
  return RequestId(id_prefix_ + "-" + std::to_string(next_id_++));
}

}  // namespace rattanward::entry
