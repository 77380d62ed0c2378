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
  /// UTC, as the writing VM's clock had it.
  std::string time;
  ProcessId process;
  VmName vm;
  FailureDomain failure_domain;
  /// Logical clock: greater than that of every event that may have caused it.
  std::uint64_t sequence = 0;
  int event = 0;
  std::string name;
  std::vector<EventField> fields;

  /// @brief Value of a field; empty if there is none.
  std::string_view FieldValue(std::string_view field_name) const;

  friend bool operator==(const Record&, const Record&) = default;
};

/// @brief Records of one log file, in the file's order.
struct ParsedLog {
  std::vector<Record> records;
  /// Lines that are no record, such as a torn last line.
  std::size_t skipped_lines = 0;

  friend bool operator==(const ParsedLog&, const ParsedLog&) = default;
};

/// @brief Which records to keep; an empty member keeps all.
struct Filter {
  RequestId request;
  /// Keeps the account's records and those of its requests.
  ClientAccountId account;
  UpstreamId upstream;
  std::string version;

  friend bool operator==(const Filter&, const Filter&) = default;
};

/// @brief Parses an event log.
/// @param text One JSON object a line.
/// Complexity: linear in the text.
ParsedLog ParseLog(std::string_view text);

/// @brief Merges logs into one time line.
/// @param logs The logs, each in its file's order.
/// @return All records; each comes after every one that may have caused it,
/// whatever the clocks of the VMs say. Records with equal logical clocks, of
/// which none caused the other, go by their time.
/// Complexity: n log n in the number of records.
std::vector<Record> MergeLogs(const std::vector<std::vector<Record>>& logs);

/// @brief Keeps the records that a filter names.
/// @param records A time line.
/// @param filter What to keep; all its members must fit.
/// Complexity: linear in the number of records.
std::vector<Record> FilterRecords(const std::vector<Record>& records,
                                  const Filter& filter);

}  // namespace rattanward::timeline
