#pragma once

#include <optional>
#include <string>

#include "rattanward/adapter/metrics.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::entry {

/// @brief Result and measurements of a request that has ended.
struct RequestSummary {
  adapter::Outcome outcome = adapter::Outcome::kAnswered;
  Error error;
  Verdict verdict = Verdict::kNotRun;
  std::optional<TimePoint> first_token;
  std::uint64_t output_tokens = 0;
  std::uint64_t wasted_tokens = 0;
};

/// @brief Records log events and metrics of requests. Thread-safe.
class RequestRecorder {
 public:
  /// @param metrics Receives the counts; must outlive this object.
  /// @param events Receives the numbered events.
  RequestRecorder(adapter::Metrics& metrics, port::EventSink events);

  void Arrived(const policy::RequestInfo& request) const;
  /// @brief Records a request that was refused before any attempt.
  void Shed(const policy::RequestInfo& request, const Error& error) const;
  /// @brief Records that a request was sent to another entry.
  void Relayed(const policy::RequestInfo& request, const Endpoint& peer) const;
  void Dispatched(const policy::RequestInfo& request,
                  const policy::StartAttempt& start) const;
  void Resumed(const policy::RequestInfo& request) const;
  /// @brief Records the end of a request: the caller was sent the final
  /// response, or has disconnected.
  /// @param target First-token target of the request's class.
  void Ended(const policy::RequestInfo& request, const RequestSummary& summary,
             Duration target) const;

 private:
  adapter::Metrics& metrics_;
  port::EventSink events_;
};

}  // namespace rattanward::entry
