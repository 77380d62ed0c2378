#pragma once

#include <functional>
#include <variant>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/entry/caller_answer.h"

namespace rattanward::entry {

/// @brief Permission to send the attempt.
struct MaySend {};

/// @brief Permission to send an attempt, or what the caller receives instead:
/// the stored response of an earlier run, or an error.
using SendPermission = std::variant<MaySend, BufferedResponse, Error>;

/// @brief Receives a permission; called once.
using PermissionSink = std::function<void(const SendPermission& permission)>;

/// @brief Ensures that a non-idempotent request runs at most once.
class RunGuard {
 public:
  virtual ~RunGuard() = default;

  /// @brief Requests permission immediately before the first byte of an attempt
  /// is sent upstream; called for each attempt.
  /// @param sink Receives the permission, before this function returns or
  /// later.
  virtual void BeforeSend(PermissionSink sink) = 0;

  /// @brief Reports the end of the request; called once.
  /// @param verdict Whether any attempt ran or may have run.
  /// @param answer The complete response, or null if there is none.
  virtual void Ended(Verdict verdict, const BufferedResponse* answer) = 0;
};

}  // namespace rattanward::entry
