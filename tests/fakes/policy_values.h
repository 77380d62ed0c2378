#pragma once

#include <string>
#include <vector>

#include "rattanward/domain/result.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy::fakes {

/// @brief Returns a class with a first-token target of one second and a
/// deadline of ten seconds.
inline RequestClass MakeClass(const std::string& name, std::uint8_t tier,
                              std::uint32_t queue_limit) {
  RequestClass request_class;
  request_class.name = RequestClassName(name);
  request_class.tier = Tier{tier};
  request_class.first_token_target = std::chrono::seconds(1);
  request_class.between_tokens_target = std::chrono::milliseconds(40);
  request_class.deadline = std::chrono::seconds(10);
  request_class.queue_limit = queue_limit;
  return request_class;
}

/// @brief Returns the announcement of an engine for model "m" in failure
/// domain "d1".
inline Announcement MakeEngine(const std::string& id, std::uint32_t capacity) {
  Announcement engine;
  engine.instance = UpstreamId(id);
  engine.sequence = 1;
  engine.endpoint = {"127.0.0.1", 1};
  engine.failure_domain = FailureDomain("d1");
  engine.models = {ModelName("m")};
  engine.capacity = capacity;
  return engine;
}

/// @brief Returns a request of account "a" for model "m".
inline RequestInfo MakeRequest(const std::string& id, const std::string& name,
                               TimePoint arrived = {}) {
  RequestInfo request;
  request.id = RequestId(id);
  request.account = ClientAccountId("a");
  request.request_class = RequestClassName(name);
  request.model = ModelName("m");
  request.arrived = arrived;
  return request;
}

/// @brief Returns the result of an attempt, with error kUpstreamBroken.
inline AttemptResult MakeResult(const std::string& id, std::uint32_t attempt,
                                AttemptEnd end,
                                Verdict verdict = Verdict::kNotRun) {
  AttemptResult result;
  result.request = RequestId(id);
  result.attempt = attempt;
  result.end = end;
  result.verdict = verdict;
  result.error = MakeError(ErrorCode::kUpstreamBroken, "broken", verdict);
  return result;
}

/// @brief Returns options of an entry in failure domain "d1".
inline DispatcherOptions MakeOptions(Profile profile) {
  DispatcherOptions options;
  options.profile = profile;
  options.failure_domain = FailureDomain("d1");
  return options;
}

/// @brief Returns the upstream of a StartAttempt, or "" for a Refuse.
inline std::string StartedOn(const Decision& decision) {
  const auto* start = std::get_if<StartAttempt>(&decision);
  return start == nullptr ? "" : start->upstream.str();
}

/// @brief Returns the error code of a Refuse, or kMalformedBody for a
/// StartAttempt.
inline ErrorCode RefusedWith(const Decision& decision) {
  const auto* refuse = std::get_if<Refuse>(&decision);
  return refuse == nullptr ? ErrorCode::kMalformedBody : refuse->error.code;
}

}  // namespace rattanward::policy::fakes
