#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "rattanward/adapter/latency_histogram.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/routing.h"

namespace rattanward::proxy {

/// @brief Totals of a data path since its start.
struct ProxyCounters {
  std::uint64_t arrived = 0;
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t malformed = 0;

  friend bool operator==(const ProxyCounters&, const ProxyCounters&) = default;
};

/// @brief One line of scrape text.
std::string ScrapeLine(std::string_view name, std::uint64_t value);

/// @brief Counts what happens to the requests of a data path.
class ProxyMeter {
 public:
  void RecordArrival() { ++counters_.arrived; }
  /// @brief A message that was no request.
  void RecordMalformed() { ++counters_.malformed; }
  /// @brief Refused before it had an exchange.
  void RecordRefusal() { ++counters_.refused; }

  /// @brief Counts an event of an exchange, if it is one that is counted.
  void Count(EventId event);

  /// @brief Takes the time from arrival to the whole answer, or to the first
  /// event of a stream.
  void RecordResponseTime(RouteKind kind, Duration time) {
    response_times_[kind].Count(time);
  }
  /// @brief Takes the time that a request waited here before it was sent.
  void RecordQueueTime(Duration time) { queue_times_.Count(time); }

  const ProxyCounters& counters() const { return counters_; }

  /// @brief Counters and histograms as scrape text.
  std::string ScrapeText() const;

 private:
  ProxyCounters counters_;
  std::map<RouteKind, adapter::LatencyHistogram> response_times_;
  adapter::LatencyHistogram queue_times_;
};

}  // namespace rattanward::proxy
