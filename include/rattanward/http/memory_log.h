#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "rattanward/http/memory_budget.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::http {

/// @brief Logs the limit of a budget now, and its evictions from now on, at
/// most one line a second.
/// @param budget Its on_evicted is set.
/// @param events Must not block.
void LogEvictions(MemoryBudget& budget, port::EventSink events);

/// @brief State of a budget, in the text format of scrapers.
std::string ScrapeText(const MemoryBudget& budget);

}  // namespace rattanward::http
