#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "rattanward/adapter/settings.h"
#include "rattanward/domain/event.h"
#include "rattanward/domain/result.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/port/logical_clock.h"

namespace rattanward::adapter {

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
  port::LogicalClock& clock() { return clock_; }

 private:
  class Backend;
  EventLog(ProcessIdentity identity, std::unique_ptr<Backend> backend);

  ProcessIdentity identity_;
  port::LogicalClock clock_;
  /// Keeps the records of the file in the order of their clock.
  std::mutex mutex_;
  std::unique_ptr<Backend> backend_;
};

/// @brief A sink that writes to a log and keeps it alive.
/// @param log The log.
/// @return The sink, safe to call from any thread.
port::EventSink MakeEventSink(std::shared_ptr<EventLog> log);

/// @brief The clock of a log, which it keeps alive; for TransportOptions.
/// @param log The log.
std::shared_ptr<port::LogicalClock> ClockOf(
    const std::shared_ptr<EventLog>& log);

}  // namespace rattanward::adapter
