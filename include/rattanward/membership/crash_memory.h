#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattanward/domain/time.h"
#include "rattanward/membership/crash_witnesses.h"
#include "rattanward/policy/room_share.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::membership {

/// @brief A request became quarantined, or is no longer.
struct QuarantineChange {
  std::uint64_t fingerprint = 0;
  bool quarantined = false;
};

/// @brief Finds requests that crash each upstream that runs them, from what all
/// entries report.
/// @note Pure: no I/O, and the time is a parameter. See
/// docs/design/retries-and-quarantine.md for the rules.
class CrashMemory {
 public:
  /// Age up to which a whole answer clears a request that then comes under
  /// suspicion for the first time.
  static constexpr Duration kAnswerRetention = std::chrono::minutes(1);
  /// Time after a lost connection within which the crash is known. A whole
  /// answer in this time may be later than the crash.
  static constexpr Duration kCrashNewsTime = std::chrono::seconds(3);
  /// Number of answers that are remembered.
  static constexpr std::size_t kMaxAnswers = 4096;
  /// Time without news after which a quarantined request is tried again.
  static constexpr Duration kFirstTrialAfter = std::chrono::seconds(30);
  /// The same after a trial that ended without a whole answer.
  static constexpr Duration kSecondTrialAfter = std::chrono::minutes(10);
  /// Trials of all entries together.
  static constexpr std::uint32_t kMaxTrials = 2;
  /// Time without news after which a quarantine ends.
  static constexpr Duration kRetention = std::chrono::hours(24);

  /// @brief Records a crash; a repeated report changes nothing.
  void RecordCrash(const protocol::CrashWitness& witness, TimePoint now);

  /// @brief Records that another process has cleared a witness.
  void RecordCleared(const protocol::CrashWitness& witness, TimePoint now);

  /// @brief Records that an upstream announced its exit.
  void RecordPlannedExit(const InstanceStart& upstream, TimePoint now);

  /// @brief Records that an upstream answered a request completely. A request
  /// that crashes upstreams is never answered so.
  void RecordAnswer(std::uint64_t fingerprint, TimePoint now);

  bool IsPlannedExit(const InstanceStart& upstream) const {
    return witnesses_.IsPlannedExit(upstream);
  }

  bool IsQuarantined(std::uint64_t fingerprint) const {
    return quarantined_.count(fingerprint) > 0;
  }

  /// @brief Whether a quarantined request may be sent once to find out whether
  /// it still crashes upstreams.
  /// @param place Place of this entry. Only one entry tries a request, so that
  /// the trials of all of them are few.
  bool MayTry(std::uint64_t fingerprint, const policy::RoomShare& place,
              TimePoint now) const;

  /// @brief Records that a quarantined request is being sent.
  void RecordTrial(std::uint64_t fingerprint, TimePoint now);

  /// @brief Ends quarantines without news for too long.
  void Expire(TimePoint now);

  /// @brief Requests whose quarantine has changed since the last call.
  std::vector<QuarantineChange> TakeChanges();

  /// @brief Witnesses that answers at this entry have cleared since the last
  /// call, to be told.
  std::vector<protocol::CrashWitness> TakeCleared();

  /// @brief All that is known, for a control VM that may know nothing yet.
  protocol::CrashesTold All() const {
    return {witnesses_.All(), {}, witnesses_.Cleared()};
  }

  std::size_t quarantined() const { return quarantined_.size(); }

 private:
  struct Quarantined {
    /// Last news or trial.
    TimePoint changed_at;
    /// Trials of this entry.
    std::uint32_t trials = 0;
  };

  void Update(std::uint64_t fingerprint, TimePoint now);
  void Clear(std::uint64_t fingerprint, TimePoint now);
  bool IsAnswered(std::uint64_t fingerprint, TimePoint now) const;
  void RememberAnswer(std::uint64_t fingerprint, TimePoint now);
  std::uint32_t TrialsOf(std::uint64_t fingerprint) const;

  CrashWitnesses witnesses_;
  std::unordered_map<std::uint64_t, Quarantined> quarantined_;
  std::unordered_map<std::uint64_t, TimePoint> answered_at_;
  /// The same, oldest first; a repeated answer is listed again.
  std::deque<std::pair<TimePoint, std::uint64_t>> answers_;
  std::vector<QuarantineChange> changes_;
  std::vector<protocol::CrashWitness> newly_cleared_;
};

}  // namespace rattanward::membership
