#pragma once

#include "rattanward/domain/error.h"

namespace rattanward::policy {

/// @brief Error for the caller of a request that ends because its entry stops.
/// @param verdict Whether the request may have run.
/// @return kShuttingDown with Retry-After if it has not run, and kEntryStopped
/// otherwise.
Error StopError(Verdict verdict);

}  // namespace rattanward::policy
