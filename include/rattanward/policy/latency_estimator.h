#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "rattanward/domain/request_class.h"
#include "rattanward/domain/time.h"
#include "rattanward/policy/quantile_window.h"
#include "rattanward/policy/target.h"

namespace rattanward::policy {

/// @brief Live quantiles of latency and output length by class and target.
/// @note Output lengths are unknown until an answer ends, so the estimates
/// rest on the recent answers of the same class and target; until there are
/// some, on what the class declares.
class LatencyEstimator {
 public:
  /// @brief Notes the wait of an attempt for its first token.
  void RecordFirstToken(const RequestClassName& request_class,
                        const Target& target, Duration wait, TimePoint now);

  /// @brief Notes a whole answer: its length and its time after first token.
  void RecordCompletion(const RequestClassName& request_class,
                        const Target& target, std::uint32_t output_tokens,
                        Duration streaming, TimePoint now);

  /// @brief Wait of an attempt for its first token that a share stays below.
  /// @param permille The share, 0 to 1000.
  /// @return Zero while nothing is known, so that nobody is refused on a
  /// guess.
  Duration FirstTokenWait(const RequestClassName& request_class,
                          const Target& target, std::uint32_t permille,
                          TimePoint now) const;

  /// @brief Output length that a share of the answers stays below.
  std::uint32_t OutputTokens(const RequestClass& request_class,
                             const Target& target, std::uint32_t permille,
                             TimePoint now) const;

  /// @brief Time that an attempt holds its place, start to end.
  Duration ServiceTime(const RequestClass& request_class, const Target& target,
                       std::uint32_t permille, TimePoint now) const;

 private:
  struct Windows {
    QuantileWindow first_token_us;
    QuantileWindow output_tokens;
    QuantileWindow token_us;
  };
  using Key = std::pair<RequestClassName, Target>;

  const Windows* Find(const RequestClassName& request_class,
                      const Target& target) const;

  std::map<Key, Windows> windows_;
};

}  // namespace rattanward::policy
