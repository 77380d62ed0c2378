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

/// Time for a new connection to an upstream.
constexpr Duration kConnectTimeout{std::chrono::milliseconds(500)};
/// Upstreams that can't be reached before a request is given up.
constexpr std::uint32_t kMaxUnreachable = 4;
/// Bytes that wait for a slow caller before its upstream is not read on.
constexpr std::size_t kMaxBuffered = 128U << 10U;
constexpr std::size_t kMaxWholeAnswer = 8U << 20U;
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kServerError = 500;

bool IsSuccess(int status) {
  return status >= kOk && status < kMultipleChoices;
}

/// Statuses by which an answer promises that the request never runs.
bool PromisesNotRun(int status) {
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
  const Duration longest =
      std::min(route.timeout, request_.traits.deadline.value_or(route.timeout));
  deadline_ = request_.request.arrived + longest;
}

bool Exchange::may_repeat() const {
  const Route& route = *request_.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

TimePoint Exchange::answered_at() const {
  return first_event_at_ == TimePoint() ? MonotonicNow() : first_event_at_;
}

Duration Exchange::Left() const { return deadline_ - MonotonicNow(); }

void Exchange::Start() {
  const std::weak_ptr<Exchange> weak = weak_from_this();
  http::ServerConnection::Watcher watcher;
  watcher.on_disconnect = [weak] {
    if (const auto self = weak.lock()) {
      self->CallerLeft();
    }
  };
  watcher.on_drained = [weak] {
    const auto self = weak.lock();
    if (self && self->connection_) {
      self->connection_->Resume();
    }
  };
  request_.caller->Watch(std::move(watcher));
  timer_.expires_after(Left());
  timer_.async_wait([weak](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self) {
      self->DeadlinePassed();
    }
  });
  owner_.Enqueue(shared_from_this());
}

UpstreamOrder Exchange::Order() const {
  UpstreamOrder order;
  order.left = Left();
  order.expected = upstream_;
  if (request_.account != nullptr) {
    order.account = request_.account->id;
  }
  order.rank = placement_.rank;
  order.by_prefix = request_.route->by_prefix;
  if (stream_started_) {
    order.last_event_id = splitter_.last_id();
  }
  return order;
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
  charge_ = owner_.NoteSent(*this);
  body_.clear();
  owner_.Log(EventId::kRequestDispatched, *this,
             {{"attempt", std::to_string(attempts_)},
              {"waited_ms", Milliseconds(sent_at_ - request_.request.arrived)},
              {"left_ms", Milliseconds(Left())},
              {"running", std::to_string(load.running)},
              {"unread", std::to_string(load.pending_prefill_tokens)},
              {"failing", Permille(policy::FailureRate(load))},
              {"missing", std::to_string(charge_.pending_prefill_tokens)},
              {"rank", std::to_string(placement_.rank)},
              {"part", std::to_string(policy::PrefixKey(placement_))}});
  connection_->SetHeadRequest(request_.request.head.method == "HEAD");
  connection_->Send(
      Serialize(owner_.dialect().ForUpstream(request_.request.head, Order(),
                                             request_.request.body->size())),
      request_.request.body, std::min(kConnectTimeout, Left()), this);
  return true;
}

bool Exchange::IsMatchingResponse(const http::ResponseHead& head) const {
  return owner_.dialect().ReadAnswer(head, request_.traits.attempt).own;
}

void Exchange::OnHead(const http::ResponseHead& head, Framing /*framing*/,
                      std::uint64_t /*length*/) {
  owner_.NoteAnswered(*this);
  answer_traits_ = owner_.dialect().ReadAnswer(head, request_.traits.attempt);
  if (!answer_traits_.not_run) {
    may_have_run_ = true;
  }
  if (!stream_started_) {
    answer_ = head;
    answer_.fields = EndToEndFields(head.fields);
  }
  event_stream_ =
      streams() && IsSuccess(head.status) && answer_traits_.has_signature;
  if (stream_started_ && !event_stream_) {
    // A resumed stream that the next upstream does not go on with.
    const auto self = shared_from_this();
    connection_->Close();
    OnFailure(answer_traits_.not_run ? ClientFailure::kNotSent
                                     : ClientFailure::kTruncated);
  }
}

void Exchange::OnBody(std::string_view piece) {
  if (event_stream_) {
    TakeStreamBytes(piece);
    return;
  }
  body_ += piece;
  if (body_.size() > kMaxWholeAnswer) {
    const auto self = shared_from_this();
    connection_->Close();
    OnFailure(ClientFailure::kMalformed);
  }
}

void Exchange::TakeStreamBytes(std::string_view piece) {
  const std::string events = splitter_.Take(piece);
  if (events.empty()) {
    return;
  }
  NoteEventTimes();
  StartStream();
  request_.caller->Write(events);
}

void Exchange::NoteEventTimes() {
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
    owner_.NoteFirstEvent(*this, &charge_);
  }
  if (!stream_started_) {
    stream_started_ = true;
    request_.caller->StartBody(answer_, std::nullopt);
  }
}

void Exchange::OnReadEnd() {
  if (state_ == State::kSent && stream_started_) {
    const auto self = shared_from_this();
    request_.caller->Flush();
    if (connection_ && request_.caller->buffered() > kMaxBuffered) {
      connection_->Pause();
    }
  }
}

void Exchange::OnComplete() {
  const auto self = shared_from_this();
  if (event_stream_) {
    FinishStream();
  } else if (answer_traits_.not_run) {
    RefusedThere();
  } else {
    AnswerWhole();
  }
}

void Exchange::FinishStream() {
  owner_.NoteEnded(*this, true);
  StartStream();
  request_.caller->Write(splitter_.TakeRest());
  Release();
  request_.caller->FinishBody();
  End(EventId::kRequestFinished,
      {{"status", std::to_string(answer_.status)},
       {"events", std::to_string(splitter_.events())},
       {"first_event_ms",
        Milliseconds(first_event_at_ - request_.request.arrived)},
       {"longest_pause_ms", Milliseconds(longest_pause_)}});
}

void Exchange::AnswerWhole() {
  owner_.NoteEnded(*this, answer_.status < kServerError);
  const bool no_proof =
      IsSuccess(answer_.status) && !answer_traits_.has_signature;
  const bool worth_another =
      may_repeat() && (answer_.status >= kServerError || no_proof);
  if (worth_another && attempts_ < request_.route->max_attempts &&
      owner_.MayRepeat(*this)) {
    excluded_.insert(upstream_);
    Release();
    TryAgain();
    return;
  }
  Release();
  if (no_proof || PromisesNotRun(answer_.status)) {
    // The upstream did not say that the request did not run.
    Fail(MakeError(ErrorCode::kUpstreamFailed,
                   "the upstream answered " + std::to_string(answer_.status) +
                       " without saying that the request did not run",
                   Verdict::kMayHaveRun));
    return;
  }
  request_.caller->Respond(answer_, body_);
  End(answer_.status >= kServerError ? EventId::kRequestFailed
                                     : EventId::kRequestFinished,
      {{"status", std::to_string(answer_.status)},
       {"bytes", std::to_string(body_.size())}});
}

void Exchange::RefusedThere() {
  owner_.NoteEnded(*this, false);
  owner_.NoteRefusedThere(*this);
  excluded_.insert(upstream_);
  Release();
  const Error refusal =
      MakeError(ErrorCode::kNoUpstream, "the upstream refused and did not run");
  if (attempts_ < request_.route->max_attempts && owner_.MayRepeat(*this)) {
    TryAgain();
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
      ++unreachable_;
      owner_.NoteUnreachable(*this);
    }
    Release();
    if (unreachable_ > kMaxUnreachable) {
      Fail(MakeError(ErrorCode::kNoUpstream, "no upstream can be reached"));
    } else {
      TryAgain();
    }
    return;
  }
  Broken(failure);
}

void Exchange::Broken(ClientFailure failure) {
  may_have_run_ = true;
  owner_.NoteEnded(*this, false);
  owner_.NoteBroken(*this);
  const std::string what = failure == ClientFailure::kMalformed
                               ? "the upstream's bytes are no answer"
                               : "the upstream broke off";
  owner_.Log(
      EventId::kUpstreamBroke, *this,
      {{"reason", what},
       {"answer_begun", failure == ClientFailure::kTruncated ? "1" : "0"},
       {"reused", connection_->reused() ? "1" : "0"},
       {"idle_ms", Milliseconds(connection_->idle_before())},
       {"kept_ms", Milliseconds(connection_->keep_alive())},
       {"after_ms", Milliseconds(MonotonicNow() - sent_at_)}});
  excluded_.insert(upstream_);
  Release();
  splitter_.DropRest();
  const Error error =
      MakeError(ErrorCode::kUpstreamBroken, what, Verdict::kMayHaveRun);
  // Events of a stream without ids can't be gone on with.
  const bool can_go_on = !stream_started_ || !splitter_.last_id().empty();
  if (may_repeat() && can_go_on && attempts_ < request_.route->max_attempts &&
      owner_.MayRepeat(*this)) {
    TryAgain();
    return;
  }
  Fail(error);
}

void Exchange::TryAgain() {
  state_ = State::kWaiting;
  owner_.Log(
      stream_started_ ? EventId::kStreamResumed : EventId::kRequestRetried,
      *this,
      {{"attempts", std::to_string(attempts_)},
       {"left_ms", Milliseconds(Left())}});
  owner_.Enqueue(shared_from_this());
}

void Exchange::Refuse(const Error& error) { Fail(error); }

/// Gives the final answer at once. An answer that promises that the request
/// did not run is given only where that is so.
void Exchange::Fail(Error error) {
  if (state_ == State::kOver) {
    return;
  }
  const auto self = shared_from_this();
  Release();
  if (stream_started_) {
    request_.caller->Abort();
  } else {
    if (may_have_run_ && PromisesNotRun(HttpStatus(error.code))) {
      error.code = ErrorCode::kUpstreamBroken;
      error.verdict = Verdict::kMayHaveRun;
    }
    if (PromisesNotRun(HttpStatus(error.code)) && !error.retry_after) {
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

void Exchange::CallerLeft() {
  if (state_ == State::kOver) {
    return;
  }
  const auto self = shared_from_this();
  const bool was_sent = state_ == State::kSent;
  Release();
  End(EventId::kCallerLeft, {{"sent", was_sent ? "1" : "0"},
                             {"events", std::to_string(splitter_.events())}});
}

void Exchange::DeadlinePassed() {
  if (state_ == State::kOver) {
    return;
  }
  const bool sent =
      state_ == State::kSent && connection_ && connection_->sent_any();
  may_have_run_ = may_have_run_ || sent;
  if (sent && !streams()) {
    owner_.NoteEnded(*this, false);
  }
  Fail(may_have_run_
           ? MakeError(ErrorCode::kUpstreamSilent,
                       "no answer within the time of the request",
                       Verdict::kMayHaveRun)
           : MakeError(ErrorCode::kDeadlinePassed,
                       "no upstream had room within the time of the request"));
}

/// Gives the place at the upstream back; an unfinished answer is cut off,
/// which ends the work there.
void Exchange::Release() {
  if (!connection_) {
    return;
  }
  const auto connection = std::exchange(connection_, nullptr);
  if (!connection->Reusable(MonotonicNow())) {
    connection->Close();
  }
  owner_.NoteReleased(*this, std::exchange(charge_, {}), connection);
}

void Exchange::End(EventId id, std::vector<EventField> fields) {
  state_ = State::kOver;
  timer_.cancel();
  fields.push_back(
      {"took_ms", Milliseconds(MonotonicNow() - request_.request.arrived)});
  fields.push_back({"attempts", std::to_string(attempts_)});
  owner_.Log(id, *this, std::move(fields));
  owner_.Forget(shared_from_this());
}

}  // namespace rattanward::proxy
