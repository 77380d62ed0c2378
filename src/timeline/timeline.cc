#include "rattanward/timeline/timeline.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <tuple>

namespace rattanward::timeline {
namespace {

using Json = nlohmann::ordered_json;

std::string FieldText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Whether all required members are there and have the right type.
bool IsRecord(const Json& json) {
  const auto is_text = [&json](const char* key) {
    return json.contains(key) && json[key].is_string();
  };
  return json.is_object() && is_text("time") && is_text("process") &&
         is_text("vm") && is_text("failure_domain") && is_text("name") &&
         json.contains("seq") && json["seq"].is_number_unsigned() &&
         json.contains("event") && json["event"].is_number_integer();
}

std::optional<Record> ParseRecord(std::string_view line) {
  constexpr bool kNoExceptions = false;
  const Json json = Json::parse(line, nullptr, kNoExceptions);
  if (!IsRecord(json)) {
    return std::nullopt;
  }
  Record record;
  record.time = json["time"].get<std::string>();
  record.process = ProcessId(json["process"].get<std::string>());
  record.vm = VmName(json["vm"].get<std::string>());
  record.failure_domain =
      FailureDomain(json["failure_domain"].get<std::string>());
  record.sequence = json["seq"].get<std::uint64_t>();
  record.event = json["event"].get<int>();
  record.name = json["name"].get<std::string>();
  const Json fields = json.value("fields", Json::object());
  for (const auto& [name, value] : fields.items()) {
    record.fields.push_back({name, FieldText(value)});
  }
  return record;
}

/// A record with the logical time that it is sorted by.
struct OrderedRecord {
  const Record* record;
  std::uint64_t logical_time;
};

/// Appends one log with strictly increasing logical times. This is the record's
/// Lamport clock, unless the clock went back after a restart of the process.
/// Such records are numbered on from the last one, so that they stay behind the
/// records written before the restart.
void AssignLogicalTimes(const std::vector<Record>& log,
                        std::vector<OrderedRecord>& out) {
  std::uint64_t last_logical_time = 0;
  for (const Record& record : log) {
    last_logical_time = std::max(record.sequence, last_logical_time + 1);
    out.push_back({&record, last_logical_time});
  }
}

/// Whether a value meets a condition; an empty condition matches all values.
bool Matches(const std::string& expected, std::string_view value) {
  return expected.empty() || expected == value;
}

}  // namespace

std::string_view Record::FieldValue(std::string_view field_name) const {
  const auto it = std::find_if(
      fields.begin(), fields.end(),
      [&](const EventField& field) { return field.name == field_name; });
  return it == fields.end() ? std::string_view() : it->value;
}

ParsedLog ParseLog(std::string_view text) {
  ParsedLog log;
  for (std::size_t start = 0; start < text.size();) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::string_view line = text.substr(start, end - start);
    start = end + 1;
    if (line.empty()) {
      continue;
    }
    if (auto record = ParseRecord(line)) {
      log.records.push_back(*std::move(record));
    } else {
      ++log.skipped_lines;
    }
  }
  return log;
}

std::vector<Record> MergeLogs(const std::vector<std::vector<Record>>& logs) {
  std::vector<OrderedRecord> ordered;
  for (const auto& log : logs) {
    AssignLogicalTimes(log, ordered);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const OrderedRecord& a, const OrderedRecord& b) {
        return std::tie(a.logical_time, a.record->time, a.record->process) <
               std::tie(b.logical_time, b.record->time, b.record->process);
      });
  std::vector<Record> merged;
  merged.reserve(ordered.size());
  for (const OrderedRecord& entry : ordered) {
    merged.push_back(*entry.record);
  }
  return merged;
}

std::vector<Record> FilterRecords(const std::vector<Record>& records,
                                  const Filter& filter) {
  std::set<std::string, std::less<>> account_requests;
  for (const Record& record : records) {
    if (record.FieldValue("account") == filter.account.str()) {
      account_requests.emplace(record.FieldValue("request"));
    }
  }
  const auto matches_account = [&](const Record& record) {
    const std::string_view request = record.FieldValue("request");
    return Matches(filter.account.str(), record.FieldValue("account")) ||
           (!request.empty() && account_requests.count(request) > 0);
  };
  std::vector<Record> selected;
  std::copy_if(
      records.begin(), records.end(), std::back_inserter(selected),
      [&](const Record& record) {
        return Matches(filter.request.str(), record.FieldValue("request")) &&
               Matches(filter.upstream.str(), record.FieldValue("upstream")) &&
               Matches(filter.version, record.FieldValue("version")) &&
               matches_account(record);
      });
  return selected;
}

}  // namespace rattanward::timeline
