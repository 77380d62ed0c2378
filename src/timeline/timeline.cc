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

/// A record with its place in the order.
struct Placed {
  const Record* record;
  std::uint64_t order;
};

/// Numbers one log; a clock that starts anew goes on from the old one.
void Place(const std::vector<Record>& log, std::vector<Placed>& out) {
  std::uint64_t last = 0;
  for (const Record& record : log) {
    last = std::max(record.sequence, last + 1);
    out.push_back({&record, last});
  }
}

bool Fits(const std::string& wanted, std::string_view value) {
  return wanted.empty() || wanted == value;
}

}  // namespace

std::string_view Record::Field(std::string_view field_name) const {
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
      ++log.skipped;
    }
  }
  return log;
}

std::vector<Record> MergeLogs(const std::vector<std::vector<Record>>& logs) {
  std::vector<Placed> placed;
  for (const auto& log : logs) {
    Place(log, placed);
  }
  std::stable_sort(
      placed.begin(), placed.end(), [](const Placed& a, const Placed& b) {
        return std::tie(a.order, a.record->time, a.record->process) <
               std::tie(b.order, b.record->time, b.record->process);
      });
  std::vector<Record> merged;
  merged.reserve(placed.size());
  for (const Placed& one : placed) {
    merged.push_back(*one.record);
  }
  return merged;
}

std::vector<Record> Select(const std::vector<Record>& records,
                           const Filter& filter) {
  std::set<std::string, std::less<>> of_account;
  for (const Record& record : records) {
    if (record.Field("account") == filter.account.str()) {
      of_account.emplace(record.Field("request"));
    }
  }
  const auto fits_account = [&](const Record& record) {
    const std::string_view request = record.Field("request");
    return Fits(filter.account.str(), record.Field("account")) ||
           (!request.empty() && of_account.count(request) > 0);
  };
  std::vector<Record> selected;
  std::copy_if(records.begin(), records.end(), std::back_inserter(selected),
               [&](const Record& record) {
                 return Fits(filter.request.str(), record.Field("request")) &&
                        Fits(filter.upstream.str(), record.Field("upstream")) &&
                        Fits(filter.version, record.Field("version")) &&
                        fits_account(record);
               });
  return selected;
}

}  // namespace rattanward::timeline
