#include <utility>

#include "rattanward/proxy/exchange.h"

namespace rattanward::proxy {

void Exchange::ReadAll() {
  may_pause_ = false;
  if (stage_.sent()) {
    stage_.connection()->Resume();
  }
}

void Exchange::EndForStop(Error error) {
  if (stage_.finished()) {
    return;
  }
  // Fail() closes the connection, so a request that wasn't sent stays unsent.
  may_have_run_ =
      may_have_run_ || (stage_.sent() && stage_.connection()->sent_any());
  Fail(std::move(error));
}

/// What may have run can't be refused; its connection is closed instead.
void Exchange::OnMemoryExhausted() {
  if (stage_.waiting() && !may_have_run_) {
    Fail(MakeError(ErrorCode::kMemoryExhausted,
                   "memory budget of the entry exhausted"));
  }
}

}  // namespace rattanward::proxy
