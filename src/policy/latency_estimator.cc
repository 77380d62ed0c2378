#include "rattanward/policy/latency_estimator.h"

#include <algorithm>

namespace rattanward::policy {

void LatencyEstimator::RecordFirstToken(const RequestClassName& request_class,
                                        const Target& target, Duration wait,
                                        TimePoint now) {
  windows_[{request_class, target}].first_token_us.Add(wait.count(), now);
}

void LatencyEstimator::RecordCompletion(const RequestClassName& request_class,
                                        const Target& target,
                                        std::uint32_t output_tokens,
                                        Duration streaming, TimePoint now) {
  Windows& windows = windows_[{request_class, target}];
  const std::uint32_t tokens = std::max(output_tokens, 1U);
  windows.output_tokens.Add(tokens, now);
  windows.token_us.Add(streaming.count() / tokens, now);
}

Duration LatencyEstimator::FirstTokenWait(const RequestClassName& request_class,
                                          const Target& target,
                                          std::uint32_t permille,
                                          TimePoint now) const {
  const Windows* windows = Find(request_class, target);
  if (windows == nullptr) {
    return Duration(0);
  }
  return Duration(windows->first_token_us.Quantile(permille, now).value_or(0));
}

std::uint32_t LatencyEstimator::OutputTokens(const RequestClass& request_class,
                                             const Target& target,
                                             std::uint32_t permille,
                                             TimePoint now) const {
  const Windows* windows = Find(request_class.name, target);
  if (windows == nullptr) {
    return request_class.expected_output_tokens;
  }
  return static_cast<std::uint32_t>(
      windows->output_tokens.Quantile(permille, now)
          .value_or(request_class.expected_output_tokens));
}

Duration LatencyEstimator::ServiceTime(const RequestClass& request_class,
                                       const Target& target,
                                       std::uint32_t permille,
                                       TimePoint now) const {
  const Windows* windows = Find(request_class.name, target);
  const std::int64_t declared = request_class.between_tokens_target.count();
  const std::int64_t token_us =
      windows == nullptr
          ? declared
          : windows->token_us.Quantile(permille, now).value_or(declared);
  const std::uint32_t tokens =
      OutputTokens(request_class, target, permille, now);
  return FirstTokenWait(request_class.name, target, permille, now) +
         Duration(token_us * tokens);
}

const LatencyEstimator::Windows* LatencyEstimator::Find(
    const RequestClassName& request_class, const Target& target) const {
  const auto it = windows_.find({request_class, target});
  return it == windows_.end() ? nullptr : &it->second;
}

}  // namespace rattanward::policy
