#include "rattanward/proxy/proxy.h"

#include <xxhash.h>

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rattanward/policy/rendezvous.h"
#include "rattanward/policy/retry_advice.h"
#include "rattanward/policy/tier_gate.h"
#include "rattanward/proxy/reachability.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using membership::InstanceState;

constexpr Duration kUpkeepPeriod{std::chrono::milliseconds(100)};
/// Requests wait for a place that nobody gives back here: others may.
constexpr Duration kRetryAfter{std::chrono::milliseconds(250)};
/// Control elects a leader within about this time.
constexpr Duration kNoRoutesRetryAfter{std::chrono::milliseconds(1500)};
constexpr Duration kStoppingRetryAfter{std::chrono::milliseconds(20)};
constexpr Duration kUnnamedDeadline{std::chrono::seconds(10)};
constexpr Duration kCrasherRetryAfter{std::chrono::seconds(30)};
/// An entry that starts waits this long for the first upstreams.
constexpr Duration kDirectoryPatience{std::chrono::seconds(3)};
constexpr Duration kReadyLease{std::chrono::milliseconds(2500)};
constexpr Duration kProbeDelay{std::chrono::milliseconds(30)};
constexpr Duration kProbeTimeout{std::chrono::milliseconds(400)};
/// How long gone upstreams are remembered, so that late news are known as such.
constexpr Duration kForgetAfter{std::chrono::seconds(120)};

std::uint64_t Fingerprint(const http::ServerRequest& request,
                          const RoutedAccount* account) {
  std::string text = request.head.target;
  text += '\n';
  text += account == nullptr ? std::string() : account->id.str();
  text += '\n';
  text += *request.body;
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t Draw(const RequestTraits& traits) {
  return policy::StableHash(traits.attempt.str());
}

}  // namespace

Proxy::Proxy(asio::io_context& io, ProxyOptions options, const Dialect& dialect,
             ProxyHooks hooks)
    : io_(io),
      options_(std::move(options)),
      dialect_(dialect),
      hooks_(std::move(hooks)),
      timers_(io),
      server_(io, {options_.max_connections, options_.max_body_bytes},
              [this](const std::shared_ptr<http::ServerConnection>& caller,
                     http::ServerRequest request) {
                OnRequest(caller, std::move(request));
              }),
      pool_(io),
      placer_(options_.failure_domain),
      started_(MonotonicNow()) {
  server_.on_rejected = [this](const Error& error) {
    meter_.Malformed();
    hooks_.events({EventId::kRequestShed,
                   {{"error", std::string(ErrorName(error.code))},
                    {"reason", error.message}}});
  };
}

Status Proxy::Start() {
  Status listening = server_.Listen(options_.listen);
  if (listening) {
    timers_.Every(kUpkeepPeriod, [this](TimePoint now) { Upkeep(now); });
  }
  return listening;
}

bool Proxy::SetRouting(std::shared_ptr<const RoutingTable> table) {
  if (table_ && table->version() <= table_->version()) {
    return false;
  }
  table_ = std::move(table);
  placer_.SetServices(table_->declaration().services);
  const CallerLimits& limits = table_->limits();
  http::ServerLimits server_limits;
  server_limits.parser.max_header_bytes = limits.max_header_bytes;
  server_limits.parser.max_body_bytes = limits.max_body_bytes;
  server_limits.header_timeout = limits.header_timeout;
  server_limits.idle_timeout = limits.idle_timeout;
  server_.SetLimits(server_limits);
  hooks_.events(
      {EventId::kConfigInForce,
       {{"routes", std::to_string(table_->version().value)},
        {"count", std::to_string(table_->declaration().routes.size())}}});
  ScheduleDrain();
  return true;
}

void Proxy::TakeInstances(
    const std::vector<membership::InstanceRecord>& records) {
  const TimePoint now = MonotonicNow();
  for (const membership::InstanceRecord& record : records) {
    directory_.Merge(record, now);
  }
  for (const membership::InstanceRecord& record : directory_.TakeChanges()) {
    placer_.SetInstance(record);
    if (record.state != InstanceState::kReady) {
      pool_.Drop(record.id);
    }
    hooks_.events({record.state == InstanceState::kReady
                       ? EventId::kUpstreamAnnounced
                       : EventId::kUpstreamDraining,
                   {{"upstream", record.id.str()},
                    {"service", record.service.str()},
                    {"endpoint", ToString(record.endpoint)},
                    {"state", std::to_string(static_cast<int>(record.state))},
                    {"silent", record.silent ? "1" : "0"},
                    {"sequence", std::to_string(record.stamp.sequence)}}});
  }
  ScheduleDrain();
}

void Proxy::TakeCrashes(const std::vector<protocol::CrashWitness>& witnesses) {
  for (const protocol::CrashWitness& witness : witnesses) {
    if (crashes_.RecordCrash(witness)) {
      hooks_.events({EventId::kRequestQuarantined,
                     {{"fingerprint", std::to_string(witness.fingerprint)},
                      {"last_upstream", witness.upstream.str()}}});
    }
  }
}

void Proxy::Confirm(TimePoint moment, ConfigVersion newest) {
  required_ = std::max(required_, newest);
  if (!table_ || table_->version() < required_) {
    return;
  }
  if (!ever_confirmed_) {
    hooks_.events(
        {EventId::kEntryRejoined, {{"routes", std::to_string(newest.value)}}});
  }
  ever_confirmed_ = true;
  confirmed_ = std::max(confirmed_, moment);
}

bool Proxy::ConfirmedWithin(Duration time) const {
  return ever_confirmed_ && MonotonicNow() - confirmed_ < time;
}

bool Proxy::Ready() const {
  const bool has_upstreams =
      directory_.size() > 0 || MonotonicNow() - started_ > kDirectoryPatience;
  return !stopping_ && table_ && has_upstreams && ConfirmedWithin(kReadyLease);
}

void Proxy::SetEntries(std::size_t all, std::size_t own_domain) {
  entries_ = std::max<std::size_t>(all, 1);
  placer_.SetEntries(all, own_domain);
}

void Proxy::TakeLoad(const policy::EntryLoad& load) {
  placer_.SetEntryLoad(load, MonotonicNow());
  if (!queue_.empty()) {
    ScheduleDrain();
  }
}

policy::EntryLoad Proxy::OwnLoad(Duration placed_within) {
  const TimePoint now = MonotonicNow();
  return placer_.OwnLoad(options_.process, now - placed_within, now);
}

void Proxy::BeginShutdown() { stopping_ = true; }

void Proxy::CloseIdle() {
  refusing_ = true;
  server_.CloseAfterResponses();
}

ConfigVersion Proxy::routing_version() const {
  return table_ ? table_->version() : ConfigVersion{};
}

void Proxy::OnRequest(const std::shared_ptr<http::ServerConnection>& caller,
                      http::ServerRequest request) {
  meter_.Arrived();
  if (stopping_) {
    caller->CloseWhenIdle();
  }
  const std::string target = request.head.target;
  const RequestTraits traits = dialect_.Read(request.head);
  auto routed = Routed(caller, traits, std::move(request));
  if (!routed) {
    meter_.Refused();
    Error error = routed.error();
    if (error.retry_after) {
      error.retry_after = AdviceFor(error, traits);
    }
    hooks_.events({EventId::kRequestShed,
                   {{"request", traits.attempt.str()},
                    {"error", std::string(ErrorName(error.code))},
                    {"reason", error.message},
                    {"target", target.substr(0, target.find('?'))},
                    {"routes", std::to_string(routing_version().value)}}});
    RespondError(*caller, error);
    return;
  }
  allowances_.try_emplace(routed.value().service, options_.retries)
      .first->second.RecordRequest(MonotonicNow());
  auto exchange =
      std::make_shared<Exchange>(io_, *this, std::move(routed.value()));
  exchanges_.insert(exchange);
  exchange->Start();
}

Error Proxy::Denied(ErrorCode code, std::string message) const {
  if (ConfirmedWithin(options_.denial_lease)) {
    return MakeError(code, std::move(message));
  }
  Error error =
      MakeError(ErrorCode::kIsolated, "the routes here may not be the newest");
  error.retry_after = kNoRoutesRetryAfter;
  return error;
}

Result<RoutedRequest> Proxy::Routed(
    const std::shared_ptr<http::ServerConnection>& caller,
    const RequestTraits& traits, http::ServerRequest request) {
  if (refusing_) {
    Error error = MakeError(ErrorCode::kShuttingDown, "this entry stops");
    error.retry_after = kStoppingRetryAfter;
    return error;
  }
  if (!table_ || !ever_confirmed_) {
    Error error = MakeError(ErrorCode::kNoConfiguration, "no routes yet");
    error.retry_after = kNoRoutesRetryAfter;
    return error;
  }
  const std::string* host = request.head.fields.Find("host");
  if (host == nullptr) {
    return MakeError(ErrorCode::kMalformedHeader, "no host");
  }
  RoutedRequest routed;
  routed.table = table_;
  routed.route = table_->FindRoute(*host, request.head.target);
  if (routed.route == nullptr) {
    return Denied(ErrorCode::kUnknownPath, "no route of this host and path");
  }
  routed.traits = traits;
  routed.account = table_->FindAccount(routed.traits.key);
  if (routed.account == nullptr && !routed.route->anonymous) {
    return Denied(ErrorCode::kUnknownKey, "unknown key");
  }
  routed.service = ChooseService(*routed.route, Draw(routed.traits));
  routed.fingerprint = Fingerprint(request, routed.account);
  if (crashes_.ReachedCrashLimit(routed.fingerprint)) {
    Error error = MakeError(ErrorCode::kNoUpstream,
                            "this request has crashed its upstreams");
    error.retry_after = kCrasherRetryAfter;
    return error;
  }
  routed.caller = caller;
  routed.request = std::move(request);
  return routed;
}

Status Proxy::MayStart(const Exchange& exchange) {
  if (exchange.routed().route->anonymous) {
    return outcome::success();
  }
  if (!ConfirmedWithin(options_.key_lease)) {
    Error error = MakeError(ErrorCode::kIsolated,
                            "control has not confirmed the keys lately");
    error.retry_after = kNoRoutesRetryAfter;
    return error;
  }
  // Keys and routes may have changed while the request waited.
  const RoutedRequest& routed = exchange.routed();
  if (routed.table != table_ &&
      table_->FindAccount(routed.traits.key) == nullptr) {
    return Denied(ErrorCode::kUnknownKey, "unknown key");
  }
  return outcome::success();
}

void Proxy::Enqueue(const std::shared_ptr<Exchange>& exchange) {
  const policy::PlacementRequest& placement = exchange->placement();
  queue_.Push(placement.rank, placement.arrived,
              placement.arrived + placement.target / 2, exchange);
  ScheduleDrain();
}

void Proxy::ScheduleDrain() {
  if (drain_scheduled_ || queue_.empty()) {
    return;
  }
  drain_scheduled_ = true;
  asio::post(io_, [this] {
    drain_scheduled_ = false;
    Drain();
  });
}

void Proxy::Drain() {
  std::set<ServiceName> full;
  policy::TierGate gate;
  const TimePoint now = MonotonicNow();
  queue_.Visit(now, [&](const std::shared_ptr<Exchange>& exchange) {
    if (!exchange->waiting()) {
      return true;
    }
    if (!gate.MayBegin(exchange->placement(), now)) {
      return false;
    }
    const bool placed = TryPlace(exchange, &full);
    if (!placed) {
      gate.RecordWaiting(exchange->placement(), now);
    }
    return placed;
  });
}

bool Proxy::TryPlace(const std::shared_ptr<Exchange>& exchange,
                     std::set<ServiceName>* full) {
  const ServiceName& service = exchange->placement().service;
  if (full->count(service) > 0) {
    return false;
  }
  if (crashes_.ReachedCrashLimit(exchange->routed().fingerprint)) {
    exchange->Refuse(MakeError(ErrorCode::kNoUpstream,
                               "this request has crashed its upstreams"));
    return true;
  }
  const auto upstream = placer_.Choose(exchange->placement(),
                                       exchange->excluded(), MonotonicNow());
  if (!upstream) {
    if (placer_.NoneAvailable(service, MonotonicNow())) {
      full->insert(service);
    } else if (!placer_.HasAlternative(service, exchange->excluded())) {
      exchange->Refuse(MakeError(ErrorCode::kNoUpstream,
                                 "every upstream has refused or failed"));
      return true;
    }
    return false;
  }
  if (!exchange->SendTo(*upstream)) {
    placer_.RecordFailure(*upstream, false, MonotonicNow());
    return false;
  }
  return true;
}

std::shared_ptr<http::ClientConnection> Proxy::Connect(
    const UpstreamId& upstream) {
  const membership::InstanceRecord* record = directory_.Find(upstream);
  if (record == nullptr) {
    return nullptr;
  }
  return pool_.Take(upstream, record->endpoint,
                    placer_.ConnectionShare(upstream), MonotonicNow());
}

bool Proxy::MayRepeat(const Exchange& exchange) {
  const ServiceName& service = exchange.placement().service;
  return allowances_.try_emplace(service, options_.retries)
      .first->second.TryTake(entries_, MonotonicNow());
}

policy::PlacementCharge Proxy::NoteSent(const Exchange& exchange) {
  meter_.WaitTime(MonotonicNow() - exchange.routed().request.arrived);
  return placer_.RecordSend(exchange.upstream(), exchange.placement(),
                            MonotonicNow());
}

void Proxy::NoteFirstEvent(const Exchange& exchange,
                           policy::PlacementCharge* charge) {
  placer_.RecordFirstEvent(exchange.upstream(), charge);
}

void Proxy::NoteReleased(const Exchange& exchange,
                         const policy::PlacementCharge& charge,
                         std::shared_ptr<http::ClientConnection> connection) {
  placer_.ReleaseCharge(exchange.upstream(), charge);
  pool_.Return(exchange.upstream(), std::move(connection), MonotonicNow());
  ScheduleDrain();
}

void Proxy::NoteRefusedThere(const Exchange& exchange) {
  placer_.RecordFailure(exchange.upstream(), false, MonotonicNow());
}

void Proxy::NoteUnreachable(const Exchange& exchange) {
  placer_.RecordFailure(exchange.upstream(), true, MonotonicNow());
  pool_.Drop(exchange.upstream());
  hooks_.events(
      {EventId::kUpstreamProbation,
       {{"upstream", exchange.upstream().str()}, {"reason", "no connection"}}});
}

void Proxy::NoteAnswered(const Exchange& exchange) {
  placer_.RecordAnswer(exchange.upstream());
}

void Proxy::NoteEnded(const Exchange& exchange, bool well) {
  placer_.RecordOutcome(exchange.upstream(), well);
}

/// A connection that broke tells little; whether the process behind it is
/// gone, a new connection tells.
void Proxy::NoteBroken(const Exchange& exchange) {
  const membership::InstanceRecord* record =
      directory_.Find(exchange.upstream());
  if (record == nullptr) {
    return;
  }
  Probe(exchange.upstream(), {exchange.routed().fingerprint,
                              exchange.upstream(), record->stamp.born});
}

void Proxy::Probe(const UpstreamId& upstream,
                  const protocol::CrashWitness& witness) {
  timers_.After(kProbeDelay, [this, upstream, witness](TimePoint) {
    const membership::InstanceRecord* record = directory_.Find(upstream);
    if (record == nullptr || record->stamp.born != witness.born) {
      TakeCrashes({witness});
      hooks_.witness(witness);
      return;
    }
    AskReachable(io_, record->endpoint, kProbeTimeout,
                 [this, upstream, witness](bool reached) {
                   if (!reached) {
                     placer_.RecordFailure(upstream, true, MonotonicNow());
                     pool_.Drop(upstream);
                     TakeCrashes({witness});
                     hooks_.witness(witness);
                   }
                 });
  });
}

Duration Proxy::RetryAfter(const Exchange& exchange) const {
  return policy::RetryAdvice(kRetryAfter, exchange.deadline() - MonotonicNow());
}

/// What a caller is told whose request was refused before it was routed.
Duration Proxy::AdviceFor(const Error& error,
                          const RequestTraits& traits) const {
  const Duration left = traits.deadline.value_or(kUnnamedDeadline);
  return policy::RetryAdvice(error.retry_after.value_or(kRetryAfter), left);
}

void Proxy::Log(EventId id, const Exchange& exchange,
                std::vector<EventField> fields) {
  meter_.Count(id);
  if (id == EventId::kRequestFinished) {
    meter_.AnswerTime(
        exchange.routed().route->kind,
        exchange.answered_at() - exchange.routed().request.arrived);
  }
  fields.insert(fields.begin(),
                {{"request", exchange.routed().traits.attempt.str()},
                 {"route", exchange.routed().route->name},
                 {"upstream", exchange.upstream().str()}});
  hooks_.events({id, std::move(fields)});
}

std::string Proxy::ScrapeText() const {
  return meter_.ScrapeText() +
         ScrapeLine("upstream_connections_opened_total", pool_.opened()) +
         ScrapeLine("upstream_connections", pool_.open()) +
         ScrapeLine("caller_connections", server_.connections()) +
         ScrapeLine("requests_open", exchanges_.size()) +
         ScrapeLine("requests_waiting", queue_.size()) +
         ScrapeLine("upstreams_known", directory_.size()) +
         ScrapeLine("entries_known", entries_) +
         ScrapeLine("routes_version", routing_version().value) +
         ScrapeLine("ready", Ready() ? 1 : 0);
}

void Proxy::Forget(const std::shared_ptr<Exchange>& exchange) {
  exchanges_.erase(exchange);
}

void Proxy::Upkeep(TimePoint now) {
  pool_.CloseOld(now);
  for (const UpstreamId& id : directory_.Forget(now - kForgetAfter)) {
    placer_.RemoveInstance(id);
  }
  ScheduleDrain();
}

}  // namespace rattanward::proxy
