#pragma once

#include <concepts>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"

namespace rattanward::port {

/// @brief Durable home of one replicated log.
/// @note State is what a node starts from, Output what it wants written.
template <class T, class State, class Output>
concept LogStorage = requires(T storage, const Output& output) {
  /// Random id of the home, made once; a new home has another.
  { storage.id() } -> std::convertible_to<VoterId>;
  /// What was found at the start; to be called once.
  { storage.TakeState() } -> std::same_as<State>;
  /// Returns once the output's durable part is synced; all of it or, after a
  /// crash, none. After an error every call fails: the process must stop.
  { storage.Save(output) } -> std::same_as<Status>;
};

}  // namespace rattanward::port
