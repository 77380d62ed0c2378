#include "rattanward/proxy/proxy.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "rattanward/http/memory_log.h"
#include "rattanward/membership/planned_exits.h"
#include "rattanward/policy/rendezvous.h"
#include "rattanward/policy/retry_advice.h"
#include "rattanward/policy/tier_gate.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using membership::InstanceState;

policy::PlacerOptions MakePlacerOptions(const ProxyOptions& options) {
  policy::PlacerOptions placer;
  placer.entry_hash = policy::StableHash(options.process.str());
  placer.limits_memory = options.limits_memory;
  placer.uses_speeds = options.uses_speeds;
  return placer;
}

constexpr Duration kMaintenancePeriod{std::chrono::milliseconds(100)};
/// After this time, an entry without upstreams can become ready.
constexpr Duration kFirstUpstreamTimeout{std::chrono::seconds(3)};
constexpr Duration kReadyLease{std::chrono::milliseconds(2500)};
/// Records of removed upstreams are kept for this time, so that delayed updates
/// can be recognised as outdated.
constexpr Duration kGoneUpstreamRetention{std::chrono::seconds(120)};

}  // namespace

Proxy::Proxy(asio::io_context& io, ProxyOptions options, const Dialect& dialect,
             ProxyHooks hooks)
    : io_(io),
      options_(std::move(options)),
      memory_(std::make_shared<http::MemoryBudget>(
          http::MemoryBudget::LimitFor(options_.memory_mb))),
      dialect_(dialect),
      hooks_(std::move(hooks)),
      timers_(io),
      server_(io, {options_.max_connections, options_.max_body_bytes, memory_},
              [this](const std::shared_ptr<http::ServerConnection>& caller,
                     http::ServerRequest request) {
                AcceptRequest(caller, std::move(request), std::nullopt);
              }),
      relay_server_(
          io, {options_.max_connections, options_.max_body_bytes, memory_},
          [this](const std::shared_ptr<http::ServerConnection>& peer,
                 http::ServerRequest request) {
            OnRelayRequest(peer, std::move(request));
          }),
      pool_(io),
      relay_pool_(io),
      placer_(options_.failure_domain, MakePlacerOptions(options_)),
      relays_(policy::StableHash(options_.process.str())),
      stream_versions_(options_.key_lease),
      started_at_(MonotonicNow()) {
  // Until there are routes.
  directory_.SetServices(membership::NamedServices(std::set<ServiceName>()));
  server_.on_rejected = [this](const Error& error) {
    meter_.RecordMalformed();
    hooks_.events({EventId::kRequestShed,
                   {{"error", std::string(ErrorName(error.code))},
                    {"reason", error.message}}});
  };
}

Status Proxy::Start() {
  Status listening = server_.Listen(options_.listen);
  if (listening && !options_.relay_listen.address.empty()) {
    listening = relay_server_.Listen(options_.relay_listen);
  }
  if (listening) {
    http::LogEvictions(*memory_, hooks_.events);
    timers_.Every(kMaintenancePeriod,
                  [this](TimePoint now) { RunMaintenance(now); });
  }
  return listening;
}

bool Proxy::SetRouting(std::shared_ptr<const RoutingTable> table) {
  if (table_ && table->version() <= table_->version()) {
    return false;
  }
  table_ = std::move(table);
  placer_.SetServices(table_->declaration().services);
  directory_.SetServices(
      membership::NamedServices::Of(table_->declaration().services));
  const CallerLimits& limits = table_->limits();
  http::ServerLimits server_limits;
  server_limits.parser.max_header_bytes = limits.max_header_bytes;
  server_limits.parser.max_body_bytes = limits.max_body_bytes;
  server_limits.header_timeout = limits.header_timeout;
  server_limits.idle_timeout = limits.idle_timeout;
  server_.SetLimits(server_limits);
  relay_server_.SetLimits(server_limits);
  hooks_.events(
      {EventId::kConfigInForce,
       {{"routes", std::to_string(table_->version().value)},
        {"count", std::to_string(table_->declaration().routes.size())}}});
  ApplyDirectoryChanges();
  return true;
}

void Proxy::UpdateInstances(
    const std::vector<membership::InstanceRecord>& records) {
  const TimePoint now = MonotonicNow();
  for (const membership::InstanceRecord& record : records) {
    directory_.Merge(record, now);
  }
  RecordPlannedExits(membership::PlannedExits(records, directory_));
  ApplyDirectoryChanges();
}

void Proxy::ApplyDirectoryChanges() {
  const TimePoint now = MonotonicNow();
  for (const membership::InstanceRecord& record : directory_.TakeChanges()) {
    CheckAbandoned(record);
    const bool restarted = placer_.SetInstance(record);
    placer_.SetLimit(record.id, record.limit.limit(), now);
    placer_.SetRejectionLimit(record.id, record.limit.rejection_limit, now);
    if (restarted) {
      paths_.Forget(record.id);
      placer_.RecordStart(record.id, now);
    }
    if (restarted || record.state != InstanceState::kReady) {
      pool_.CloseAllIdle(record.id);
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
  UpdateServingVersions();
  ScheduleDrain();
}

void Proxy::ConfirmRouting(TimePoint as_of, ConfigVersion newest,
                           Duration history) {
  required_version_ = std::max(required_version_, newest);
  if (!table_ || table_->version() < required_version_) {
    return;
  }
  if (!ever_confirmed_) {
    hooks_.events(
        {EventId::kEntryRejoined, {{"routes", std::to_string(newest.value)}}});
  }
  ever_confirmed_ = true;
  confirmed_at_ = std::max(confirmed_at_, as_of);
  stream_versions_.Confirm(as_of, history);
}

bool Proxy::ConfirmedWithin(Duration time) const {
  return ever_confirmed_ && MonotonicNow() - confirmed_at_ < time;
}

bool Proxy::Ready() const {
  const bool has_upstreams =
      directory_.size() > 0 ||
      MonotonicNow() - started_at_ > kFirstUpstreamTimeout;
  return !stop_plan_ && table_ && has_upstreams && ConfirmedWithin(kReadyLease);
}

void Proxy::SetEntries(std::size_t entries) {
  entries_ = std::max<std::size_t>(entries, 1);
  placer_.SetEntries(entries);
}

void Proxy::UpdatePeerLoad(const policy::EntryLoad& load) {
  placer_.SetEntryLoad(load, MonotonicNow());
  for (const policy::StreamVersion& told : load.streams) {
    stream_versions_.RecordTold(told, MonotonicNow());
  }
  if (!queue_.empty()) {
    ScheduleDrain();
  }
}

policy::EntryLoad Proxy::OwnLoad(Duration placed_within) {
  const TimePoint now = MonotonicNow();
  policy::EntryLoad load =
      placer_.OwnLoad(options_.process, now - placed_within, now);
  LogFailingChanges();
  LogSpeedChanges();
  load.streams = stream_versions_.ToldSince(now - placed_within);
  return load;
}

policy::EntryLoad Proxy::TakeUrgentLoad() {
  policy::EntryLoad load = placer_.TakeUrgentLoad(options_.process);
  load.streams = stream_versions_.TakeNew();
  return load;
}

ConfigVersion Proxy::routing_version() const {
  return table_ ? table_->version() : ConfigVersion{};
}

void Proxy::Enqueue(const std::shared_ptr<Exchange>& exchange) {
  const policy::PlacementRequest& placement = exchange->placement();
  queue_.Push(placement.rank, placement.arrived,
              placement.arrived + placement.target / 2, exchange,
              exchange->share_key());
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
  FullServices full_services;
  policy::TierGate gate;
  const TimePoint now = MonotonicNow();
  const auto work = [&](const policy::ShareKey& account) {
    return shares_.Recent(account, now);
  };
  queue_.Visit(now, work, [&](const std::shared_ptr<Exchange>& exchange) {
    if (!exchange->waiting()) {
      return true;
    }
    const policy::PlacementRequest& placement = exchange->placement();
    const bool may_begin = refusal_order_.MayBegin(placement, now) &&
                           gate.MayBegin(placement, now);
    if (may_begin && TryPlace(exchange, &full_services)) {
      refusal_order_.RecordBegun(placement, now);
      return true;
    }
    refusal_order_.RecordWaiting(placement, now);
    if (RefuseIfUnattainable(*exchange, now)) {
      return true;
    }
    if (may_begin) {
      gate.RecordWaiting(placement, now);
    }
    return false;
  });
}

bool Proxy::TryPlace(const std::shared_ptr<Exchange>& exchange,
                     FullServices* full_services) {
  const ServiceName& service = exchange->placement().service;
  const auto full = full_services->find(service);
  if (full != full_services->end()) {
    return RefuseIfHeldBack(*exchange, full->second) ||
           RefuseIfNotAllowed(*exchange) || TryRelay(exchange);
  }
  if (RefuseIfNotAllowed(*exchange) || TryRelay(exchange)) {
    return true;
  }
  const TimePoint now = MonotonicNow();
  const auto upstream =
      placer_.Choose(exchange->placement(), exchange->excluded(), now);
  if (!upstream) {
    if (RefuseIfHeldBack(*exchange, placer_.HeldBackUntil(
                                        service, exchange->excluded(), now))) {
      return true;
    }
    if (placer_.NoneAvailable(service, now)) {
      full_services->emplace(service, placer_.HeldBackUntil(service, {}, now));
    } else if (!placer_.HasAlternative(service, exchange->excluded())) {
      exchange->Refuse(MakeError(ErrorCode::kNoUpstream,
                                 "every upstream rejected the request or "
                                 "failed"));
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

/// Refuses a request that may no longer be sent to any upstream.
bool Proxy::RefuseIfNotAllowed(Exchange& exchange) const {
  if (RefuseIfTooLate(exchange)) {
    return true;
  }
  Status allowed = CheckNotQuarantined(exchange.routed().fingerprint,
                                       exchange.placement().prompt);
  if (allowed && !table_->FindService(exchange.placement().service)) {
    allowed = MakeError(ErrorCode::kNoUpstream,
                        "the routes in force no longer have its service");
  }
  if (allowed) {
    allowed = RestrictVersions(exchange);
  }
  if (!allowed) {
    exchange.Refuse(allowed.error());
  }
  return !allowed;
}

/// Refuses a request if every upstream wants none for longer than it should
/// wait. Returns whether it was refused.
bool Proxy::RefuseIfHeldBack(Exchange& exchange,
                             const std::optional<TimePoint>& until) const {
  const TimePoint now = MonotonicNow();
  if (!until || policy::WaitsForBackoffEnd(*until, exchange.deadline(), now)) {
    return false;
  }
  Error error = MakeError(ErrorCode::kNoUpstream,
                          "every upstream has asked for no requests");
  // Without a share in any limit, another entry may serve the caller at once.
  if (*until != TimePoint::max()) {
    error.retry_after =
        policy::RetryAdvice(*until - now, exchange.deadline() - now);
  }
  exchange.Refuse(error);
  return true;
}

std::shared_ptr<http::ClientConnection> Proxy::Connect(
    const UpstreamId& upstream) {
  const membership::InstanceRecord* record = directory_.Find(upstream);
  if (record == nullptr) {
    return nullptr;
  }
  return pool_.Acquire(upstream, record->endpoint,
                       placer_.ConnectionShare(upstream), MonotonicNow());
}

bool Proxy::TryTakeRetry(const Exchange& exchange) {
  if (!MayEndInTime(exchange)) {
    return false;
  }
  const ServiceName& service = exchange.placement().service;
  return allowances_.try_emplace(service, options_.retries)
      .first->second.TryTake(entries_, MonotonicNow());
}

policy::PlacementCharge Proxy::OnSent(const Exchange& exchange) {
  meter_.RecordQueueTime(MonotonicNow() - exchange.routed().request.arrived);
  BeginUsage(exchange);
  if (!exchange.relay_peer() &&
      crashes_.IsQuarantined(exchange.routed().fingerprint)) {
    crashes_.RecordTrial(exchange.routed().fingerprint, MonotonicNow());
    Log(EventId::kRequestTried, exchange,
        {{"fingerprint", std::to_string(exchange.routed().fingerprint)}});
  }
  const policy::PlacementCharge charge = placer_.RecordSend(
      exchange.upstream(), exchange.placement(), MonotonicNow());
  prompt_meter_.RecordSent(exchange.placement().service,
                           charge.pending_prefill_tokens, MonotonicNow());
  if (charge.trial) {
    Log(EventId::kUpstreamTried, exchange, {});
  }
  EarnHedgeBudget(exchange, charge);
  RecordWork(exchange, charge);
  if (placer_.has_urgent_load()) {
    hooks_.urgent_load();
  }
  return charge;
}

void Proxy::OnFirstEvent(const Exchange& exchange,
                         policy::PlacementCharge* charge) {
  const TimePoint now = MonotonicNow();
  prompt_meter_.RecordRead(exchange.placement().service,
                           charge->pending_prefill_tokens,
                           now - exchange.sent_at(), now);
  placer_.RecordReading(exchange.upstream(), *charge, now);
  placer_.RecordFirstEvent(exchange.upstream(), charge);
}

void Proxy::OnReleased(const Exchange& exchange,
                       const policy::PlacementCharge& charge,
                       std::shared_ptr<http::ClientConnection> connection) {
  EndUsage(exchange);
  if (exchange.relay_peer()) {
    ReleasePeer(*exchange.relay_peer(), std::move(connection));
  } else {
    placer_.ReleaseCharge(exchange.upstream(), charge);
    pool_.Release(exchange.upstream(), std::move(connection), MonotonicNow());
  }
  ScheduleDrain();
}

std::uint64_t Proxy::StartOf(const UpstreamId& upstream) const {
  const membership::InstanceRecord* record = directory_.Find(upstream);
  return record == nullptr ? 0 : record->stamp.born;
}

void Proxy::OnRejected(const Exchange& exchange) {
  placer_.RecordFailure(exchange.upstream(), false, MonotonicNow());
  if (placer_.has_urgent_load()) {
    hooks_.urgent_load();
  }
}

void Proxy::OnUnreachable(const Exchange& exchange) {
  OnProbed(exchange.upstream(), exchange.upstream_start(), false);
}

void Proxy::OnResponseHead(const Exchange& exchange) {
  paths_.RecordHeard(exchange.upstream(), MonotonicNow());
  abandoned_.RecordAlive({exchange.upstream(), exchange.upstream_start()},
                         MonotonicNow());
  placer_.RecordAnswer(exchange.upstream());
}

void Proxy::OnOutcome(const Exchange& exchange, bool succeeded) {
  placer_.RecordOutcome(exchange.upstream(), succeeded);
}

void Proxy::Log(EventId id, const Exchange& exchange,
                std::vector<EventField> fields) {
  meter_.Count(id);
  if (id == EventId::kRequestFinished) {
    RecordResponse(exchange);
  }
  if (id == EventId::kRequestStopped) {
    meter_.RecordStopped(exchange.may_have_run(), exchange.stream_started());
  }
  fields.insert(fields.begin(),
                {{"request", exchange.routed().traits.attempt.str()},
                 {"route", exchange.routed().route->name},
                 {"upstream", exchange.upstream().str()}});
  hooks_.events({id, std::move(fields)});
}

void Proxy::RecordResponse(const Exchange& exchange) {
  const TimePoint now = MonotonicNow();
  const Route& route = *exchange.routed().route;
  meter_.RecordResponseTime(
      route.kind, exchange.answered_at() - exchange.routed().request.arrived);
  RecordEventGap(exchange);
  if (!exchange.succeeded()) {
    return;
  }
  const ServiceName& service = exchange.placement().service;
  run_times_.Record(route.name, service, LengthOf(exchange),
                    now - exchange.sent_at(), now);
  RecordLength(exchange);
  hedges_.RecordTime({route.name, service},
                     exchange.answered_at() - exchange.sent_at(), now);
}

void Proxy::Forget(const std::shared_ptr<Exchange>& exchange) {
  exchanges_.erase(exchange);
}

void Proxy::RunMaintenance(TimePoint now) {
  pool_.CloseExpired(now);
  relay_pool_.CloseExpired(now);
  ProbePaths(now);
  AbandonSilent(now);
  RefuseTooLate();
  part_quarantine_.Expire(now);
  crashes_.Expire(now);
  ApplyQuarantineChanges();
  stream_versions_.Expire(now);
  placer_.AgeLimitShares(now);
  shares_.Expire(now);
  for (const UpstreamId& id : directory_.Forget(now - kGoneUpstreamRetention)) {
    placer_.RemoveInstance(id);
    paths_.Forget(id);
  }
  ScheduleDrain();
}

}  // namespace rattanward::proxy
