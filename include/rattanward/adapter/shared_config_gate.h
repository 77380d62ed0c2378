#pragma once

#include <mutex>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/membership/config_gate.h"

namespace rattanward::adapter {

/// @brief A ConfigGate that the connections' thread feeds and any thread asks.
class SharedConfigGate {
 public:
  explicit SharedConfigGate(membership::ConfigGateOptions options)
      : gate_(std::move(options), MonotonicNow()) {}

  /// @brief Whether new work may start at this moment.
  /// Errors: kNoConfiguration, kIsolated.
  Status MayStart() const {
    const std::lock_guard lock(mutex_);
    return gate_.MayStart(MonotonicNow());
  }

  /// @brief State of the gate at this moment.
  membership::GateState State() const {
    const std::lock_guard lock(mutex_);
    return gate_.State(MonotonicNow());
  }

  /// @brief Notes that the entry's decisions are made under this version from
  /// now on; to be called after the dispatcher has it.
  bool Apply(ConfigVersion version) {
    const std::lock_guard lock(mutex_);
    return gate_.Apply(version, MonotonicNow());
  }

  /// @brief Version that the entry runs.
  ConfigVersion in_force() const {
    const std::lock_guard lock(mutex_);
    return gate_.in_force();
  }

  /// @brief Calls fn with the gate, which is locked meanwhile.
  template <class Fn>
  auto With(Fn fn) {
    const std::lock_guard lock(mutex_);
    return fn(gate_);
  }

 private:
  mutable std::mutex mutex_;
  membership::ConfigGate gate_;
};

}  // namespace rattanward::adapter
