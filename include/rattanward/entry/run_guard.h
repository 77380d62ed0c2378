#pragma once

#include <string>
#include <variant>

#include "rattanward/domain/error.h"
#include "rattanward/domain/verdict.h"
#include "rattanward/entry/answer_channel.h"

namespace rattanward::entry {

/// @brief The attempt may be sent.
struct MaySend {};

/// @brief Whether an attempt may be sent, or what the caller gets instead: the
/// answer of an earlier run, or an error.
using SendPermission = std::variant<MaySend, WholeAnswer, Error>;

/// @brief Guards a request that must run at most once.
class RunGuard {
 public:
  virtual ~RunGuard() = default;

  /// @brief Called right before the first byte of each attempt goes upstream.
  virtual SendPermission BeforeSend() = 0;

  /// @brief Called once, when the request has ended.
  /// @param verdict Whether any attempt may have run.
  /// @param answer The whole answer, or null if there is none.
  virtual void Ended(Verdict verdict, const WholeAnswer* answer) = 0;
};

}  // namespace rattanward::entry
