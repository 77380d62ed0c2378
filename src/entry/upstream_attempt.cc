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
constexpr Duration kServiceTimeout{std::chrono::seconds(30)};
/// Pause before a stream is resumed again that made no progress.
constexpr Duration kResumePause{std::chrono::milliseconds(50)};
/// Periods of silence without progress after which an attempt ends.
constexpr int kQuietPeriods = 2;
/// Questions in a row that may go unanswered.
constexpr int kMaxQuietChecks = 2;
constexpr std::size_t kMaxWholeAnswerBytes = 8U << 20U;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

std::string RequestIdOf(const http::ResponseHead& head) {
  const std::string* id = head.fields.Find("X-Request-Id");
  return id == nullptr ? std::string() : *id;
}

std::string ContentTypeOf(const http::ResponseHead& head) {
  const std::string* type = head.fields.Find("Content-Type");
  return type == nullptr ? std::string() : *type;
}

http::RequestHead Head(std::string method, std::string target) {
  http::RequestHead head;
  head.method = std::move(method);
  head.target = std::move(target);
  return head;
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(asio::io_context& io,
                                 policy::StartAttempt start,
                                 const UpstreamRequest& request,
                                 Duration silence)
    : io_(io),
      pause_(io),
      start_(std::move(start)),
      request_(request),
      silence_(silence),
      stream_id_(request.id.str() + "-" + std::to_string(start_.attempt)) {
  result_.request = request.id;
  result_.attempt = start_.attempt;
}

void UpstreamAttempt::RunStream(StreamSink sink, AttemptSink ended) {
  streams_ = true;
  sink_ = std::move(sink);
  on_end_ = std::move(ended);
  last_progress_ = MonotonicNow();
  http::RequestHead head = PostHead();
  head.fields.Set("X-Stream-Id", stream_id_);
  head.fields.Set("X-Rattanward-Priority", std::to_string(start_.tier.value));
  call_ = NewCall(silence_);
  call_->Send(
      std::move(head), request_.body,
      Watch([](UpstreamAttempt& self,
               const auto& answer) { return self.TakeSentHead(answer); },
            [](UpstreamAttempt& self, std::string_view bytes) {
              return self.status_ >= kFirstErrorStatus || self.TakeBytes(bytes);
            },
            &UpstreamAttempt::StreamEnded));
}

void UpstreamAttempt::RunWhole(AttemptSink ended) {
  on_end_ = std::move(ended);
  call_ = NewCall(kServiceTimeout);
  call_->Send(
      PostHead(), request_.body,
      Watch([](UpstreamAttempt& self,
               const auto& answer) { return self.TakeWholeHead(answer); },
            [](UpstreamAttempt& self, std::string_view bytes) {
              return self.Collect(bytes);
            },
            &UpstreamAttempt::WholeEnded));
}

void UpstreamAttempt::CallerLeft() {
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  pause_.cancel();
  if (call_) {
    call_->Cancel();
  }
  if (streams_) {
    CancelUpstream();
  }
  End(AttemptEnd::kCallerLeft, ErrorCode::kCallerGone, Verdict::kMayHaveRun,
      "the caller has left");
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

http::RequestHead UpstreamAttempt::PostHead() const {
  http::RequestHead head = Head(request_.method, request_.path);
  head.fields = request_.fields;
  head.fields.Set("X-Request-Id", request_.id.str());
  if (!request_.content_type.empty()) {
    head.fields.Set("Content-Type", request_.content_type);
  }
  return head;
}

std::shared_ptr<UpstreamCall> UpstreamAttempt::NewCall(
    Duration longest_silence) {
  status_ = 0;
  body_.clear();
  return std::make_shared<UpstreamCall>(io_, start_.endpoint, longest_silence);
}

/// A watcher that holds the attempt weakly: the attempt owns the call.
UpstreamCall::Watcher UpstreamAttempt::Watch(
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

bool UpstreamAttempt::TakeWholeHead(const http::ResponseHead& head) {
  status_ = head.status;
  const std::string id = RequestIdOf(head);
  own_answer_ = id.empty() || id == request_.id.str();
  answer_.content_type = ContentTypeOf(head);
  return true;
}

bool UpstreamAttempt::Collect(std::string_view bytes) {
  body_.append(bytes);
  return body_.size() <= kMaxWholeAnswerBytes;
}

bool UpstreamAttempt::TakeSentHead(const http::ResponseHead& head) {
  status_ = head.status;
  own_answer_ = RequestIdOf(head) == request_.id.str();
  return status_ >= kFirstErrorStatus || own_answer_;
}

void UpstreamAttempt::StreamEnded(CallEnd end) {
  if (ended_) {
    return;
  }
  if (assembler_.done()) {
    Complete();
  } else if (end == CallEnd::kNotConnected) {
    End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
        Verdict::kNotRun, "no connection to the upstream");
  } else if (end == CallEnd::kStopped && !own_answer_) {
    End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
        "the answer belongs to another request");
  } else if (end == CallEnd::kWhole && status_ >= kFirstErrorStatus) {
    RefusedWith(status_);
  } else {
    AskIfAlive();
  }
}

/// Whether the upstream has declared that a status means "not run".
bool UpstreamAttempt::SaysNotRun(int status) const {
  const auto& not_run = start_.not_run_statuses;
  return std::find(not_run.begin(), not_run.end(), status) != not_run.end();
}

void UpstreamAttempt::RefusedWith(int status) {
  const std::string message =
      "the upstream answered with status " + std::to_string(status);
  if (SaysNotRun(status)) {
    End(AttemptEnd::kRefused, ErrorCode::kUpstreamRefused, Verdict::kNotRun,
        message);
  } else {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamFailed, Verdict::kMayHaveRun,
        message);
  }
}

void UpstreamAttempt::AskIfAlive() {
  next_when_asked_ = assembler_.next();
  produced_when_asked_ = produced_;
  unanswered_checks_ = 0;
  Ask();
}

void UpstreamAttempt::Ask() {
  call_ = NewCall(kStatusTimeout);
  call_->Send(Head("GET", StreamPath() + "/status"), std::string(),
              Watch([](UpstreamAttempt&, const auto&) { return true; },
                    [](UpstreamAttempt& self, std::string_view bytes) {
                      return self.Collect(bytes);
                    },
                    &UpstreamAttempt::Asked));
}

void UpstreamAttempt::Asked(CallEnd end) {
  if (end == CallEnd::kWhole && IsAlive()) {
    ResumeStream();
  } else if (end != CallEnd::kSilent) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the connection to the upstream broke");
  } else if (++unanswered_checks_ < kMaxQuietChecks) {
    Ask();
  } else {
    End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
        "the upstream is silent on new connections too");
  }
}

bool UpstreamAttempt::IsAlive() {
  const auto json = nlohmann::json::parse(body_, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  const std::string state = json.value("state", std::string());
  produced_ = std::max(produced_, json.value("produced", std::uint64_t{0}));
  return state == "running" || state == "done";
}

void UpstreamAttempt::ResumeStream() {
  assembler_.BeginConnection();
  ++resumes_;
  call_ = NewCall(silence_);
  call_->Send(
      Head("GET", StreamPath() + "?from=" + std::to_string(assembler_.next())),
      std::string(),
      Watch(
          [](UpstreamAttempt& self, const auto& answer) {
            return self.TakeSentHead(answer) &&
                   self.status_ < kFirstErrorStatus;
          },
          [](UpstreamAttempt& self, std::string_view bytes) {
            return self.TakeBytes(bytes);
          },
          &UpstreamAttempt::Resumed));
}

void UpstreamAttempt::Resumed(CallEnd end) {
  if (ended_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (assembler_.done()) {
    Complete();
  } else if (end == CallEnd::kStopped && status_ >= kFirstErrorStatus) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the upstream no longer knows the stream");
  } else if (assembler_.next() > next_when_asked_ ||
             produced_ > produced_when_asked_) {
    last_progress_ = now;
    AskIfAlive();
  } else if (now - last_progress_ > kQuietPeriods * silence_) {
    CancelUpstream();
    End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
        "the upstream makes no progress");
  } else {
    pause_.expires_after(kResumePause);
    pause_.async_wait([self = shared_from_this()](const asio::error_code& e) {
      if (!e && !self->ended_) {
        self->AskIfAlive();
      }
    });
  }
}

void UpstreamAttempt::WholeEnded(CallEnd end) {
  if (end == CallEnd::kNotConnected) {
    End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
        Verdict::kNotRun, "no connection to the upstream");
  } else if (end != CallEnd::kWhole) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the connection to the upstream broke");
  } else if (SaysNotRun(status_) ||
             (own_answer_ && status_ >= kFirstServerErrorStatus)) {
    RefusedWith(status_);
  } else if (!own_answer_) {
    End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
        "the answer belongs to another request");
  } else {
    answer_.status = status_;
    answer_.body = std::move(body_);
    Complete();
  }
}

bool UpstreamAttempt::TakeBytes(std::string_view bytes) {
  const Result<StreamPieces> pieces = assembler_.Feed(bytes);
  if (pieces && (!pieces.value().events.empty() || pieces.value().done) &&
      !sink_(pieces.value())) {
    CancelUpstream();
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamMalformed, Verdict::kRan,
        "the upstream's event is not a chunk of a completion");
    return false;
  }
  if (ended_) {
    return false;
  }
  const std::optional<Error>& failure = assembler_.failure();
  // A gap is mended by asking again from the event that is missing.
  if (failure && failure->code != ErrorCode::kStreamGap) {
    End(AttemptEnd::kBroken, failure->code, Verdict::kMayHaveRun,
        failure->message);
  }
  // Nothing may follow the end marker, so nothing more is waited for.
  return !failure && !assembler_.done();
}

/// Ends the work there; nobody waits for the answer.
void UpstreamAttempt::CancelUpstream() {
  const auto call =
      std::make_shared<UpstreamCall>(io_, start_.endpoint, kStatusTimeout);
  call->Send(Head("DELETE", StreamPath()), std::string(), {});
}

void UpstreamAttempt::End(AttemptEnd end, ErrorCode code, Verdict verdict,
                          std::string message) {
  if (ended_) {
    return;
  }
  result_.end = end;
  result_.verdict = assembler_.next() > 1 ? Verdict::kRan : verdict;
  result_.error = MakeError(code, std::move(message), result_.verdict);
  Tell();
}

void UpstreamAttempt::Complete() {
  result_.end = AttemptEnd::kCompleted;
  result_.verdict = Verdict::kRan;
  Tell();
}

void UpstreamAttempt::Tell() {
  ended_ = true;
  const AttemptSink on_end = std::exchange(on_end_, nullptr);
  on_end(result_);
}

std::string UpstreamAttempt::StreamPath() const {
  return "/v1/streams/" + stream_id_;
}

}  // namespace rattanward::entry
