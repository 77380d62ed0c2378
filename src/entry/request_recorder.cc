#include "rattanward/entry/request_recorder.h"

#include <utility>

namespace rattanward::entry {
namespace {

using adapter::Outcome;

Event Describe(EventId id, const policy::RequestInfo& request) {
  return Event{id,
               {{"request", request.id.str()},
                {"account", request.account.str()},
                {"class", request.request_class.str()}}};
}

void AddError(Event& event, const Error& error) {
  event.fields.push_back({"error", std::string(ErrorName(error.code))});
  event.fields.push_back(
      {"code", std::to_string(static_cast<int>(error.code))});
  event.fields.push_back({"verdict", std::string(ToString(error.verdict))});
}

bool IsStop(const Error& error) {
  return error.code == ErrorCode::kShuttingDown ||
         error.code == ErrorCode::kEntryStopped;
}

EventId ShedEvent(const Error& error) {
  if (IsStop(error)) {
    return EventId::kRequestStopped;
  }
  return error.code == ErrorCode::kQuarantined ? EventId::kRequestQuarantined
                                               : EventId::kRequestShed;
}

EventId EndEvent(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return EventId::kRequestFinished;
    case Outcome::kCallerLeft:
      return EventId::kCallerLeft;
    case Outcome::kFailed:
      break;
  }
  return EventId::kRequestFailed;
}

}  // namespace

RequestRecorder::RequestRecorder(adapter::Metrics& metrics,
                                 port::EventSink events)
    : metrics_(metrics), events_(std::move(events)) {}

void RequestRecorder::Arrived(const policy::RequestInfo& request) const {
  events_(Describe(EventId::kRequestArrived, request));
}

void RequestRecorder::Shed(const policy::RequestInfo& request,
                           const Error& error) const {
  metrics_.Count(
      adapter::RequestShed{request.request_class, error.code, error.verdict});
  Event event = Describe(ShedEvent(error), request);
  AddError(event, error);
  events_(event);
}

void RequestRecorder::Relayed(const policy::RequestInfo& request,
                              const Endpoint& peer) const {
  Event event = Describe(EventId::kRequestRelayed, request);
  event.fields.push_back({"peer", ToString(peer)});
  events_(event);
}

void RequestRecorder::Dispatched(const policy::RequestInfo& request,
                                 const policy::StartAttempt& start) const {
  if (start.attempt > 1) {
    metrics_.CountRetry(request.request_class);
  }
  Event event = Describe(start.attempt > 1 ? EventId::kRequestRetried
                                           : EventId::kRequestDispatched,
                         request);
  event.fields.push_back({"upstream", start.upstream.str()});
  event.fields.push_back({"attempt", std::to_string(start.attempt)});
  events_(event);
}

void RequestRecorder::Resumed(const policy::RequestInfo& request) const {
  events_(Describe(EventId::kStreamResumed, request));
}

void RequestRecorder::Ended(const policy::RequestInfo& request,
                            const RequestSummary& summary,
                            Duration target) const {
  adapter::RequestFinished finished;
  finished.request_class = request.request_class;
  finished.outcome = summary.outcome;
  finished.verdict = summary.verdict;
  finished.output_tokens = summary.output_tokens;
  finished.wasted_tokens = summary.wasted_tokens;
  if (summary.first_token) {
    finished.first_token = *summary.first_token - request.arrived;
    finished.met_target = summary.outcome == Outcome::kAnswered &&
                          *finished.first_token <= target;
  }
  finished.stopped =
      summary.outcome == Outcome::kFailed && IsStop(summary.error);
  metrics_.Count(finished);
  Event event = Describe(
      finished.stopped ? EventId::kRequestStopped : EndEvent(summary.outcome),
      request);
  if (summary.outcome == Outcome::kFailed) {
    AddError(event, summary.error);
  } else {
    event.fields.push_back({"tokens", std::to_string(summary.output_tokens)});
  }
  events_(event);
}

}  // namespace rattanward::entry
