#include "rattanward/entry/upstream_attempt.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace rattanward::entry {
namespace {

using policy::AttemptEnd;

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kWriteTimeout = std::chrono::seconds(2);
constexpr auto kStatusTimeout = std::chrono::milliseconds(700);
constexpr auto kServiceTimeout = std::chrono::seconds(30);
/// Pause before a stream is resumed again that made no progress.
constexpr auto kResumePause = std::chrono::milliseconds(50);
/// Periods of silence without progress after which an attempt ends.
constexpr int kQuietPeriods = 2;
/// Questions in a row that may go unanswered.
constexpr int kMaxQuietChecks = 2;
constexpr std::size_t kMaxWholeAnswerBytes = 8U << 20U;
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

/// Stops the client when the caller leaves, for as long as this object lives.
class StopWhenCallerLeaves {
 public:
  StopWhenCallerLeaves(AnswerChannel& channel, httplib::Client& client)
      : channel_(channel) {
    channel_.OnLeave([&client] { client.stop(); });
  }
  ~StopWhenCallerLeaves() { channel_.OnLeave(nullptr); }
  StopWhenCallerLeaves(const StopWhenCallerLeaves&) = delete;
  StopWhenCallerLeaves& operator=(const StopWhenCallerLeaves&) = delete;

 private:
  AnswerChannel& channel_;
};

void Prepare(httplib::Client& client, Duration read_timeout) {
  client.set_connection_timeout(kConnectTimeout);
  client.set_write_timeout(kWriteTimeout);
  client.set_read_timeout(read_timeout);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
}

bool NeverConnected(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout;
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(policy::StartAttempt start,
                                 const UpstreamRequest& request,
                                 Duration silence,
                                 std::shared_ptr<AnswerChannel> channel)
    : start_(std::move(start)),
      request_(request),
      silence_(silence),
      channel_(std::move(channel)),
      stream_id_(request.id.str() + "-" + std::to_string(start_.attempt)) {
  result_.request = request.id;
  result_.attempt = start_.attempt;
}

policy::AttemptResult UpstreamAttempt::RunStream(const StreamSink& sink) {
  ConnectionEnd end = SendStream(sink);
  auto last_progress = std::chrono::steady_clock::now();
  while (end == ConnectionEnd::kBroken && !channel_->left()) {
    const std::uint64_t wanted = assembler_.next();
    const std::uint64_t produced = produced_;
    if (!AskIfAlive()) {
      break;
    }
    end = ResumeStream(sink);
    const auto now = std::chrono::steady_clock::now();
    if (assembler_.next() > wanted || produced_ > produced) {
      last_progress = now;
    } else if (now - last_progress > kQuietPeriods * silence_) {
      End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
          "the upstream makes no progress");
      CancelUpstream();
      break;
    } else if (end == ConnectionEnd::kBroken) {
      std::this_thread::sleep_for(kResumePause);
    }
  }
  if (end == ConnectionEnd::kDone) {
    Complete();
    return result_;
  }
  if (channel_->left()) {
    End(AttemptEnd::kCallerLeft, ErrorCode::kCallerGone, Verdict::kMayHaveRun,
        "the caller has left");
    CancelUpstream();
  }
  End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
      "the connection to the upstream broke");
  return result_;
}

UpstreamAttempt::ConnectionEnd UpstreamAttempt::SendStream(
    const StreamSink& sink) {
  httplib::Client client(start_.endpoint.address, start_.endpoint.port);
  Prepare(client, silence_);
  const StopWhenCallerLeaves stop(*channel_, client);
  httplib::Request request;
  request.method = request_.method;
  request.path = request_.path;
  request.body = request_.body;
  request.set_header("Content-Type", request_.content_type);
  request.set_header("X-Request-Id", request_.id.str());
  request.set_header("X-Stream-Id", stream_id_);
  request.set_header("X-Rattanward-Priority",
                     std::to_string(start_.tier.value));
  int status = 0;
  std::string echoed;
  request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    echoed = response.get_header_value("X-Request-Id");
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    if (status >= kFirstErrorStatus) {
      return true;
    }
    if (echoed != request_.id.str()) {
      End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
          "the answer belongs to another request");
      return false;
    }
    return TakeBytes({data, size}, sink);
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const bool sent = client.send(request, response, error);
  if (!sent && NeverConnected(error)) {
    End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
        Verdict::kNotRun, "no connection to the upstream");
  } else if (sent && status >= kFirstErrorStatus) {
    const auto& not_run = start_.not_run_statuses;
    const bool refused =
        std::find(not_run.begin(), not_run.end(), status) != not_run.end();
    End(refused ? AttemptEnd::kRefused : AttemptEnd::kBroken,
        refused ? ErrorCode::kUpstreamRefused : ErrorCode::kUpstreamFailed,
        refused ? Verdict::kNotRun : Verdict::kMayHaveRun,
        "the upstream answered with status " + std::to_string(status));
  } else if (assembler_.done()) {
    return ConnectionEnd::kDone;
  }
  return ended_ ? ConnectionEnd::kFinal : ConnectionEnd::kBroken;
}

UpstreamAttempt::ConnectionEnd UpstreamAttempt::ResumeStream(
    const StreamSink& sink) {
  assembler_.BeginConnection();
  ++resumes_;
  httplib::Client client(start_.endpoint.address, start_.endpoint.port);
  Prepare(client, silence_);
  const StopWhenCallerLeaves stop(*channel_, client);
  int status = 0;
  const auto answer = client.Get(
      (StreamPath() + "?from=" + std::to_string(assembler_.next())).c_str(),
      [&](const httplib::Response& response) {
        status = response.status;
        return status < kFirstErrorStatus &&
               response.get_header_value("X-Request-Id") == request_.id.str();
      },
      [&](const char* data, std::size_t size) {
        return TakeBytes({data, size}, sink);
      });
  if (assembler_.done()) {
    return ConnectionEnd::kDone;
  }
  if (status >= kFirstErrorStatus) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the upstream no longer knows the stream");
  }
  return ended_ ? ConnectionEnd::kFinal : ConnectionEnd::kBroken;
}

bool UpstreamAttempt::AskIfAlive() {
  for (int check = 0; check < kMaxQuietChecks && !channel_->left(); ++check) {
    httplib::Client client(start_.endpoint.address, start_.endpoint.port);
    Prepare(client, kStatusTimeout);
    const auto asked = std::chrono::steady_clock::now();
    const auto answer = client.Get((StreamPath() + "/status").c_str());
    if (answer) {
      return TakeStatus(answer->body);
    }
    const bool closed =
        std::chrono::steady_clock::now() - asked < kStatusTimeout;
    if (closed) {
      return false;
    }
  }
  End(AttemptEnd::kSilent, ErrorCode::kUpstreamSilent, Verdict::kMayHaveRun,
      "the upstream is silent on new connections too");
  return false;
}

bool UpstreamAttempt::TakeStatus(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  const std::string state = json.value("state", std::string());
  produced_ = std::max(produced_, json.value("produced", std::uint64_t{0}));
  return state == "running" || state == "done";
}

bool UpstreamAttempt::TakeBytes(std::string_view bytes,
                                const StreamSink& sink) {
  const Result<StreamPieces> pieces = assembler_.Feed(bytes);
  if (pieces && (!pieces.value().events.empty() || pieces.value().done) &&
      !sink(pieces.value())) {
    return false;
  }
  const std::optional<Error>& failure = assembler_.failure();
  // A gap is mended by asking again from the event that is missing.
  if (failure && failure->code != ErrorCode::kStreamGap) {
    End(AttemptEnd::kBroken, failure->code, Verdict::kMayHaveRun,
        failure->message);
  }
  return !failure;
}

policy::AttemptResult UpstreamAttempt::RunWhole(WholeAnswer& answer) {
  httplib::Client client(start_.endpoint.address, start_.endpoint.port);
  Prepare(client, kServiceTimeout);
  const StopWhenCallerLeaves stop(*channel_, client);
  httplib::Request request;
  request.method = request_.method;
  request.path = request_.path;
  request.body = request_.body;
  for (const PassedHeader& header : request_.headers) {
    request.set_header(header.name, header.value);
  }
  request.set_header("X-Request-Id", request_.id.str());
  if (!request_.content_type.empty()) {
    request.set_header("Content-Type", request_.content_type);
  }
  std::string body;
  request.content_receiver = [&](const char* data, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    body.append(data, size);
    return body.size() <= kMaxWholeAnswerBytes;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client.send(request, response, error)) {
    if (NeverConnected(error)) {
      End(AttemptEnd::kConnectFailed, ErrorCode::kUpstreamConnect,
          Verdict::kNotRun, "no connection to the upstream");
    } else if (channel_->left()) {
      End(AttemptEnd::kCallerLeft, ErrorCode::kCallerGone, Verdict::kMayHaveRun,
          "the caller has left");
    }
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamBroken, Verdict::kMayHaveRun,
        "the connection to the upstream broke");
    return result_;
  }
  const auto& not_run = start_.not_run_statuses;
  const std::string echoed = response.get_header_value("X-Request-Id");
  if (std::find(not_run.begin(), not_run.end(), response.status) !=
      not_run.end()) {
    End(AttemptEnd::kRefused, ErrorCode::kUpstreamRefused, Verdict::kNotRun,
        "the upstream refused with status " + std::to_string(response.status));
  } else if (!echoed.empty() && echoed != request_.id.str()) {
    End(AttemptEnd::kBroken, ErrorCode::kWrongRequestId, Verdict::kMayHaveRun,
        "the answer belongs to another request");
  } else if (response.status >= kFirstServerErrorStatus) {
    End(AttemptEnd::kBroken, ErrorCode::kUpstreamFailed, Verdict::kMayHaveRun,
        "the upstream answered with status " + std::to_string(response.status));
  } else {
    answer =
        WholeAnswer{response.status, response.get_header_value("Content-Type"),
                    std::move(body)};
    Complete();
  }
  return result_;
}

void UpstreamAttempt::CancelUpstream() const {
  httplib::Client client(start_.endpoint.address, start_.endpoint.port);
  Prepare(client, kStatusTimeout);
  client.Delete(StreamPath().c_str());
}

void UpstreamAttempt::End(AttemptEnd end, ErrorCode code, Verdict verdict,
                          std::string message) {
  if (ended_) {
    return;
  }
  ended_ = true;
  result_.end = end;
  result_.verdict = assembler_.next() > 1 ? Verdict::kRan : verdict;
  result_.error = MakeError(code, std::move(message), result_.verdict);
}

void UpstreamAttempt::Complete() {
  ended_ = true;
  result_.end = AttemptEnd::kCompleted;
  result_.verdict = Verdict::kRan;
}

std::string UpstreamAttempt::StreamPath() const {
  return "/v1/streams/" + stream_id_;
}

}  // namespace rattanward::entry
