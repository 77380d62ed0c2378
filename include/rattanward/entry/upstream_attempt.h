#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/entry/caller_answer.h"
#include "rattanward/entry/stream_assembler.h"
#include "rattanward/entry/upstream_call.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::entry {

/// @brief What goes to the upstream.
struct UpstreamRequest {
  RequestId id;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  http::Fields fields;
};

/// @brief Takes the events of a stream as they arrive.
/// @return False if an event is not what the stream should carry.
using StreamSink = std::function<bool(const StreamBatch& batch)>;

/// @brief Takes how an attempt ended, once; answer_begun is left unset.
using AttemptSink = std::function<void(const policy::AttemptResult& result)>;

/// @brief Runs one attempt of a request at one upstream.
/// @note Each call has a connection of its own. No layer below retries. All
/// calls are on the io_context's thread.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  /// @brief Prepares an attempt.
  /// @param io Runs it.
  /// @param start Where to send it, and which refusals mean not run.
  /// @param request What to send; outlives the attempt.
  /// @param silence Silence after which a new connection asks about it.
  UpstreamAttempt(asio::io_context& io, policy::StartAttempt start,
                  const UpstreamRequest& request, Duration silence_timeout);

  /// @brief Sends a model request and relays its event stream.
  /// @param sink Takes the new events in order.
  /// @param ended Takes how it ended.
  /// @note A stream that breaks or goes silent is asked about and resumed on
  /// a new connection as long as the upstream makes progress with it.
  void RunStream(StreamSink sink, AttemptSink ended);

  /// @brief Sends a service call and takes its whole answer.
  /// @param ended Takes how it ended; the answer is then in answer().
  void RunServiceCall(AttemptSink ended);

  /// @brief Stops the attempt and its work: the caller has left.
  void CallerLeft();

  /// @brief Stops and goes on reading, as the caller takes its answer.
  void Pause();
  void Resume();

  /// @brief The answer of a service call that completed.
  const BufferedResponse& answer() const { return answer_; }

  /// @brief How often the stream was resumed on a new connection.
  std::uint32_t resumes() const { return resumes_; }

 private:
  http::RequestHead MakeInitialHead() const;
  std::shared_ptr<UpstreamCall> NewCall(Duration idle_timeout);
  UpstreamCall::Watcher MakeWatcher(bool (*on_head)(UpstreamAttempt&,
                                                    const http::ResponseHead&),
                                    bool (*on_bytes)(UpstreamAttempt&,
                                                     std::string_view),
                                    void (UpstreamAttempt::*on_end)(CallEnd));
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
  asio::steady_timer resume_timer_;
  policy::StartAttempt start_;
  const UpstreamRequest& request_;
  Duration silence_timeout_;
  std::string stream_id_;
  StreamSink sink_;
  AttemptSink on_end_;
  std::shared_ptr<UpstreamCall> call_;
  /// Status and collected body of the present call.
  int status_ = 0;
  std::string body_;
  BufferedResponse answer_;
  bool request_id_matches_ = true;
  StreamAssembler assembler_;
  /// Events that the upstream says it has made.
  std::uint64_t produced_events_ = 0;
  /// What was held when the upstream was last asked.
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
