#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/routing_messages.h"
#include "rattanward/proxy/true_time.h"

namespace rattanward::proxy {

/// @brief Counts the requests that began to run, by window and client account.
/// @note Does nothing until a control VM has named the length of a window.
class UsageMeter {
 public:
  /// @brief Takes the clock, the length of a window and the newest stored
  /// window from the answer of a control VM.
  void OnControlReport(const Endpoint& control, TimePoint sent,
                       TimePoint received,
                       const protocol::ControlReport& report);

  /// @brief A request began to run.
  void Count(const ClientAccountId& account, TimePoint began);

  /// @brief A request was sent, and its answer will show whether it ran.
  void BeginPending(TimePoint sent);
  /// @brief The attempt that was sent at this time has ended.
  void EndPending(TimePoint sent);

  /// @brief Records the mean time between the events of a stream.
  void RecordGap(const ServiceName& service, Duration gap);

  /// @brief Time between the first token of a stream and its first event, which
  /// also holds the tokens after it.
  Duration FirstTokenLead(const ServiceName& service,
                          std::uint32_t tokens_per_event) const;

  /// @brief Counts of the windows that are not stored yet, oldest first.
  std::vector<protocol::UsageWindow> Open(TimePoint now);

  /// @brief Counters in the text format for scraping; empty while it does
  /// nothing.
  std::string ScrapeText() const;

 private:
  using Counts = std::map<ClientAccountId, std::uint64_t>;

  bool active() const { return window_ > Duration(0) && time_.known(); }
  std::uint64_t WindowAt(TimePoint moment) const;
  bool IsComplete(std::uint64_t window, TimePoint now) const;
  std::uint64_t OpenWindows() const;

  TrueTime time_;
  Duration window_{0};
  std::uint64_t stored_ = 0;
  /// Window in which counting began; 0 before.
  std::uint64_t first_window_ = 0;
  std::map<std::uint64_t, Counts> counts_;
  std::multiset<TimePoint> pending_;
  std::map<ServiceName, Duration> gaps_;
  std::uint64_t counted_ = 0;
  std::uint64_t too_late_ = 0;
};

}  // namespace rattanward::proxy
