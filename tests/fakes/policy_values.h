#pragma once

#include <string>
#include <vector>

#include "rattanward/domain/result.h"
#include "rattanward/policy/dispatcher.h"

namespace rattanward::policy::fakes {

/// @brief A class with generous limits and a deadline of ten seconds.
inline RequestClass MakeClass(const std::string& name, std::uint8_t tier,
                              std::uint32_t queue_limit) {
  RequestClass made;
  made.name = RequestClassName(name);
  made.tier = Tier{tier};
  made.first_token_target = std::chrono::seconds(1);
  made.between_tokens_target = std::chrono::milliseconds(40);
  made.deadline = std::chrono::seconds(10);
  made.queue_limit = queue_limit;
  return made;
}

/// @brief An engine that serves model "m" in domain "d1".
inline Announcement MakeEngine(const std::string& id, std::uint32_t capacity) {
  Announcement made;
  made.instance = UpstreamId(id);
  made.sequence = 1;
  made.endpoint = {"127.0.0.1", 1};
  made.failure_domain = FailureDomain("d1");
  made.models = {ModelName("m")};
  made.capacity = capacity;
  return made;
}

/// @brief A request for model "m".
inline RequestInfo MakeRequest(const std::string& id, const std::string& name,
                               TimePoint arrived = {}) {
  RequestInfo made;
  made.id = RequestId(id);
  made.account = ClientAccountId("a");
  made.request_class = RequestClassName(name);
  made.model = ModelName("m");
  made.arrived = arrived;
  return made;
}

/// @brief The end of an attempt, with the error that goes with it.
inline AttemptResult MakeResult(const std::string& id, std::uint32_t attempt,
                                AttemptEnd end,
                                Verdict verdict = Verdict::kNotRun) {
  AttemptResult made;
  made.request = RequestId(id);
  made.attempt = attempt;
  made.end = end;
  made.verdict = verdict;
  made.error = MakeError(ErrorCode::kUpstreamBroken, "broken", verdict);
  return made;
}

/// @brief Options of one entry in domain "d1".
inline DispatcherOptions MakeOptions(Profile profile) {
  DispatcherOptions made;
  made.profile = profile;
  made.failure_domain = FailureDomain("d1");
  return made;
}

/// @brief The upstream of a StartAttempt; empty for a Refuse.
inline std::string StartedOn(const Decision& decision) {
  const auto* start = std::get_if<StartAttempt>(&decision);
  return start == nullptr ? "" : start->upstream.str();
}

/// @brief The code of a Refuse; kMalformedBody for a StartAttempt.
inline ErrorCode RefusedWith(const Decision& decision) {
  const auto* refuse = std::get_if<Refuse>(&decision);
  return refuse == nullptr ? ErrorCode::kMalformedBody : refuse->error.code;
}

}  // namespace rattanward::policy::fakes
