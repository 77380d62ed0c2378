#include "rattanward/timeline/render.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace rattanward::timeline {
namespace {

constexpr int kRowHeightPixels = 22;
constexpr int kLaneWidthPixels = 90;
constexpr int kTopMarginPixels = 50;
constexpr int kLeftMarginPixels = 110;
constexpr int kTextWidthPixels = 520;
constexpr std::size_t kMaxRows = 5000;
constexpr int kEventIdsPerGroup = 1000;

/// Time of day of a record, such as "22:00:00.123456".
std::string TimeOfDay(const Record& record) {
  const std::size_t start = record.time.find('T');
  if (start == std::string::npos) {
    return record.time;
  }
  std::string time = record.time.substr(start + 1);
  if (!time.empty() && time.back() == 'Z') {
    time.pop_back();
  }
  return time;
}

/// Fields as "NAME=VALUE", separated by spaces.
std::string FormatFields(const Record& record) {
  std::string text;
  for (const EventField& field : record.fields) {
    text += (text.empty() ? "" : " ") + field.name + "=" + field.value;
  }
  return text;
}

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

/// Color of a record's dot. It depends on the group of the event number, such
/// as 2xxx for requests; docs/events.md lists the groups.
const char* EventColor(const Record& record) {
  switch (record.event / kEventIdsPerGroup) {
    case 2:
      return "#1f6f8b";
    case 3:
      return "#b5651d";
    case 4:
      return "#6a3d9a";
    case 5:
      return "#33691e";
    case 6:
      return "#b71c1c";
    default:
      return "#555555";
  }
}

/// Draws the SVG diagram: a lane (column) per process, a row per record.
class SvgDiagram {
 public:
  explicit SvgDiagram(const std::vector<Record>& records) {
    const std::size_t rows = std::min(records.size(), kMaxRows);
    records_.assign(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(rows));
    // Groups the lanes by failure domain.
    std::map<std::string, std::set<std::string>> processes_by_domain;
    for (const Record& record : records_) {
      processes_by_domain[record.failure_domain.str()].insert(
          record.process.str());
    }
    for (const auto& [domain, processes] : processes_by_domain) {
      for (const std::string& process : processes) {
        lanes_.emplace(process, static_cast<int>(lanes_.size()));
      }
    }
  }

  std::string Render() const {
    std::ostringstream out;
    const int width = kLeftMarginPixels +
                      static_cast<int>(lanes_.size()) * kLaneWidthPixels +
                      kTextWidthPixels;
    const int height = RowY(records_.size()) + kRowHeightPixels;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height << "\" font-family=\"sans-serif\" "
        << "font-size=\"12\">\n";
    DrawLanes(height, out);
    DrawRequests(out);
    DrawRows(out);
    out << "</svg>\n";
    return out.str();
  }

 private:
  static int RowY(std::size_t row) {
    return kTopMarginPixels + static_cast<int>(row) * kRowHeightPixels;
  }
  int RecordX(const Record& record) const {
    return LaneX(lanes_.at(record.process.str()));
  }
  static int LaneX(int lane) {
    return kLeftMarginPixels + lane * kLaneWidthPixels + kLaneWidthPixels / 2;
  }

  void DrawLanes(int height, std::ostream& out) const {
    for (const auto& [process, lane] : lanes_) {
      const int x = LaneX(lane);
      out << "<line x1=\"" << x << "\" y1=\""
          << kTopMarginPixels - kRowHeightPixels << "\" x2=\"" << x
          << "\" y2=\"" << height << "\" stroke=\"#dddddd\"/><text x=\"" << x
          << "\" y=\"" << kRowHeightPixels << "\" text-anchor=\"middle\">"
          << EscapeHtml(process) << "</text>\n";
    }
  }

  void DrawRequests(std::ostream& out) const {
    std::map<std::string, std::string, std::less<>> points_by_request;
    for (std::size_t row = 0; row < records_.size(); ++row) {
      const std::string_view request = records_[row].FieldValue("request");
      if (!request.empty()) {
        points_by_request[std::string(request)] +=
            std::to_string(RecordX(records_[row])) + "," +
            std::to_string(RowY(row)) + " ";
      }
    }
    for (const auto& [request, points] : points_by_request) {
      out << "<polyline points=\"" << points
          << "\" fill=\"none\" stroke=\"#9ec9d6\"><title>request "
          << EscapeHtml(request) << "</title></polyline>\n";
    }
  }

  void DrawRows(std::ostream& out) const {
    const int text_x =
        kLeftMarginPixels + static_cast<int>(lanes_.size()) * kLaneWidthPixels;
    for (std::size_t row = 0; row < records_.size(); ++row) {
      const Record& record = records_[row];
      const int y = RowY(row);
      const int baseline = y + 4;
      out << "<text x=\"4\" y=\"" << baseline << "\" fill=\"#777777\">"
          << EscapeHtml(TimeOfDay(record)) << "</text><circle cx=\""
          << RecordX(record) << "\" cy=\"" << y << "\" r=\"5\" fill=\""
          << EventColor(record) << "\"/><text x=\"" << text_x << "\" y=\""
          << baseline << "\">" << EscapeHtml(record.name) << " "
          << EscapeHtml(FormatFields(record)) << "</text>\n";
    }
  }

  std::vector<Record> records_;
  std::map<std::string, int> lanes_;
};

}  // namespace

std::string ToText(const std::vector<Record>& records) {
  std::string text;
  for (const Record& record : records) {
    text += TimeOfDay(record) + " " + record.process.str() + " " + record.name +
            "\n";
    const std::string fields = FormatFields(record);
    if (!fields.empty()) {
      text += "  " + fields + "\n";
    }
  }
  return text;
}

std::string ToJsonLines(const std::vector<Record>& records) {
  std::string text;
  for (const Record& record : records) {
    nlohmann::ordered_json json;
    json["time"] = record.time;
    json["process"] = record.process.str();
    json["vm"] = record.vm.str();
    json["failure_domain"] = record.failure_domain.str();
    json["seq"] = record.sequence;
    json["event"] = record.event;
    json["name"] = record.name;
    auto& fields = json["fields"] = nlohmann::ordered_json::object();
    for (const EventField& field : record.fields) {
      fields[field.name] = field.value;
    }
    text += json.dump() + "\n";
  }
  return text;
}

std::string ToHtml(const std::vector<Record>& records) {
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      << "<meta name=\"viewport\" content=\"width=device-width\">"
      << "<title>rattanward time line</title></head><body>\n<p>"
      << records.size() << " events; a cause stands above its effect.";
  if (records.size() > kMaxRows) {
    out << " Only the first " << kMaxRows << " are drawn.";
  }
  out << "</p>\n" << SvgDiagram(records).Render() << "</body></html>\n";
  return out.str();
}

}  // namespace rattanward::timeline
