#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/entry/call_timer.h"
#include "rattanward/entry/caller_answer.h"
#include "rattanward/entry/stream_assembler.h"
#include "rattanward/entry/upstream_call.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::entry {

/// @brief Request to send to the upstream.
struct UpstreamRequest {
  RequestId id;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  http::Fields fields;
};

/// @brief Receives the events of a stream as they arrive.
/// @return False if an event is invalid for the stream.
using StreamSink = std::function<bool(const StreamBatch& batch)>;

/// @brief Receives the result of an attempt; called once, with answer_begun not
/// set.
using AttemptSink = std::function<void(const policy::AttemptResult& result)>;

/// @brief Runs one attempt of a request at one upstream.
/// @note Each call to the upstream uses a new connection, and no lower layer
/// retries. Not thread-safe: all calls must be made on the io_context's thread.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  /// @brief Creates an attempt without sending anything.
  /// @param io Event loop of the attempt.
  /// @param start Upstream, and the statuses that declare a request not run.
  /// @param request Request to send; must outlive the attempt.
  /// @param silence_timeout Time without bytes after which the status of a
  /// stream is queried on a new connection, and a service call ends.
  /// @param timers Creates the timers of the attempt and of its calls.
  UpstreamAttempt(asio::io_context& io, policy::StartAttempt start,
                  const UpstreamRequest& request, Duration silence_timeout,
                  CallTimerFactory timers);

  /// @brief Sends a model request and relays its event stream.
  /// @param sink Receives the new events in order.
  /// @param ended Receives the result.
  /// @note If the stream breaks or goes silent, its status is queried on a new
  /// connection, and it is resumed while the upstream makes progress with it.
  void RunStream(StreamSink sink, AttemptSink ended);

  /// @brief Sends a service call and collects its complete response.
  /// @param ended Receives the result; answer() then holds the response.
  void RunServiceCall(AttemptSink ended);

  /// @brief Ends the attempt because the caller disconnected or this entry
  /// stops. For a stream, the work at the upstream is cancelled too.
  void Cancel();

  /// @brief Stops reading from the upstream until Resume(), while the caller
  /// reads too slowly.
  void Pause();
  void Resume();

  /// @brief Response of a completed service call.
  const BufferedResponse& answer() const { return answer_; }

  /// @brief Called when an answer of the upstream says that it is leaving; may
  /// be empty. It can be called several times.
  std::function<void()> on_leaving;

  /// @brief Called for each answer that names a limit, and for each that surely
  /// is the upstream's own and names none; may be empty.
  std::function<void(const std::optional<RequestRate>&)> on_limit;

  /// @brief Called for each request sent beyond the first; may be empty.
  std::function<void()> on_extra_request;

  /// @brief Number of times the stream was resumed on a new connection.
  std::uint32_t resumes() const { return resumes_; }

 private:
  http::RequestHead MakeInitialHead() const;
  std::shared_ptr<UpstreamCall> NewCall(Duration idle_timeout);
  UpstreamCall::Watcher MakeWatcher(bool (*on_head)(UpstreamAttempt&,
                                                    const http::ResponseHead&),
                                    bool (*on_bytes)(UpstreamAttempt&,
                                                     std::string_view),
                                    void (UpstreamAttempt::*on_end)(CallEnd));
  void ReadSignals(const http::ResponseHead& head);
  void ReadLimit(const http::ResponseHead& head);
  void CountExtraRequest();
  bool HandleServiceHead(const http::ResponseHead& head);
  bool AppendBody(std::string_view bytes);
  bool HandleStreamHead(const http::ResponseHead& head);
  void StreamCallEnded(CallEnd end);
  bool IsNotRunStatus(int status) const;
  void EndWithStatus(int status);
  void StartStatusCheck();
  void SendStatusQuery();
  void StatusQueryEnded(CallEnd end);
  bool UpdateFromStatus();
  void ResumeStream();
  void ResumedCallEnded(CallEnd end);
  void ServiceCallEnded(CallEnd end);
  bool HandleStreamBytes(std::string_view bytes);
  void CancelUpstreamWork();
  void End(policy::AttemptEnd end, ErrorCode code, Verdict verdict,
           std::string message);
  void Complete();
  void NotifyEnd();
  std::string StreamPath() const;

  asio::io_context& io_;
  CallTimerFactory timers_;
  std::unique_ptr<CallTimer> resume_timer_;
  policy::StartAttempt start_;
  const UpstreamRequest& request_;
  Duration silence_timeout_;
  std::string stream_id_;
  StreamSink sink_;
  AttemptSink on_end_;
  std::shared_ptr<UpstreamCall> call_;
  /// HTTP status and collected body of the current call.
  int status_ = 0;
  std::string body_;
  BufferedResponse answer_;
  /// The response carries this request's id. A service may leave the id out.
  bool request_id_matches_ = true;
  StreamAssembler assembler_;
  /// Largest number of produced events that the upstream has reported.
  std::uint64_t produced_events_ = 0;
  /// Progress at the start of the last status check.
  std::uint64_t next_event_at_check_ = 0;
  std::uint64_t produced_at_check_ = 0;
  TimePoint last_progress_;
  int unanswered_queries_ = 0;
  std::uint32_t resumes_ = 0;
  policy::AttemptResult result_;
  bool is_stream_ = false;
  bool ended_ = false;
};

}  // namespace rattanward::entry
