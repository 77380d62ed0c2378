#include "rattanward/policy/stop_error.h"

#include "rattanward/domain/result.h"

namespace rattanward::policy {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

Error StopError(Verdict verdict) {
  if (verdict != Verdict::kNotRun) {
    return MakeError(ErrorCode::kEntryStopped,
                     "this entry has stopped before the request ended",
                     verdict);
  }
  Error error = MakeError(ErrorCode::kShuttingDown, "this entry is stopping");
  error.retry_after = kRetryAfter;
  return error;
}

}  // namespace rattanward::policy
