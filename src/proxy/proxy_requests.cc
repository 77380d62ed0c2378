#include <xxhash.h>

#include <utility>

#include "rattanward/policy/rendezvous.h"
#include "rattanward/policy/retry_advice.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

/// Default Retry-After time. Other entries also release capacity at upstreams,
/// so this entry can't predict when there will be some.
constexpr Duration kDefaultRetryAfter{std::chrono::milliseconds(250)};
/// Control usually elects a leader within about this time.
constexpr Duration kNoRoutesRetryAfter{std::chrono::milliseconds(1500)};
/// Every entry has the new routes within this time.
constexpr Duration kMovedKeyRetryAfter{std::chrono::milliseconds(250)};
constexpr Duration kDefaultDeadline{std::chrono::seconds(10)};

/// Empty without an account.
ClientAccountId AccountOf(const RoutedAccount* account) {
  return account == nullptr ? ClientAccountId() : account->id;
}

std::uint64_t Fingerprint(const http::ServerRequest& request,
                          const RoutedAccount* account) {
  std::string text = request.head.target;
  text += '\n';
  text += AccountOf(account).str();
  text += '\n';
  text += *request.body;
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t TrafficSplitHash(const RequestTraits& traits) {
  return policy::StableHash(traits.attempt.str());
}

}  // namespace

void Proxy::AcceptRequest(const std::shared_ptr<http::ServerConnection>& caller,
                          http::ServerRequest request,
                          std::optional<RelayedRequest> relayed) {
  meter_.RecordArrival();
  if (stop_plan_) {
    caller->CloseWhenIdle();
  }
  const std::string target = request.head.target;
  const RequestTraits traits = dialect_.ReadRequest(request.head);
  auto routed = RouteRequest(caller, traits, std::move(request), relayed);
  if (!routed) {
    meter_.RecordRefusal();
    Error error = routed.error();
    if (error.retry_after) {
      error.retry_after = RetryAdviceFor(error, traits);
    }
    hooks_.events({EventId::kRequestShed,
                   {{"request", traits.attempt.str()},
                    {"error", std::string(ErrorName(error.code))},
                    {"reason", error.message},
                    {"target", target.substr(0, target.find('?'))},
                    {"routes", std::to_string(routing_version().value)}}});
    RespondRefusal(*caller, error, relayed.has_value());
    return;
  }
  routed.value().relayed = std::move(relayed);
  if (!routed.value().relayed) {
    allowances_.try_emplace(routed.value().service, options_.retries)
        .first->second.RecordRequest(MonotonicNow());
  }
  auto exchange =
      std::make_shared<Exchange>(io_, *this, std::move(routed.value()));
  exchanges_.insert(exchange);
  exchange->Start();
}

Error Proxy::DenialError(ErrorCode code, std::string message) const {
  if (ConfirmedWithin(options_.denial_lease)) {
    return MakeError(code, std::move(message));
  }
  Error error =
      MakeError(ErrorCode::kIsolated,
                "control has not recently confirmed that the routes are "
                "current");
  error.retry_after = kNoRoutesRetryAfter;
  return error;
}

Result<RoutedRequest> Proxy::RouteRequest(
    const std::shared_ptr<http::ServerConnection>& caller,
    const RequestTraits& traits, http::ServerRequest request,
    const std::optional<RelayedRequest>& relayed) {
  if (refusing_) {
    return StopError("entry is shutting down",
                     traits.deadline.value_or(kDefaultDeadline));
  }
  if (!table_ || !ever_confirmed_) {
    Error error = MakeError(ErrorCode::kNoConfiguration, "no routes yet");
    error.retry_after = kNoRoutesRetryAfter;
    return error;
  }
  if (relayed) {
    const Status taken = MayTakeRelayed(*relayed);
    if (!taken) {
      return taken.error();
    }
  }
  const std::string* host = request.head.fields.Find("host");
  if (host == nullptr) {
    return MakeError(ErrorCode::kMalformedHeader, "request has no Host header");
  }
  RoutedRequest routed;
  routed.table = table_;
  routed.route = table_->FindRoute(*host, request.head.target);
  if (routed.route == nullptr) {
    return DenialError(ErrorCode::kUnknownPath,
                       "no route for this host and path");
  }
  routed.traits = traits;
  routed.account = table_->FindAccount(routed.traits.key);
  if (!table_->IsAllowed(*routed.route, routed.traits.key)) {
    return DenialError(ErrorCode::kUnknownKey, "unknown key");
  }
  routed.service =
      ChooseService(*routed.route, TrafficSplitHash(routed.traits));
  routed.fingerprint = Fingerprint(request, routed.account);
  const Status allowed =
      CheckNotQuarantined(routed.fingerprint, routed.traits.prompt);
  if (!allowed) {
    return allowed.error();
  }
  routed.caller = caller;
  routed.request = std::move(request);
  return routed;
}

/// Errors: kShuttingDown; kNoConfiguration if the routes are older than those
/// by which the other entry took the request.
Status Proxy::MayTakeRelayed(const RelayedRequest& relayed) const {
  if (stop_plan_) {
    return MakeError(ErrorCode::kShuttingDown, "entry is shutting down");
  }
  if (table_->version() < relayed.routes) {
    return MakeError(ErrorCode::kNoConfiguration,
                     "routes are older than those of the relaying entry");
  }
  return outcome::success();
}

Status Proxy::MayStart(const Exchange& exchange) {
  if (exchange.routed().route->anonymous) {
    return outcome::success();
  }
  if (!ConfirmedWithin(options_.key_lease)) {
    Error error = MakeError(ErrorCode::kIsolated,
                            "control has not recently confirmed that the keys "
                            "are valid");
    error.retry_after = kNoRoutesRetryAfter;
    return error;
  }
  // The routing table, and with it the keys, may have changed while the request
  // was queued.
  const RoutedRequest& routed = exchange.routed();
  if (routed.table == table_) {
    return outcome::success();
  }
  if (!table_->IsAllowed(*routed.route, routed.traits.key)) {
    return DenialError(ErrorCode::kUnknownKey, "unknown key");
  }
  if (AccountOf(routed.account) !=
      AccountOf(table_->FindAccount(routed.traits.key))) {
    Error error = MakeError(ErrorCode::kNoConfiguration,
                            "the key belongs to another account now");
    error.retry_after = kMovedKeyRetryAfter;
    return error;
  }
  return outcome::success();
}

Duration Proxy::RetryAfter(const Exchange& exchange) const {
  return policy::RetryAdvice(kDefaultRetryAfter,
                             exchange.deadline() - MonotonicNow());
}

/// Returns the Retry-After time for a request refused before it was queued.
Duration Proxy::RetryAdviceFor(const Error& error,
                               const RequestTraits& traits) const {
  const Duration left = traits.deadline.value_or(kDefaultDeadline);
  return policy::RetryAdvice(error.retry_after.value_or(kDefaultRetryAfter),
                             left);
}

}  // namespace rattanward::proxy
