#include "rattanward/timeline/render.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace rattanward::timeline {
namespace {

constexpr int kRowPixels = 22;
constexpr int kLanePixels = 90;
constexpr int kTopPixels = 50;
constexpr int kLeftPixels = 110;
constexpr int kTextPixels = 520;
constexpr std::size_t kMaxRows = 5000;
constexpr int kGroupSize = 1000;

/// The time of day without its date: "22:00:00.123456".
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

std::string FieldsText(const Record& record) {
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

const char* Colour(const Record& record) {
  switch (record.event / kGroupSize) {
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

/// Draws the picture: lanes for processes, rows for records.
class Picture {
 public:
  explicit Picture(const std::vector<Record>& records) {
    const std::size_t rows = std::min(records.size(), kMaxRows);
    records_.assign(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(rows));
    // Lanes of one failure domain stand side by side.
    std::map<std::string, std::set<std::string>> domains;
    for (const Record& record : records_) {
      domains[record.failure_domain.str()].insert(record.process.str());
    }
    for (const auto& [domain, processes] : domains) {
      for (const std::string& process : processes) {
        lanes_.emplace(process, static_cast<int>(lanes_.size()));
      }
    }
  }

  std::string Svg() const {
    std::ostringstream out;
    const int width = kLeftPixels +
                      static_cast<int>(lanes_.size()) * kLanePixels +
                      kTextPixels;
    const int height = Y(records_.size()) + kRowPixels;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
        << "\" height=\"" << height << "\" font-family=\"sans-serif\" "
        << "font-size=\"12\">\n";
    Lanes(height, out);
    Requests(out);
    Rows(out);
    out << "</svg>\n";
    return out.str();
  }

 private:
  static int Y(std::size_t row) {
    return kTopPixels + static_cast<int>(row) * kRowPixels;
  }
  int X(const Record& record) const {
    return LaneX(lanes_.at(record.process.str()));
  }
  static int LaneX(int lane) {
    return kLeftPixels + lane * kLanePixels + kLanePixels / 2;
  }

  void Lanes(int height, std::ostream& out) const {
    for (const auto& [process, lane] : lanes_) {
      const int x = LaneX(lane);
      out << "<line x1=\"" << x << "\" y1=\"" << kTopPixels - kRowPixels
          << "\" x2=\"" << x << "\" y2=\"" << height
          << "\" stroke=\"#dddddd\"/><text x=\"" << x << "\" y=\"" << kRowPixels
          << "\" text-anchor=\"middle\">" << EscapeHtml(process) << "</text>\n";
    }
  }

  void Requests(std::ostream& out) const {
    std::map<std::string, std::string, std::less<>> paths;
    for (std::size_t row = 0; row < records_.size(); ++row) {
      const std::string_view request = records_[row].Field("request");
      if (!request.empty()) {
        paths[std::string(request)] += std::to_string(X(records_[row])) + "," +
                                       std::to_string(Y(row)) + " ";
      }
    }
    for (const auto& [request, points] : paths) {
      out << "<polyline points=\"" << points
          << "\" fill=\"none\" stroke=\"#9ec9d6\"><title>request "
          << EscapeHtml(request) << "</title></polyline>\n";
    }
  }

  void Rows(std::ostream& out) const {
    const int text_x =
        kLeftPixels + static_cast<int>(lanes_.size()) * kLanePixels;
    for (std::size_t row = 0; row < records_.size(); ++row) {
      const Record& record = records_[row];
      const int y = Y(row);
      const int baseline = y + 4;
      out << "<text x=\"4\" y=\"" << baseline << "\" fill=\"#777777\">"
          << EscapeHtml(TimeOfDay(record)) << "</text><circle cx=\""
          << X(record) << "\" cy=\"" << y << "\" r=\"5\" fill=\""
          << Colour(record) << "\"/><text x=\"" << text_x << "\" y=\""
          << baseline << "\">" << EscapeHtml(record.name) << " "
          << EscapeHtml(FieldsText(record)) << "</text>\n";
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
    const std::string fields = FieldsText(record);
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
  out << "</p>\n" << Picture(records).Svg() << "</body></html>\n";
  return out.str();
}

}  // namespace rattanward::timeline
