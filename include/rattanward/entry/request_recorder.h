#pragma once

#include <optional>
#include <string>

#include "rattanward/adapter/metrics.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/dispatcher.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::entry {

/// @brief What is known of a request when its caller has the final answer.
struct RequestSummary {
  adapter::Outcome outcome = adapter::Outcome::kAnswered;
  Error error;
  Verdict verdict = Verdict::kNotRun;
  std::optional<TimePoint> first_token;
  std::uint64_t output_tokens = 0;
  std::uint64_t wasted_tokens = 0;
};

/// @brief Logs and counts what happens to requests; safe from any thread.
class RequestRecorder {
 public:
  /// @param metrics Counts; must outlive this object.
  /// @param events Takes the numbered events.
  RequestRecorder(adapter::Metrics& metrics, port::EventSink events);

  void Arrived(const policy::RequestInfo& request) const;
  /// @brief The request was refused without having been sent anywhere.
  void Shed(const policy::RequestInfo& request, const Error& error) const;
  void Dispatched(const policy::RequestInfo& request,
                  const policy::StartAttempt& start) const;
  void Resumed(const policy::RequestInfo& request) const;
  /// @brief The caller has the final answer, or has left.
  /// @param target First-token target of the request's class.
  void Ended(const policy::RequestInfo& request, const RequestSummary& summary,
             Duration target) const;

 private:
  adapter::Metrics& metrics_;
  port::EventSink events_;
};

}  // namespace rattanward::entry
