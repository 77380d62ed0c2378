#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "rattanward/adapter/settings.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/result.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::adapter {

/// @brief Lamport clock: orders a cause before its effect over processes.
/// @note Send the value of Tick() with a message; call Merge() with the value
/// of each message received, before logging what it caused.
class LogicalClock {
 public:
  /// @brief Counts one step and returns the new value.
  std::uint64_t Tick() { return value_.fetch_add(1) + 1; }

  /// @brief Moves up to a value that another process sent.
  void Merge(std::uint64_t other) {
    std::uint64_t seen = value_.load();
    while (seen < other && !value_.compare_exchange_weak(seen, other)) {
    }
  }

  /// @brief The value now, without counting a step.
  std::uint64_t Now() const { return value_.load(); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// @brief Writes events, one JSON object a line, to a file or standard error.
/// @note Thread-safe. Each record is handed to the system before Write
/// returns, so a killed process loses none; nothing is synced to the disk. The
/// clock goes on from the last record of an existing file.
class EventLog {
 public:
  /// @brief Opens a log for appending.
  /// @param identity Stamped on each record.
  /// @param file Path of the file; empty for standard error.
  /// @return The log.
  /// Errors: kSettingsUnreadable if the file can't be opened.
  static Result<std::shared_ptr<EventLog>> Open(ProcessIdentity identity,
                                                const std::string& file);

  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// @brief Writes one record.
  void Write(const Event& event);

  /// @brief The clock that counts this log's records.
  LogicalClock& clock() { return clock_; }

 private:
  class Backend;
  EventLog(ProcessIdentity identity, std::unique_ptr<Backend> backend);

  ProcessIdentity identity_;
  LogicalClock clock_;
  /// Keeps the records of the file in the order of their clock.
  std::mutex mutex_;
  std::unique_ptr<Backend> backend_;
};

/// @brief A sink that writes to a log and keeps it alive.
/// @param log The log.
/// @return The sink, safe to call from any thread.
port::EventSink MakeEventSink(std::shared_ptr<EventLog> log);

}  // namespace rattanward::adapter
