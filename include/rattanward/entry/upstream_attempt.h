#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/entry/answer_channel.h"
#include "rattanward/entry/stream_assembler.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::entry {

/// @brief One header of a request that is passed on.
struct PassedHeader {
  std::string name;
  std::string value;
};

/// @brief What goes to the upstream.
struct UpstreamRequest {
  RequestId id;
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<PassedHeader> headers;
};

/// @brief Takes the events of a stream as they arrive.
/// @return False if the caller has left.
using StreamSink = std::function<bool(const StreamPieces& pieces)>;

/// @brief Runs one attempt of a request at one upstream, on this thread.
/// @note One connection per exchange, never reused. No layer below retries.
class UpstreamAttempt {
 public:
  /// @brief Prepares an attempt.
  /// @param start Where to send it, and which refusals mean not run.
  /// @param request What to send.
  /// @param silence Silence after which a new connection asks about it.
  /// @param channel Tells when the caller leaves; the attempt then stops.
  UpstreamAttempt(policy::StartAttempt start, const UpstreamRequest& request,
                  Duration silence, std::shared_ptr<AnswerChannel> channel);

  /// @brief Sends a model request and relays its event stream.
  /// @param sink Takes the new events in order.
  /// @return How the attempt ended; answer_begun is the caller's to set.
  /// @note A stream that breaks or goes silent is asked about and resumed on
  /// a new connection as long as the upstream makes progress with it.
  policy::AttemptResult RunStream(const StreamSink& sink);

  /// @brief Sends a service call and takes its whole answer.
  /// @param answer Set when the attempt completes.
  /// @return How the attempt ended.
  policy::AttemptResult RunWhole(WholeAnswer& answer);

  /// @brief How often the stream was resumed on a new connection.
  std::uint32_t resumes() const { return resumes_; }

 private:
  enum class ConnectionEnd { kDone, kBroken, kFinal };

  ConnectionEnd SendStream(const StreamSink& sink);
  ConnectionEnd ResumeStream(const StreamSink& sink);
  bool AskIfAlive();
  bool TakeStatus(const std::string& body);
  bool TakeBytes(std::string_view bytes, const StreamSink& sink);
  void CancelUpstream() const;
  void End(policy::AttemptEnd end, ErrorCode code, Verdict verdict,
           std::string message);
  void Complete();
  std::string StreamPath() const;

  policy::StartAttempt start_;
  const UpstreamRequest& request_;
  Duration silence_;
  std::shared_ptr<AnswerChannel> channel_;
  std::string stream_id_;
  StreamAssembler assembler_;
  std::uint64_t produced_ = 0;
  std::uint32_t resumes_ = 0;
  policy::AttemptResult result_;
  bool ended_ = false;
};

}  // namespace rattanward::entry
