#include "rattanward/entry/upstream_attempt.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"

namespace rattanward::entry {
namespace {

using adapter::MonotonicNow;
using policy::AttemptEnd;

constexpr Duration kStatusTimeout{std::chrono::milliseconds(700)};
/// Delay before the next status check of a stream that made no progress.
constexpr Duration kResumeDelay{std::chrono::milliseconds(50)};
/// An attempt ends after this many silence timeouts without progress.
constexpr int kMaxSilentPeriods = 2;
/// Number of consecutive unanswered status queries that ends an attempt.
constexpr int kMaxUnansweredQueries = 2;
constexpr std::size_t kMaxResponseBytes = 8U << 20U;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kUnavailable = 503;

std::string RequestIdOf(const http::ResponseHead& head) {
  const std::string* id = head.fields.Find("X-Request-Id");
  return id == nullptr ? std::string() : *id;
}

std::string ContentTypeOf(const http::ResponseHead& head) {
  const std::string* type = head.fields.Find("Content-Type");
  return type == nullptr ? std::string() : *type;
}

http::RequestHead MakeHead(std::string method, std::string target) {
  http::RequestHead head;
  head.method = std::move(method);
  head.target = std::move(target);
  return head;
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(asio::io_context& io,
                                 policy::StartAttempt start,
                                 const UpstreamRequest& request,
                                 Duration silence_timeout,
                                 CallTimerFactory timers)
    : io_(io),
      timers_(std::move(timers)),
      resume_timer_(timers_()),
      start_(std::move(start)),
      request_(request),
      silence_timeout_(silence_timeout),
      stream_id_(request.id.str() + "-" + std::to_string(start_.attempt)) {
  result_.request = request.id;
  result_.attempt = start_.attempt;
}

void UpstreamAttempt::RunStream(StreamSink sink, AttemptSink ended) {
  is_stream_ = true;
  sink_ = std::move(sink);
  on_end_ = std::move(ended);
  last_progress_ = MonotonicNow();
  http::RequestHead head = MakeInitialHead();
  head.fields.Set("X-Stream-Id", stream_id_);
  head.fields.Set("X-Rattanward-Priority", std::to_string(start_.tier.value));
  call_ = NewCall(silence_timeout_);
  call_->Send(std::move(head), request_.body,
              MakeWatcher(
                  [](UpstreamAttempt& self, const auto& answer) {
                    return self.HandleStreamHead(answer);
                  },
                  [](UpstreamAttempt& self, std::string_view bytes) {
                    return self.status_ >= kFirstErrorStatus ||
                           self.HandleStreamBytes(bytes);
                  },
                  &UpstreamAttempt::StreamCallEnded));
}

void UpstreamAttempt::RunServiceCall(AttemptSink ended) {
  on_end_ = std::move(ended);
  call_ = NewCall(silence_timeout_);
  call_->Send(MakeInitialHead(), request_.body,
              MakeWatcher(
                  [](UpstreamAttempt& self, const auto& answer) {
                    return self.HandleServiceHead(answer);
                  },
                  [](UpstreamAttempt& self, std::string_view bytes) {
                    return self.AppendBody(bytes);
                  },
                  &UpstreamAttempt::ServiceCallEnded));
}

void UpstreamAttempt::Cancel() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  resume_timer_->Cancel();
  if (call_) {
    call_->Cancel();
  }
  if (is_stream_) {
    CancelUpstreamWork();
  }
  End(AttemptEnd::kCallerLeft, ErrorCode::kCallerGone, Verdict::kMayHaveRun,
      "the attempt was cancelled");
}

void UpstreamAttempt::Pause() {
  if (call_ && !ended_) {
    call_->Pause();
  }
}

void UpstreamAttempt::Resume() {
  if (call_ && !ended_) {
    call_->Resume();
  }
}

http::RequestHead UpstreamAttempt::MakeInitialHead() const {
  http::RequestHead head = MakeHead(request_.method, request_.path);
  head.fields = request_.fields;
  head.fields.Set("X-Request-Id", request_.id.str());
  if (!request_.content_type.empty()) {
    head.fields.Set("Content-Type", request_.content_type);
  }
  return head;
}

std::shared_ptr<UpstreamCall> UpstreamAttempt::NewCall(Duration idle_timeout) {
  status_ = 0;
  body_.clear();
  return std::make_shared<UpstreamCall>(io_, timers_, start_.endpoint,
                                        idle_timeout);
}

/// Creates a watcher with a weak pointer to the attempt, which owns the call.
UpstreamCall::Watcher UpstreamAttempt::MakeWatcher(
    bool (*on_head)(UpstreamAttempt&, const http::ResponseHead&),
    bool (*on_bytes)(UpstreamAttempt&, std::string_view),
    void (UpstreamAttempt::*on_end)(CallEnd)) {
  const std::weak_ptr<UpstreamAttempt> weak = weak_from_this();
  return {[weak, on_head](const http::ResponseHead& head) {
            const auto self = weak.lock();
            return self && on_head(*self, head);
          },
          [weak, on_bytes](std::string_view bytes) {
            const auto self = weak.lock();
            return self && on_bytes(*self, bytes);
          },
          [weak, on_end](CallEnd end) {
            if (const auto self = weak.lock()) {
              (self.get()->*on_end)(end);
            }
          }};
}

/// Reads what the upstream wants of this entry beyond the request.
void UpstreamAttempt::ReadSignals(const http::ResponseHead& head) {
  const std::string* leaving = head.fields.Find("X-Rattanward-Leaving");
  if (leaving != nullptr && *leaving != "0" && on_leaving) {
    on_leaving();
  }
  ReadLimit(head);
  const std::string* retry_after = head.fields.Find("Retry-After");
  if (head.status == kUnavailable && retry_after != nullptr) {
    result_.backoff_for = http::ParseRetryAfter(*retry_after);
  }
}

/// A malformed limit changes nothing.
void UpstreamAttempt::ReadLimit(const http::ResponseHead& head) {
  if (!on_limit) {
    return;
  }
  const std::string* text = head.fields.Find("X-Rattanward-Request-Limit");
  const std::optional<RequestRate> named =
      text == nullptr ? std::nullopt : http::ParseRequestRate(*text);
  const bool names_none =
      text == nullptr && RequestIdOf(head) == request_.id.str();
  if (named || names_none) {
    on_limit(named);
  }
}

void UpstreamAttempt::CountExtraRequest() {
  if (on_extra_request) {
    on_extra_request();
  }
}

bool UpstreamAttempt::HandleServiceHead(const http::ResponseHead& head) {
  ReadSignals(head);
  status_ = head.status;
  const std::string id = RequestIdOf(head);
  request_id_matches_ = id.empty() || id == request_.id.str();
  answer_.content_type = ContentTypeOf(head);
  return true;
}

bool UpstreamAttempt::AppendBody(std::string_view bytes) {
  body_.append(bytes);
  return body_.size() <= kMaxResponseBytes;
}

bool UpstreamAttempt::HandleStreamHead(const http::ResponseHead& head) {
  ReadSignals(head);
  status_ = head.status;
  request_id_matches_ = RequestIdOf(head) == request_.id.str();
  return status_ >= kFirstErrorStatus || request_id_matches_;
}

void UpstreamAttempt::StreamCallEnded(CallEnd end) {
  if (ended_) {
    return;
  }
  if (assembler_.done()) {
    Complete();
  } else if (end == CallEnd::kNotConnected) {
    End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
        Verdict::kNotRun, "could not connect to the upstream");
  } else if (end == CallEnd::kStopped && !request_id_matches_) {
    End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
        "the response does not carry the id of this request");
  } else if (end == CallEnd::kComplete && status_ >= kFirstErrorStatus) {
    EndWithStatus(status_);
  } else {
    StartStatusCheck();
  }
}

/// Whether the upstream has declared that this HTTP status means "not run".
bool UpstreamAttempt::IsNotRunStatus(int status) const {
  const auto& not_run = start_.not_run_statuses;
  return std::find(not_run.begin(), not_run.end(), status) != not_run.end();
}

void UpstreamAttempt::EndWithStatus(int status) {
  const std::string message =
      "upstream responded with HTTP status " + std::to_string(status);
  if (IsNotRunStatus(status)) {
    End(AttemptEnd::kRefused, ErrorCode::kUpstreamRefused, Verdict::kNotRun,
        message);
  } else {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamFailed, Verdict::kMayHaveRun,
        message);
  }
}

void UpstreamAttempt::StartStatusCheck() {
  next_event_at_check_ = assembler_.next_event();
  produced_at_check_ = produced_events_;
  unanswered_queries_ = 0;
  SendStatusQuery();
}

void UpstreamAttempt::SendStatusQuery() {
  CountExtraRequest();
  call_ = NewCall(kStatusTimeout);
  call_->Send(MakeHead("GET", StreamPath() + "/status"), std::string(),
              MakeWatcher(
                  [](UpstreamAttempt& self, const auto& head) {
                    self.ReadSignals(head);
                    return true;
                  },
                  [](UpstreamAttempt& self, std::string_view bytes) {
                    return self.AppendBody(bytes);
                  },
                  &UpstreamAttempt::StatusQueryEnded));
}

void UpstreamAttempt::StatusQueryEnded(CallEnd end) {
  if (end == CallEnd::kComplete && UpdateFromStatus()) {
    ResumeStream();
  } else if (end != CallEnd::kSilent) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the stream was interrupted, and the upstream did not confirm that it "
        "is running or done");
  } else if (++unanswered_queries_ < kMaxUnansweredQueries) {
    SendStatusQuery();
  } else {
    End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
        "upstream is silent and did not answer status queries");
  }
}

/// Reads the progress from the response to a status query. Returns whether the
/// upstream can resume the stream.
bool UpstreamAttempt::UpdateFromStatus() {
  const auto json = nlohmann::json::parse(body_, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  const nlohmann::json state = json.value("state", nlohmann::json());
  const nlohmann::json produced = json.value("produced", nlohmann::json(0U));
  if (!produced.is_number_unsigned()) {
    return false;
  }
  produced_events_ = std::max(produced_events_, produced.get<std::uint64_t>());
  return state == "running" || state == "done";
}

void UpstreamAttempt::ResumeStream() {
  assembler_.BeginConnection();
  ++resumes_;
  CountExtraRequest();
  call_ = NewCall(silence_timeout_);
  call_->Send(MakeHead("GET", StreamPath() + "?from=" +
                                  std::to_string(assembler_.next_event())),
              std::string(),
              MakeWatcher(
                  [](UpstreamAttempt& self, const auto& answer) {
                    return self.HandleStreamHead(answer) &&
                           self.status_ < kFirstErrorStatus;
                  },
                  [](UpstreamAttempt& self, std::string_view bytes) {
                    return self.HandleStreamBytes(bytes);
                  },
                  &UpstreamAttempt::ResumedCallEnded));
}

void UpstreamAttempt::ResumedCallEnded(CallEnd end) {
  if (ended_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (assembler_.done()) {
    Complete();
  } else if (end == CallEnd::kStopped && status_ >= kFirstErrorStatus) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "upstream rejected the request to resume the stream");
  } else if (assembler_.next_event() > next_event_at_check_ ||
             produced_events_ > produced_at_check_) {
    last_progress_ = now;
    StartStatusCheck();
  } else if (now - last_progress_ > kMaxSilentPeriods * silence_timeout_) {
    CancelUpstreamWork();
    End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
        "upstream made no progress with the stream");
  } else {
    resume_timer_->Start(kResumeDelay, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->ended_) {
        self->StartStatusCheck();
      }
    });
  }
}

void UpstreamAttempt::ServiceCallEnded(CallEnd end) {
  if (end == CallEnd::kNotConnected) {
    End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
        Verdict::kNotRun, "could not connect to the upstream");
  } else if (end != CallEnd::kComplete) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the service call ended without a complete response");
  } else if (IsNotRunStatus(status_) ||
             (request_id_matches_ && status_ >= kFirstServerErrorStatus)) {
    EndWithStatus(status_);
  } else if (!request_id_matches_) {
    End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
        "the response does not carry the id of this request");
  } else {
    answer_.status = status_;
    answer_.body = std::move(body_);
    Complete();
  }
}

bool UpstreamAttempt::HandleStreamBytes(std::string_view bytes) {
  const Result<StreamBatch> batch = assembler_.Feed(bytes);
  if (batch && (!batch.value().events.empty() || batch.value().done) &&
      !sink_(batch.value())) {
    CancelUpstreamWork();
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamMalformed, Verdict::kRan,
        "stream event is not a completion chunk");
    return false;
  }
  if (ended_) {
    return false;
  }
  const std::optional<Error>& failure = assembler_.failure();
  // A gap does not end the attempt: the stream is resumed from the missing
  // event.
  if (failure && failure->code != ErrorCode::kStreamGap) {
    End(AttemptEnd::kBroken, failure->code, Verdict::kMayHaveRun,
        failure->message);
  }
  // Stops at the end marker, because no event may follow it.
  return !failure && !assembler_.done();
}

/// Asks the upstream to cancel the stream's work, and ignores the response.
void UpstreamAttempt::CancelUpstreamWork() {
  CountExtraRequest();
  const auto call = std::make_shared<UpstreamCall>(
      io_, timers_, start_.endpoint, kStatusTimeout);
  call->Send(MakeHead("DELETE", StreamPath()), std::string(), {});
}

void UpstreamAttempt::End(AttemptEnd end, ErrorCode code, Verdict verdict,
                          std::string message) {
  if (ended_) {
    return;
  }
  result_.end = end;
  result_.verdict = assembler_.next_event() > 1 ? Verdict::kRan : verdict;
  result_.error = MakeError(code, std::move(message), result_.verdict);
  NotifyEnd();
}

void UpstreamAttempt::Complete() {
  result_.end = AttemptEnd::kCompleted;
  result_.verdict = Verdict::kRan;
  NotifyEnd();
}

void UpstreamAttempt::NotifyEnd() {
  ended_ = true;
  const AttemptSink on_end = std::exchange(on_end_, nullptr);
  on_end(result_);
}

std::string UpstreamAttempt::StreamPath() const {
  return "/v1/streams/" + stream_id_;
}

}  // namespace rattanward::entry
