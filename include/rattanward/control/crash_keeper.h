#pragma once

#include <optional>
#include <string>

#include "rattanward/adapter/record_file.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/crash_news.h"
#include "rattanward/port/event_sink.h"

namespace rattanward::control {

/// @brief What a control VM knows of crashes, with a copy on its disk, so that
/// a restart of all processes doesn't forget it.
/// @note Each control VM writes its own file "crashes"; see
/// docs/design/retries-and-quarantine.md. Control thread only.
class CrashKeeper {
 public:
  /// @param folder Existing folder of this control VM; if empty, what is known
  /// is lost with the process.
  CrashKeeper(const std::string& folder, port::EventSink events);

  /// @brief Reads the copy. What it holds counts as heard now.
  void Load(TimePoint now);

  /// @brief As CrashNews::Record().
  protocol::CrashesTold Record(const protocol::CrashesTold& reported,
                               TimePoint now);

  /// @brief As CrashNews::RecordPlannedExit().
  void RecordPlannedExit(const membership::InstanceStart& upstream);

  /// @brief As CrashNews::Expire().
  void Expire(TimePoint now) { news_.Expire(now); }

  /// @brief Writes the copy if it is out of date and a write is due.
  void SaveIfDue(TimePoint now);

  const membership::CrashNews& news() const { return news_; }

 private:
  membership::CrashNews news_;
  std::optional<adapter::RecordFile> file_;
  port::EventSink events_;
  bool changed_ = false;
  TimePoint next_save_;
};

}  // namespace rattanward::control
