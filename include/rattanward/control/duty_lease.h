#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/ledger/state_machine.h"

namespace rattanward::control {

/// @brief What a holder has to do before it may call on a subject.
enum class DutyStep : std::uint8_t {
  /// This process does not lead.
  kIdle,
  /// Take a fencing number.
  kTake,
  /// Wait for a number, or for the lease of an earlier holder to end.
  kWait,
  /// Calls are allowed.
  kCall,
};

/// @brief What is known at the moment of a decision.
struct DutyView {
  TimePoint now;
  /// Whether this process is a confirmed leader; see
  /// Replica::ConfirmedLeader().
  bool leads = false;
  /// The subject's record in the own ledger.
  std::optional<ledger::FencingRecord> record;

  friend bool operator==(const DutyView&, const DutyView&) = default;
};

/// @brief Fenced lease of one subject, as one process sees it.
/// @note Pure decision, without clock or socket. A call is sent only if Next()
/// returned kCall right before. A process that restarts begins with a new
/// object, which doesn't know how long ago another holder called.
class DutyLease {
 public:
  /// @param self This holder, by the name that it has on the platform.
  /// @param lease Time that passes between the last call of one holder and the
  /// first call of the next one.
  DutyLease(ProcessId self, Duration lease)
      : self_(std::move(self)), lease_(lease) {}

  DutyStep Next(const DutyView& view) const {
    if (!view.leads) {
      return DutyStep::kIdle;
    }
    if (taking_) {
      return DutyStep::kWait;
    }
    if (needs_number_ || !Matches(view.record)) {
      return DutyStep::kTake;
    }
    return view.now < ready_at_ ? DutyStep::kWait : DutyStep::kCall;
  }

  /// @brief The command that takes a number was proposed.
  /// @param record The subject's record at that time.
  void OnTakeProposed(const std::optional<ledger::FencingRecord>& record) {
    taking_ = true;
    base_ = record ? record->number.value : 0;
    // Nobody else can have called since the last number of this object.
    succeeds_self_ = !record || Matches(record);
  }

  /// @brief The command was committed and returned this number.
  void OnTaken(FencingNumber number, TimePoint now) {
    taking_ = false;
    needs_number_ = false;
    number_ = number;
    if (!succeeds_self_ || number.value != base_ + 1) {
      ready_at_ = now + lease_;
    }
  }

  /// @brief The command failed, or its outcome is unknown.
  void OnTakeFailed() { taking_ = false; }

  /// @brief The platform answered that it has seen a higher number.
  void OnConflict(TimePoint now) {
    needs_number_ = true;
    ready_at_ = std::max(ready_at_, now + lease_);
  }

  /// @brief A call that the platform may still execute must be refused from the
  /// next call on.
  void OnUnknown() { needs_number_ = true; }

  FencingNumber number() const { return number_; }
  TimePoint ready_at() const { return ready_at_; }

 private:
  bool Matches(const std::optional<ledger::FencingRecord>& record) const {
    return record && record->holder == self_ && number_.value > 0 &&
           record->number == number_;
  }

  ProcessId self_;
  Duration lease_;
  FencingNumber number_;
  std::uint64_t base_ = 0;
  TimePoint ready_at_;
  bool needs_number_ = false;
  bool taking_ = false;
  bool succeeds_self_ = false;
};

}  // namespace rattanward::control
