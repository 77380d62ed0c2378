#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>

#include "rattanward/control/control_daemon.h"
#include "rattanward/control/duty_budget.h"
#include "rattanward/control/duty_calls.h"
#include "rattanward/control/duty_connection.h"
#include "rattanward/control/duty_lease.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief Settings of the duties.
struct DutyOptions {
  /// Address of the platform.
  Endpoint platform;
  /// This VM, by the name that the platform knows it by.
  std::string holder;
  /// Calls a second that the platform accepts from all processes together.
  double calls_per_second = 1;
  Duration lease{std::chrono::milliseconds(3000)};
};

/// @brief Holder and fencing number of a call.
struct DutyStamp {
  std::string holder;
  FencingNumber number;

  friend bool operator==(const DutyStamp&, const DutyStamp&) = default;
};

/// @brief Formats of the platform's calls.
class DutyDialect {
 public:
  virtual ~DutyDialect() = default;
  virtual DutyRequest Encode(const UsageReport& report,
                             const DutyStamp& stamp) const = 0;
  virtual DutyRequest Encode(const ScalingOrder& order,
                             const DutyStamp& stamp) const = 0;
  /// @param status Status of the answer; 0 without an answer.
  virtual DutyResult ResultOf(int status) const = 0;
};

/// @brief Calls the platform under fenced leases, as long as this control VM
/// leads.
/// @note Control thread only. Calls that can't be sent are answered before
/// Report() or Order() returns. A newer order for a kind of upstreams of a
/// subject replaces one that waits, whose callback gets kThrottled.
class DutyDesk : public DutyCalls {
 public:
  DutyDesk(asio::io_context& io, ControlDaemon& daemon, DutyOptions options,
           const DutyDialect& dialect, port::EventSink events);

  /// @brief Starts the timer that takes numbers and sends calls.
  void Start();

  /// @brief Ends the call under way, drops the others and sends no more.
  void Stop();

  bool Holds(const DutySubject& subject) const override;
  void Want(const DutySubject& subject) override;
  void Report(const UsageReport& report, Done done) override;
  void Order(const ScalingOrder& order, Done done) override;

  /// @brief Counters and gauges in the text format for scraping.
  std::string ScrapeText() const;

 private:
  using Content = std::variant<UsageReport, ScalingOrder>;
  struct Call {
    DutySubject subject;
    Content content;
    Done done;
  };
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t throttled = 0;
    std::uint64_t unknown = 0;
    std::uint64_t not_sent = 0;
    std::uint64_t numbers = 0;
  };

  void Tick(TimePoint now);
  void TakeNumbers(TimePoint now);
  void Take(const DutySubject& subject);
  void OnTaken(const DutySubject& subject,
               const Result<ledger::Outcome>& outcome);
  void Add(Call call);
  bool Replace(Call& call);
  void Pump();
  void DropLost();
  void Send(Call call);
  void OnAnswer(const Call& call, FencingNumber number, TimePoint sent,
                int status);
  void Apply(const DutySubject& subject, DutyResult result);
  DutyView ViewOf(const DutySubject& subject, TimePoint now) const;
  DutyStep StepOf(const DutySubject& subject) const;
  bool Leads() const;

  ControlDaemon& daemon_;
  DutyOptions options_;
  const DutyDialect& dialect_;
  port::EventSink events_;
  DutyConnection connection_;
  DutyBudget budget_;
  std::map<DutySubject, DutyLease> leases_;
  std::deque<Call> queue_;
  Counters counters_;
  std::uint64_t takes_ = 0;
  bool led_ = false;
  bool stopped_ = false;
};

/// @brief Name of a subject's resource in the ledger.
std::string ResourceOf(const DutySubject& subject);

}  // namespace rattanward::control
