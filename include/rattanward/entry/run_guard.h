#pragma once

#include <functional>
#include <variant>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/entry/caller_answer.h"

namespace rattanward::entry {

/// @brief The attempt may be sent.
struct MaySend {};

/// @brief Whether an attempt may be sent, or what the caller gets instead: the
/// answer of an earlier run, or an error.
using SendPermission = std::variant<MaySend, BufferedResponse, Error>;

/// @brief Takes a permission, once.
using PermissionSink = std::function<void(const SendPermission& permission)>;

/// @brief Guards a request that must run at most once.
class RunGuard {
 public:
  virtual ~RunGuard() = default;

  /// @brief Asked right before the first byte of each attempt goes upstream.
  /// @param sink Takes the permission, in this turn of the loop or later.
  virtual void BeforeSend(PermissionSink sink) = 0;

  /// @brief Called once, when the request has ended.
  /// @param verdict Whether any attempt may have run.
  /// @param answer The whole answer, or null if there is none.
  virtual void Ended(Verdict verdict, const BufferedResponse* answer) = 0;
};

}  // namespace rattanward::entry
