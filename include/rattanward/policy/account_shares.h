#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"

namespace rattanward::policy {

/// @brief An account's use of a service; the account is empty for requests
/// without one.
struct ShareKey {
  ServiceName service;
  ClientAccountId account;

  friend auto operator<=>(const ShareKey&, const ShareKey&) = default;
};

/// @brief Work of a request, in prompt tokens to be read.
/// @param uncached_tokens Prompt tokens that its upstream has not cached.
/// @param output_tokens Tokens that its answer is expected to have.
std::uint64_t WorkOf(std::uint64_t uncached_tokens,
                     std::uint64_t output_tokens);

/// @brief Work that accounts were lately given, over their weights: the virtual
/// time of weighted fair queueing.
/// @note Performs no I/O and reads no clock. Only the last kWindow counts, so
/// that an account which was idle is not owed more than that.
class AccountShares {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  /// @brief Records that a request was sent.
  /// @param weight Of the account; above 0.
  void Record(const ShareKey& key, std::uint64_t work, double weight,
              TimePoint now);

  /// @brief Work sent within the window, over the weight.
  /// Complexity: logarithmic in the number of accounts, linear in the number of
  /// slices.
  double Recent(const ShareKey& key, TimePoint now) const;

  /// @brief Forgets accounts without work within the window.
  void Expire(TimePoint now);

  /// @brief Number of accounts with work, each counted for each service.
  std::size_t size() const { return work_.size(); }

 private:
  static constexpr std::size_t kSlices = 10;

  /// Work in a tenth of the window.
  struct Slice {
    std::int64_t number = -1;
    double work = 0;
  };
  using Slices = std::array<Slice, kSlices>;

  static std::int64_t SliceNumber(TimePoint at);
  static double Sum(const Slices& slices, TimePoint now);

  std::map<ShareKey, Slices> work_;
};

}  // namespace rattanward::policy
