#include "rattanward/proxy/exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;
using http::ClientFailure;
using http::Framing;

/// Timeout for a new connection to an upstream.
constexpr Duration kConnectTimeout{std::chrono::milliseconds(300)};
/// Reading from the upstream pauses while more bytes than this are buffered
/// for a slow caller.
constexpr std::size_t kMaxBufferedBytes = 128U << 10U;
constexpr std::size_t kMaxWholeResponseBytes = 8U << 20U;
constexpr std::size_t kMaxEventBytes = 1U << 20U;

std::string Permille(double share) {
  constexpr double kPermille = 1000;
  return std::to_string(std::lround(share * kPermille));
}

}  // namespace

Exchange::Exchange(asio::io_context& io, ExchangeOwner& owner,
                   RoutedRequest request)
    : timer_(io),
      hedge_timer_(io),
      owner_(owner),
      request_(std::move(request)) {
  const Route& route = *request_.route;
  placement_.service = request_.service;
  placement_.kind = route.kind;
  placement_.rank = request_.table->RankOf(route, request_.account);
  placement_.prompt = request_.traits.prompt;
  placement_.prompt_tokens = request_.traits.prompt_tokens;
  placement_.max_output_tokens = request_.traits.max_output_tokens;
  placement_.repeatable = is_retryable();
  placement_.arrived = request_.request.arrived;
  placement_.target = route.target;
  placement_.tight_pauses =
      request_.table->HasTightestPauses(route, request_.service);
  const Duration time_limit =
      std::min(route.timeout, request_.traits.deadline.value_or(route.timeout));
  deadline_ = request_.request.arrived + time_limit;
  if (request_.relayed) {
    attempts_ = request_.relayed->attempts;
    stream_version_ = request_.relayed->stream_version;
  }
}

bool Exchange::is_retryable() const {
  const Route& route = *request_.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

TimePoint Exchange::answered_at() const {
  return first_event_at_ == TimePoint() ? MonotonicNow() : first_event_at_;
}

std::optional<Duration> Exchange::mean_event_gap() const {
  constexpr std::uint64_t kMinEvents = 3;
  const std::uint64_t events = splitter_.events();
  if (events < kMinEvents || last_event_at_ <= first_event_at_) {
    return std::nullopt;
  }
  return (last_event_at_ - first_event_at_) /
         static_cast<std::int64_t>(events - 1);
}

Duration Exchange::RemainingTime() const { return deadline_ - MonotonicNow(); }

void Exchange::Start() {
  const std::weak_ptr<Exchange> weak = weak_from_this();
  http::ServerConnection::Watcher watcher;
  watcher.on_disconnect = [weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  };
  watcher.on_drained = [weak] {
    const auto self = weak.lock();
    if (self && self->stage_.sent()) {
      self->stage_.connection()->Resume();
    }
  };
  watcher.on_memory_exhausted = [weak] {
    if (const auto self = weak.lock()) {
      self->OnMemoryExhausted();
    }
  };
  request_.caller->Watch(std::move(watcher));
  timer_.expires_after(RemainingTime());
  timer_.async_wait([weak](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self) {
      self->OnDeadline();
    }
  });
  owner_.Enqueue(shared_from_this());
}

ForwardingInfo Exchange::MakeForwardingInfo(const UpstreamId& upstream) const {
  ForwardingInfo info;
  info.left = RemainingTime();
  info.expected = upstream;
  if (request_.account != nullptr) {
    info.account = request_.account->id;
  }
  info.rank = placement_.rank;
  info.by_prefix = request_.route->by_prefix;
  if (stream_started_) {
    info.last_event_id = splitter_.last_id();
  }
  return info;
}

bool Exchange::SendTo(const UpstreamId& upstream) {
  const Status allowed = owner_.MayStart(*this);
  if (!allowed) {
    Refuse(allowed.error());
    return true;
  }
  std::shared_ptr<http::ClientConnection> connection = owner_.Connect(upstream);
  if (!connection) {
    return false;
  }
  upstream_ = upstream;
  relay_peer_.reset();
  relay_response_ = {};
  const policy::UpstreamLoad load = owner_.LoadOf(upstream_);
  upstream_start_ = owner_.StartOf(upstream_);
  upstream_version_ = owner_.VersionOf(upstream_);
  known_at_send_ = owner_.KnownAgainstParts(*this);
  BeginAttempt(std::move(connection));
  owner_.Log(
      EventId::kRequestDispatched, *this,
      {{"attempt", std::to_string(attempts_)},
       {"waited_ms", MillisecondText(sent_at_ - request_.request.arrived)},
       {"left_ms", MillisecondText(RemainingTime())},
       {"running", std::to_string(load.running)},
       {"unread", std::to_string(load.pending_prefill_tokens)},
       {"failing", Permille(policy::FailureRate(load))},
       {"missing", std::to_string(charge_.pending_prefill_tokens)},
       {"rank", std::to_string(placement_.rank)},
       {"version", upstream_version_},
       {"resumes", request_.traits.resumed_attempt.str()},
       {"part", std::to_string(policy::PrefixKey(placement_))}});
  Transmit(owner_.dialect().MakeUpstreamRequest(request_.request.head,
                                                MakeForwardingInfo(upstream_),
                                                request_.request.body->size()),
           kConnectTimeout);
  ScheduleHedge();
  return true;
}

void Exchange::BeginAttempt(
    std::shared_ptr<http::ClientConnection> connection) {
  stage_.Send(std::move(connection));
  ++attempts_;
  sent_at_ = MonotonicNow();
  last_byte_at_ = sent_at_;
  charge_ = owner_.OnSent(*this);
  std::string().swap(body_);
  attempt_ended_ = false;
  response_begun_ = false;
  response_framing_ = Framing::kNone;
  events_before_send_ = splitter_.events();
  pace_from_ = TimePoint();
  pace_.Reset();
}

void Exchange::Transmit(const http::RequestHead& head,
                        Duration connect_timeout) {
  stage_.connection()->SetHeadRequest(request_.request.head.method == "HEAD");
  stage_.connection()->Send(Serialize(head), request_.request.body,
                            std::min(connect_timeout, RemainingTime()), this);
}

void Exchange::OnReceivedHead(const http::ResponseHead& head) {
  response_traits_ =
      owner_.dialect().ReadResponse(head, request_.traits.attempt);
  last_byte_at_ = MonotonicNow();
  if (relay_peer_) {
    http::Fields fields = head.fields;
    const RelayedResponse relayed = TakeRelayedResponse(&fields);
    if (response_traits_.leaving && relayed.upstream) {
      owner_.OnRelayedLeaving(*relayed.upstream);
    }
    return;
  }
  if (response_traits_.leaving) {
    owner_.OnLeaving(*this);
  }
  if (response_traits_.backoff_for) {
    owner_.OnBackoff(*this, *response_traits_.backoff_for);
  }
  ReadLimit(head.status);
}

/// A misdirected answer comes from another upstream. Only an answer that is
/// surely this upstream's to this request shows that a limit is withdrawn.
void Exchange::ReadLimit(int status) {
  constexpr int kMisdirected = 421;
  const bool own_answer =
      !response_traits_.limit_malformed && response_traits_.has_signature &&
      response_traits_.matches_request && response_traits_.names_request;
  const NamedTerms named{response_traits_.limit,
                         response_traits_.rejection_limit, own_answer};
  if (status != kMisdirected &&
      (named.limit || named.rejection_limit || own_answer)) {
    owner_.OnLimit(*this, named);
  }
}

bool Exchange::IsMatchingResponse(const http::ResponseHead& /*head*/) const {
  // On a reused connection, a response without an id may be a second copy of
  // the response before.
  return IsResponseTo(response_traits_, late_connection_
                                            ? *late_connection_
                                            : *stage_.connection());
}

bool Exchange::IsResponseTo(const ResponseTraits& traits,
                            const http::ClientConnection& connection) const {
  const bool must_name =
      connection.reused() && !relay_peer_ && !request_.traits.attempt.empty();
  return traits.matches_request && (traits.names_request || !must_name);
}

void Exchange::OnHead(const http::ResponseHead& head, Framing framing,
                      std::uint64_t /*length*/) {
  if (late_connection_) {
    EndLateAnswer();
    return;
  }
  owner_.OnResponseHead(*this);
  response_begun_ = true;
  response_framing_ = framing;
  http::Fields fields = EndToEndFields(head.fields);
  if (relay_peer_) {
    relay_response_ = TakeRelayedResponse(&fields);
  } else if (request_.relayed) {
    AddRelayFields(RelayedResponse{false, {{upstream_, upstream_start_}}},
                   &fields);
  }
  const bool not_run = response_traits_.not_run ||
                       (relay_peer_ && StatusImpliesNotRun(head.status));
  may_have_run_ = may_have_run_ || !not_run;
  if (!streams() && ShowsRun(head, not_run)) {
    ReportBegan(sent_at_);
  }
  if (!stream_started_) {
    response_ = head;
    response_.fields = std::move(fields);
  }
  event_stream_ = streams() && http::IsSuccess(head.status) &&
                  response_traits_.has_signature;
  if (stream_started_ && !event_stream_ && !relay_response_.unable) {
    // The next upstream did not resume the stream.
    const auto self = shared_from_this();
    stage_.connection()->Close();
    if (response_traits_.not_run && !relay_peer_) {
      HandleRejection();
    } else {
      OnFailure(response_traits_.not_run ? ClientFailure::kNotSent
                                         : ClientFailure::kTruncated);
    }
  }
}

void Exchange::ReportBegan(TimePoint at) {
  if (!began_) {
    began_ = true;
    owner_.OnBeganToRun(*this, at);
  }
}

/// Whether an answer shows that an upstream ran the request. Errors carry no
/// signature; of those, only the ones that come from an upstream count.
bool Exchange::ShowsRun(const http::ResponseHead& head, bool not_run) const {
  constexpr int kFirstErrorStatus = 400;
  if (not_run || StatusImpliesNotRun(head.status)) {
    return false;
  }
  const bool from_upstream = !relay_peer_ || relay_response_.upstream;
  return response_traits_.has_signature ||
         (from_upstream && head.status >= kFirstErrorStatus);
}

void Exchange::OnBody(std::string_view piece) {
  last_byte_at_ = MonotonicNow();
  if (event_stream_) {
    ForwardEvents(piece);
    return;
  }
  body_.append(piece);
  if (body_.size() > kMaxWholeResponseBytes) {
    const auto self = shared_from_this();
    stage_.connection()->Close();
    OnFailure(ClientFailure::kMalformed);
    return;
  }
  request_.caller->HoldForResponse(http::HeapBytes(body_));
}

void Exchange::ForwardEvents(std::string_view piece) {
  const std::uint64_t events_before = splitter_.events();
  const std::string events = splitter_.Consume(piece);
  if (!events.empty()) {
    RecordEventTimes(splitter_.events() - events_before);
    StartStream();
    request_.caller->Write(events);
  }
  if (splitter_.partial_event_bytes() > kMaxEventBytes) {
    const auto self = shared_from_this();
    stage_.connection()->Close();
    OnFailure(ClientFailure::kMalformed);
  }
}

/// @param events Number of events that arrived together.
void Exchange::RecordEventTimes(std::uint64_t events) {
  const TimePoint now = MonotonicNow();
  pace_.Record(events, now);
  if (first_event_at_ == TimePoint()) {
    first_event_at_ = now;
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
  RecordPace(now);
}

void Exchange::StartStream() {
  if (charge_.pending_prefill_tokens > 0) {
    owner_.OnFirstEvent(*this, &charge_);
  }
  if (first_event_at_ != TimePoint()) {
    ReportBegan(first_event_at_);
  }
  if (!stream_started_) {
    stream_started_ = true;
    // Its events must not be joined with those of a second run.
    CancelHedge();
    stream_version_ = upstream_version_;
    owner_.OnStreamStarted(*this);
    request_.caller->StartBody(response_, std::nullopt);
  }
}

void Exchange::OnReadEnd() {
  if (stage_.sent() && stream_started_) {
    const auto self = shared_from_this();
    request_.caller->Flush();
    request_.caller->HoldForResponse(splitter_.partial_event_bytes());
    if (stage_.sent() && may_pause_ &&
        request_.caller->buffered() >
            request_.caller->ReadAhead(kMaxBufferedBytes)) {
      stage_.connection()->Pause();
    }
  }
}

}  // namespace rattanward::proxy
