#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "rattanward/adapter/latency_histogram.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/routing.h"

namespace rattanward::proxy {

/// @brief Request counters of a data path since its start.
struct ProxyCounters {
  std::uint64_t arrived = 0;
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t malformed = 0;
  /// Requests sent to failing upstreams as trials.
  std::uint64_t trials = 0;
  /// Ended by a planned stop, without having run.
  std::uint64_t stopped_not_run = 0;
  /// Ended by a planned stop, maybe run, without the begin of an answer.
  std::uint64_t stopped_maybe_run = 0;
  /// Streams cut by a planned stop.
  std::uint64_t stopped_streams = 0;

  /// Refused because they could not finish before their deadline.
  std::uint64_t unattainable = 0;

  friend bool operator==(const ProxyCounters&, const ProxyCounters&) = default;
};

/// @brief Formats a metric as one line of scrape text.
std::string ScrapeLine(std::string_view name, std::uint64_t value);

/// @brief What is counted of hedges: those that started and how they ended, and
/// those that were refused for want of budget or of room.
enum class HedgeCount : std::uint8_t {
  kStarted,
  kWon,
  kCancelled,
  kFailed,
  kNoBudget,
  kNoRoom,
};

/// @brief Names of the counts in scrape text, in order.
inline constexpr std::array<std::string_view, 6> kHedgeCountNames = {
    "started", "won", "cancelled", "failed", "refused_budget", "refused_room"};

/// @brief Collects request metrics of a data path.
class ProxyMeter {
 public:
  void RecordArrival() { ++counters_.arrived; }
  /// @brief Counts a message that could not be parsed as a request.
  void RecordMalformed() { ++counters_.malformed; }
  /// @brief Counts a request refused before an exchange was created for it.
  void RecordRefusal() { ++counters_.refused; }

  /// @brief Counts a request refused because it can't finish in time.
  void RecordUnattainable() { ++counters_.unattainable; }

  /// @brief Counts a request that a planned stop ended.
  void RecordStopped(bool may_have_run, bool stream_started);

  /// @brief Counts an exchange's event; events without a counter are ignored.
  void Count(EventId event);

  /// @brief Records the time from arrival to the complete response, or to the
  /// first event of a stream.
  void RecordResponseTime(RouteKind kind, Duration time) {
    response_times_[kind].Count(time);
  }
  /// @brief Records the time from a request's arrival until it is sent.
  void RecordQueueTime(Duration time) { queue_times_.Count(time); }

  void CountHedge(HedgeCount count) {
    ++hedges_.at(static_cast<std::size_t>(count));
  }
  std::uint64_t hedges(HedgeCount count) const {
    return hedges_.at(static_cast<std::size_t>(count));
  }

  const ProxyCounters& counters() const { return counters_; }

  /// @brief Returns counters and histograms as scrape text.
  std::string ScrapeText() const;

 private:
  ProxyCounters counters_;
  std::array<std::uint64_t, kHedgeCountNames.size()> hedges_{};
  std::map<RouteKind, adapter::LatencyHistogram> response_times_;
  adapter::LatencyHistogram queue_times_;
};

}  // namespace rattanward::proxy
