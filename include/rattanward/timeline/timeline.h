#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/event.h"
#include "rattanward/domain/ids.h"

namespace rattanward::timeline {

/// @brief One record of an event log.
struct Record {
  /// UTC in ISO 8601 format, by the clock of the VM that wrote the record.
  std::string time;
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;
  /// Lamport clock: greater than the clock of every event that may have caused
  /// this one. After a restart of the process it may begin at a low value.
  std::uint64_t sequence = 0;
  /// Event number.
  int event = 0;
  /// Event name.
  std::string name;
  std::vector<EventField> fields;

  /// @brief Value of a field; empty if there is none.
  std::string_view FieldValue(std::string_view field_name) const;

  friend bool operator==(const Record&, const Record&) = default;
};

/// @brief Records of one log file, in file order.
struct ParsedLog {
  std::vector<Record> records;
  /// Number of lines that aren't valid records, such as a truncated last line.
  std::size_t skipped_lines = 0;

  friend bool operator==(const ParsedLog&, const ParsedLog&) = default;
};

/// @brief Conditions on the fields of records; an empty member matches all.
struct Filter {
  RequestId request;
  /// Matches records with this account, and all records of its requests.
  ClientAccountId account;
  UpstreamId upstream;
  std::string version;

  friend bool operator==(const Filter&, const Filter&) = default;
};

/// @brief Parses an event log.
/// @param text One JSON object per line; empty lines are ignored.
/// Complexity: linear in the length of the text.
ParsedLog ParseLog(std::string_view text);

/// @brief Merges logs into one time line.
/// @param logs The logs, each in file order.
/// @return All records, sorted by Lamport clock, so that each follows every
/// record that may have caused it even if the clocks of the VMs differ. Records
/// with equal Lamport clocks are causally independent and are sorted by time,
/// then by process. If the clock of a log goes back, its file order is kept.
/// Complexity: O(n log n) in the number of records.
std::vector<Record> MergeLogs(const std::vector<std::vector<Record>>& logs);

/// @brief Returns the records that match a filter, in the same order.
/// @param records A time line.
/// @param filter The filter; a record must match all its members.
/// Complexity: linear in the number of records.
std::vector<Record> FilterRecords(const std::vector<Record>& records,
                                  const Filter& filter);

}  // namespace rattanward::timeline
