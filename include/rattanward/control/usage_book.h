#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::control {

/// @brief When a usage window is closed although entries are missing.
struct UsageTimes {
  /// After half of the entries said that the window is complete there.
  Duration after_half{std::chrono::seconds(4)};
  /// After the first entry said so.
  Duration after_first{std::chrono::seconds(7)};
  /// Entries that were not heard for longer are not waited for.
  Duration entry_retention{std::chrono::seconds(5)};
};

/// @brief Counts of a window over all entries.
struct UsageSum {
  std::uint64_t window = 0;
  std::map<ClientAccountId, std::uint64_t> counts;
  std::size_t entries = 0;
  /// Live entries that did not say that the window is complete there.
  std::size_t missing = 0;

  friend bool operator==(const UsageSum&, const UsageSum&) = default;
};

/// @brief Usage counts that the entries reported, and the decision when a
/// window is closed.
/// @note Pure decision, without clock or socket.
class UsageBook {
 public:
  explicit UsageBook(UsageTimes times) : times_(times) {}

  /// @brief Merges the counts of a report. They are cumulative, so that lost
  /// and repeated reports are harmless.
  void Record(const protocol::EntryReport& report, TimePoint now);

  /// @brief The next window in order, if it may be closed now.
  /// @param stored Newest window that is stored in the ledger; 0 if there is
  /// none.
  std::optional<UsageSum> NextToClose(std::uint64_t stored,
                                      TimePoint now) const;

  /// @brief Drops windows up to the newest stored one, and entries that were
  /// not heard for long.
  void Forget(std::uint64_t stored, TimePoint now);

  std::size_t windows() const { return windows_.size(); }

 private:
  /// One run of an entry process.
  struct Source {
    ProcessId process;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const Source&, const Source&) = default;
  };
  struct Window {
    std::map<Source, std::map<ClientAccountId, std::uint64_t>> counts;
    /// When an entry first said that the window is complete there.
    std::map<Source, TimePoint> complete_at;
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    std::uint64_t first_window = 0;
    TimePoint first_heard;
    TimePoint last_heard;
  };

  std::optional<std::uint64_t> NextWindow(std::uint64_t stored) const;
  std::optional<TimePoint> DoneAt(const ProcessId& process, const Entry& entry,
                                  std::uint64_t window) const;
  bool MayClose(std::vector<TimePoint> done, std::size_t live,
                TimePoint now) const;
  std::map<ClientAccountId, std::uint64_t> SumOf(std::uint64_t window) const;

  UsageTimes times_;
  std::map<std::uint64_t, Window> windows_;
  std::map<ProcessId, Entry> entries_;
};

}  // namespace rattanward::control
