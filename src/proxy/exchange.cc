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
constexpr Duration kConnectTimeout{std::chrono::milliseconds(500)};
/// Number of failed connection attempts tolerated per request.
constexpr std::uint32_t kMaxUnreachableUpstreams = 4;
/// Reading from the upstream pauses while more bytes than this are buffered
/// for a slow caller.
constexpr std::size_t kMaxBufferedBytes = 128U << 10U;
constexpr std::size_t kMaxWholeResponseBytes = 8U << 20U;
constexpr std::size_t kMaxEventBytes = 1U << 20U;
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServerError = 500;

bool IsSuccess(int status) {
  return status >= kOk && status < kMultipleChoices;
}

/// Whether a status tells the caller that the request did not run and will not
/// run.
bool StatusImpliesNotRun(int status) {
  constexpr int kTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string_view FramingName(Framing framing) {
  switch (framing) {
    case Framing::kNone:
      return "none";
    case Framing::kLength:
      return "length";
    case Framing::kChunked:
      return "chunked";
    case Framing::kUntilClose:
      return "until-close";
  }
  return "";
}

/// Ids of the prompt's parts in order, for the log.
std::string PartIds(const std::vector<policy::PromptPart>& prompt) {
  constexpr std::size_t kMaxLoggedParts = 16;
  std::string text;
  for (std::size_t i = 0; i < std::min(prompt.size(), kMaxLoggedParts); ++i) {
    if (i > 0) {
      text += ',';
    }
    text += std::to_string(prompt[i].id);
  }
  return text;
}

std::string Permille(double share) {
  constexpr double kPermille = 1000;
  return std::to_string(std::lround(share * kPermille));
}

}  // namespace

Exchange::Exchange(asio::io_context& io, ExchangeOwner& owner,
                   RoutedRequest request)
    : timer_(io), owner_(owner), request_(std::move(request)) {
  const Route& route = *request_.route;
  placement_.service = request_.service;
  placement_.kind = route.kind;
  placement_.rank = request_.table->RankOf(route, request_.account);
  placement_.prompt = request_.traits.prompt;
  placement_.prompt_tokens = request_.traits.prompt_tokens;
  placement_.max_output_tokens = request_.traits.max_output_tokens;
  placement_.arrived = request_.request.arrived;
  placement_.target = route.target;
  placement_.tight_pauses =
      request_.table->HasTightestPauses(route, request_.service);
  const Duration time_limit =
      std::min(route.timeout, request_.traits.deadline.value_or(route.timeout));
  deadline_ = request_.request.arrived + time_limit;
}

bool Exchange::is_retryable() const {
  const Route& route = *request_.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

TimePoint Exchange::answered_at() const {
  return first_event_at_ == TimePoint() ? MonotonicNow() : first_event_at_;
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
    if (self && self->connection_) {
      self->connection_->Resume();
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

ForwardingInfo Exchange::MakeForwardingInfo() const {
  ForwardingInfo info;
  info.left = RemainingTime();
  info.expected = upstream_;
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
  connection_ = std::move(connection);
  state_ = State::kSent;
  ++attempts_;
  sent_at_ = MonotonicNow();
  const policy::UpstreamLoad load = owner_.LoadOf(upstream_);
  upstream_start_ = owner_.StartOf(upstream_);
  known_at_send_ = owner_.KnownAgainstParts(*this);
  charge_ = owner_.OnSent(*this);
  body_.clear();
  response_begun_ = false;
  response_framing_ = Framing::kNone;
  events_before_send_ = splitter_.events();
  owner_.Log(EventId::kRequestDispatched, *this,
             {{"attempt", std::to_string(attempts_)},
              {"waited_ms", Milliseconds(sent_at_ - request_.request.arrived)},
              {"left_ms", Milliseconds(RemainingTime())},
              {"running", std::to_string(load.running)},
              {"unread", std::to_string(load.pending_prefill_tokens)},
              {"failing", Permille(policy::FailureRate(load))},
              {"missing", std::to_string(charge_.pending_prefill_tokens)},
              {"rank", std::to_string(placement_.rank)},
              {"part", std::to_string(policy::PrefixKey(placement_))}});
  connection_->SetHeadRequest(request_.request.head.method == "HEAD");
  connection_->Send(Serialize(owner_.dialect().MakeUpstreamRequest(
                        request_.request.head, MakeForwardingInfo(),
                        request_.request.body->size())),
                    request_.request.body,
                    std::min(kConnectTimeout, RemainingTime()), this);
  return true;
}

void Exchange::OnReceivedHead(const http::ResponseHead& head) {
  response_traits_ =
      owner_.dialect().ReadResponse(head, request_.traits.attempt);
  if (response_traits_.leaving) {
    owner_.OnLeaving(*this);
  }
  if (response_traits_.quiet_for) {
    owner_.OnQuietRequest(*this, *response_traits_.quiet_for);
  }
}

bool Exchange::IsMatchingResponse(const http::ResponseHead& /*head*/) const {
  // On a reused connection, a response without an id may be a second copy of
  // the response before.
  const bool must_name =
      connection_->reused() && !request_.traits.attempt.empty();
  return response_traits_.matches_request &&
         (response_traits_.names_request || !must_name);
}

void Exchange::OnHead(const http::ResponseHead& head, Framing framing,
                      std::uint64_t /*length*/) {
  owner_.OnResponseHead(*this);
  response_begun_ = true;
  response_framing_ = framing;
  if (!response_traits_.not_run) {
    may_have_run_ = true;
  }
  if (!stream_started_) {
    response_ = head;
    response_.fields = EndToEndFields(head.fields);
  }
  event_stream_ =
      streams() && IsSuccess(head.status) && response_traits_.has_signature;
  if (stream_started_ && !event_stream_) {
    // The next upstream did not resume the stream.
    const auto self = shared_from_this();
    connection_->Close();
    OnFailure(response_traits_.not_run ? ClientFailure::kNotSent
                                       : ClientFailure::kTruncated);
  }
}

void Exchange::OnBody(std::string_view piece) {
  if (event_stream_) {
    ForwardEvents(piece);
    return;
  }
  body_ += piece;
  if (body_.size() > kMaxWholeResponseBytes) {
    const auto self = shared_from_this();
    connection_->Close();
    OnFailure(ClientFailure::kMalformed);
  }
}

void Exchange::ForwardEvents(std::string_view piece) {
  const std::string events = splitter_.Consume(piece);
  if (!events.empty()) {
    RecordEventTimes();
    StartStream();
    request_.caller->Write(events);
  }
  if (splitter_.partial_event_bytes() > kMaxEventBytes) {
    const auto self = shared_from_this();
    connection_->Close();
    OnFailure(ClientFailure::kMalformed);
  }
}

void Exchange::RecordEventTimes() {
  const TimePoint now = MonotonicNow();
  if (first_event_at_ == TimePoint()) {
    first_event_at_ = now;
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
}

void Exchange::StartStream() {
  if (charge_.pending_prefill_tokens > 0) {
    owner_.OnFirstEvent(*this, &charge_);
  }
  if (!stream_started_) {
    stream_started_ = true;
    request_.caller->StartBody(response_, std::nullopt);
  }
}

void Exchange::OnReadEnd() {
  if (state_ == State::kSent && stream_started_) {
    const auto self = shared_from_this();
    request_.caller->Flush();
    if (connection_ && request_.caller->buffered() > kMaxBufferedBytes) {
      connection_->Pause();
    }
  }
}

void Exchange::OnComplete() {
  const auto self = shared_from_this();
  if (event_stream_ && StreamIsWhole()) {
    FinishStream();
  } else if (event_stream_) {
    HandleConnectionLoss("the upstream's stream ended inside an event");
  } else if (response_traits_.not_run) {
    HandleRejection();
  } else {
    FinishWholeResponse();
  }
}

/// The end of the upstream's message alone doesn't show that: an answer without
/// length or chunks ends wherever its connection does.
bool Exchange::StreamIsWhole() const {
  const bool has_events = splitter_.events() > events_before_send_;
  return !splitter_.inside_event() &&
         (has_events || response_framing_ != Framing::kUntilClose);
}

/// An answer that ends with its connection may have been cut off unnoticed.
void Exchange::ReportWholeAnswer() {
  if (response_framing_ != Framing::kUntilClose) {
    owner_.OnWholeAnswer(*this);
  }
}

void Exchange::FinishStream() {
  owner_.OnOutcome(*this, true);
  ReportWholeAnswer();
  StartStream();
  const std::size_t partial_event_bytes = splitter_.partial_event_bytes();
  request_.caller->Write(splitter_.TakePartialEvent());
  Release();
  request_.caller->FinishBody();
  End(EventId::kRequestFinished,
      {{"status", std::to_string(response_.status)},
       {"framing", std::string(FramingName(response_framing_))},
       {"events", std::to_string(splitter_.events())},
       {"partial_event_bytes", std::to_string(partial_event_bytes)},
       {"first_event_ms",
        Milliseconds(first_event_at_ - request_.request.arrived)},
       {"longest_pause_ms", Milliseconds(longest_pause_)}});
}

void Exchange::FinishWholeResponse() {
  owner_.OnOutcome(*this, response_.status < kServerError);
  const bool missing_signature =
      IsSuccess(response_.status) && !response_traits_.has_signature;
  const bool should_retry =
      is_retryable() && (response_.status >= kServerError || missing_signature);
  if (should_retry && attempts_ < request_.route->max_attempts &&
      owner_.TryTakeRetry(*this)) {
    excluded_.insert(upstream_);
    Release();
    Requeue();
    return;
  }
  Release();
  if (missing_signature || StatusImpliesNotRun(response_.status)) {
    // The response lacks its signature, or its status implies that the request
    // did not run although the upstream did not state that.
    Fail(MakeError(ErrorCode::kUpstreamFailed,
                   "the upstream responded with status " +
                       std::to_string(response_.status) +
                       " without stating that the request did not run",
                   Verdict::kMayHaveRun));
    return;
  }
  if (IsSuccess(response_.status)) {
    ReportWholeAnswer();
  }
  request_.caller->Respond(response_, body_);
  End(response_.status >= kServerError ? EventId::kRequestFailed
                                       : EventId::kRequestFinished,
      {{"status", std::to_string(response_.status)},
       {"bytes", std::to_string(body_.size())}});
}

void Exchange::HandleRejection() {
  if (response_traits_.quiet_for) {
    // Neither a failure of the upstream nor an attempt of the request.
    --attempts_;
  } else {
    owner_.OnOutcome(*this, false);
    owner_.OnRejected(*this);
  }
  excluded_.insert(upstream_);
  Release();
  const Error refusal =
      MakeError(ErrorCode::kNoUpstream,
                "the upstream rejected the request without running it");
  if (attempts_ < request_.route->max_attempts && owner_.TryTakeRetry(*this)) {
    Requeue();
    return;
  }
  Fail(refusal);
}

void Exchange::OnFailure(ClientFailure failure) {
  const auto self = shared_from_this();
  if (state_ != State::kSent) {
    return;
  }
  if (failure == ClientFailure::kNotSent) {
    const bool reused = connection_->reused();
    --attempts_;
    if (!reused) {
      ++unreachable_count_;
      owner_.OnUnreachable(*this);
    }
    Release();
    if (unreachable_count_ > kMaxUnreachableUpstreams) {
      Fail(MakeError(ErrorCode::kNoUpstream, "no upstream is reachable"));
    } else {
      Requeue();
    }
    return;
  }
  HandleConnectionLoss(failure == ClientFailure::kMalformed
                           ? "the upstream's response is malformed"
                           : "the upstream broke off");
}

void Exchange::HandleConnectionLoss(const std::string& reason) {
  may_have_run_ = true;
  owner_.OnOutcome(*this, false);
  owner_.OnConnectionLost(*this);
  owner_.Log(
      EventId::kUpstreamBroke, *this,
      {{"reason", reason},
       {"answer_begun", response_begun_ ? "1" : "0"},
       {"framing", std::string(FramingName(response_framing_))},
       {"partial_event_bytes", std::to_string(splitter_.partial_event_bytes())},
       {"reused", connection_->reused() ? "1" : "0"},
       {"idle_ms", Milliseconds(connection_->idle_before())},
       {"kept_ms", Milliseconds(connection_->keep_alive())},
       {"after_ms", Milliseconds(MonotonicNow() - sent_at_)},
       {"parts", PartIds(placement_.prompt)}});
  excluded_.insert(upstream_);
  Release();
  splitter_.DiscardPartialEvent();
  const Error error =
      MakeError(ErrorCode::kUpstreamBroken, reason, Verdict::kMayHaveRun);
  // A stream can be resumed only if its events have ids.
  const bool can_resume = !stream_started_ || !splitter_.last_id().empty();
  if (is_retryable() && can_resume &&
      attempts_ < request_.route->max_attempts && owner_.TryTakeRetry(*this)) {
    Requeue();
    return;
  }
  Fail(error);
}

void Exchange::Requeue() {
  state_ = State::kWaiting;
  owner_.Log(
      stream_started_ ? EventId::kStreamResumed : EventId::kRequestRetried,
      *this,
      {{"attempts", std::to_string(attempts_)},
       {"left_ms", Milliseconds(RemainingTime())}});
  owner_.Enqueue(shared_from_this());
}

void Exchange::Refuse(const Error& error) { Fail(error); }

/// Sends the final error response. If the request may have run, a status that
/// implies that it did not run is replaced.
void Exchange::Fail(Error error) {
  if (state_ == State::kFinished) {
    return;
  }
  const auto self = shared_from_this();
  Release();
  if (stream_started_) {
    request_.caller->Flush();
    if (state_ == State::kFinished) {
      return;  // The caller had closed its connection.
    }
    request_.caller->Abort();
  } else {
    if (may_have_run_ && StatusImpliesNotRun(HttpStatus(error.code))) {
      error.code = ErrorCode::kUpstreamBroken;
      error.verdict = Verdict::kMayHaveRun;
    }
    if (StatusImpliesNotRun(HttpStatus(error.code)) && !error.retry_after) {
      error.retry_after = owner_.RetryAfter(*this);
    }
    RespondError(*request_.caller, error);
  }
  End(may_have_run_ ? EventId::kRequestFailed : EventId::kRequestShed,
      {{"error", std::string(ErrorName(error.code))},
       {"reason", error.message},
       {"status", std::to_string(HttpStatus(error.code))},
       {"begun", stream_started_ ? "1" : "0"},
       {"retry_after_ms",
        error.retry_after ? Milliseconds(*error.retry_after) : "-"}});
}

void Exchange::OnCallerGone() {
  if (state_ == State::kFinished) {
    return;
  }
  const auto self = shared_from_this();
  const bool was_sent = state_ == State::kSent;
  Release();
  End(EventId::kCallerLeft, {{"sent", was_sent ? "1" : "0"},
                             {"events", std::to_string(splitter_.events())}});
}

void Exchange::OnDeadline() {
  if (state_ == State::kFinished) {
    return;
  }
  const bool sent =
      state_ == State::kSent && connection_ && connection_->sent_any();
  may_have_run_ = may_have_run_ || sent;
  if (sent && !streams()) {
    owner_.OnOutcome(*this, false);
  }
  Fail(may_have_run_
           ? MakeError(ErrorCode::kUpstreamSilent,
                       "no response before the request's deadline",
                       Verdict::kMayHaveRun)
           : MakeError(ErrorCode::kDeadlinePassed,
                       "no upstream had capacity before the request's "
                       "deadline"));
}

/// Releases the capacity charged at the upstream. A connection with an
/// unfinished response is closed, which cancels the request there.
void Exchange::Release() {
  if (!connection_) {
    return;
  }
  const auto connection = std::exchange(connection_, nullptr);
  if (!connection->Reusable(MonotonicNow())) {
    connection->Close();
  }
  owner_.OnReleased(*this, std::exchange(charge_, {}), connection);
}

void Exchange::End(EventId id, std::vector<EventField> fields) {
  state_ = State::kFinished;
  timer_.cancel();
  fields.push_back(
      {"took_ms", Milliseconds(MonotonicNow() - request_.request.arrived)});
  fields.push_back({"attempts", std::to_string(attempts_)});
  owner_.Log(id, *this, std::move(fields));
  owner_.Forget(shared_from_this());
}

}  // namespace rattanward::proxy
