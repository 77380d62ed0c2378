#pragma once

#include <atomic>
#include <cstdint>

namespace rattanward::port {

/// @brief Lamport clock: orders a cause before its effect over processes.
/// @note Send the value of Tick() with a message; call Merge() with the value
/// of each message received, before logging what it caused.
class LogicalClock {
 public:
  /// @brief Counts one step and returns the new value.
  std::uint64_t Tick() { return value_.fetch_add(1) + 1; }

  /// @brief Moves up to a value that another process sent.
  void Merge(std::uint64_t other) {
    std::uint64_t seen = value_.load();
    while (seen < other && !value_.compare_exchange_weak(seen, other)) {
    }
  }

  /// @brief The value now, without counting a step.
  std::uint64_t Now() const { return value_.load(); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

}  // namespace rattanward::port
