#include "rattanward/http/memory_log.h"

#include <utility>

#include "rattanward/adapter/asio_timer_service.h"

namespace rattanward::http {
namespace {

/// A crowd could otherwise fill the disk with log lines.
constexpr Duration kLogPeriod{std::chrono::seconds(1)};

}  // namespace

void LogEvictions(MemoryBudget& budget, port::EventSink events) {
  events({EventId::kMemoryBudgetSet,
          {{"limit_bytes", std::to_string(budget.limit())}}});
  budget.on_evicted = [&budget, events = std::move(events), last = TimePoint(),
                       logged = std::uint64_t{0}](
                          const MemoryBudget::Eviction& eviction) mutable {
    const TimePoint now = adapter::MonotonicNow();
    if (logged > 0 && now - last < kLogPeriod) {
      return;
    }
    constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
    events({EventId::kMemoryGivenUp,
            {{"bytes", std::to_string(eviction.bytes)},
             {"held_ms", std::to_string(eviction.held_for.count() /
                                        kMicrosecondsPerMillisecond)},
             {"used_bytes", std::to_string(budget.used())},
             {"limit_bytes", std::to_string(budget.limit())},
             {"closed", std::to_string(budget.evictions() - logged)}}});
    last = now;
    logged = budget.evictions();
  };
}

std::string ScrapeText(const MemoryBudget& budget) {
  const auto line = [](const char* name, std::uint64_t value) {
    return std::string("rattanward_") + name + ' ' + std::to_string(value) +
           '\n';
  };
  return line("memory_budget_bytes", budget.limit()) +
         line("memory_held_bytes", budget.used()) +
         line("memory_held_peak_bytes", budget.peak()) +
         line("memory_holders", budget.holders()) +
         line("memory_given_up_total", budget.evictions());
}

}  // namespace rattanward::http
