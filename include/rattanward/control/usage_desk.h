#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "rattanward/control/duty_calls.h"
#include "rattanward/control/routing_hub.h"
#include "rattanward/control/usage_book.h"

namespace rattanward::control {

/// @brief Settings of the usage reports.
struct UsageOptions {
  Duration window{std::chrono::seconds(5)};
  /// Time after the end of a window until which its counts may arrive.
  Duration late{std::chrono::seconds(10)};
};

/// @brief Sums the entries' counts, stores each window in the ledger and
/// reports it to the platform.
/// @note Only the leader stores and reports. What the ledger holds is what is
/// reported, so that two reports of a window can't differ. Control thread only.
class UsageDesk : public ReportExtension {
 public:
  UsageDesk(ControlDaemon& daemon, DutyCalls& calls, UsageOptions options,
            port::EventSink events);

  /// @brief Wants the lease and starts the timer.
  void Start();

  void OnReport(const protocol::EntryReport& report, TimePoint now) override;
  void AddTo(protocol::ControlReport* answer) const override;

  /// @brief Counters and gauges in the text format for scraping.
  std::string ScrapeText() const;

 private:
  void Tick(TimePoint now);
  void CloseNext(TimePoint now);
  void SendNext(TimePoint now);
  void OnSent(std::uint64_t window, DutyResult result);
  void NoteLate();
  std::optional<std::uint64_t> NextToSend() const;
  bool IsLate(std::uint64_t window) const;
  bool VotersKnowUsage() const;
  /// Time since the end of a window, by the wall clock of this VM.
  Duration SinceEndOf(std::uint64_t window) const;

  ControlDaemon& daemon_;
  DutyCalls& calls_;
  UsageOptions options_;
  port::EventSink events_;
  UsageBook book_;
  TimePoint started_at_;
  std::optional<TimePoint> leads_since_;
  TimePoint next_send_;
  std::set<std::uint64_t> accepted_;
  std::set<std::uint64_t> noted_late_;
  std::uint64_t closed_total_ = 0;
  std::uint64_t accepted_total_ = 0;
  std::uint64_t late_total_ = 0;
  bool storing_ = false;
  bool sending_ = false;
};

}  // namespace rattanward::control
