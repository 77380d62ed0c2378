#include "rattanward/proxy/event_splitter.h"

#include <utility>

namespace rattanward::proxy {

std::string EventSplitter::Consume(std::string_view bytes) {
  partial_event_ += bytes;
  std::size_t end_of_events = 0;
  while (true) {
    SkipLineFeedAfterCr();
    const std::size_t start = line_start_;
    const std::size_t line_end = FindLineEnd();
    if (line_end == std::string::npos) {
      break;
    }
    const std::string_view line(partial_event_.data() + start,
                                line_end - start);
    if (ScanLine(line)) {
      end_of_events = line_start_;
    }
  }
  std::string events = partial_event_.substr(0, end_of_events);
  partial_event_.erase(0, end_of_events);
  line_start_ -= end_of_events;
  scanned_ -= end_of_events;
  return events;
}

std::string EventSplitter::TakePartialEvent() {
  line_start_ = 0;
  scanned_ = 0;
  lines_end_with_cr_ = false;
  line_feed_may_follow_ = false;
  event_has_field_ = false;
  event_id_.clear();
  return std::exchange(partial_event_, std::string());
}

/// Returns the end of the first unfinished line, without its line terminator,
/// and moves line_start_ past the terminator. Returns npos if the line is not
/// complete yet.
std::size_t EventSplitter::FindLineEnd() {
  const std::size_t end = partial_event_.find_first_of("\r\n", scanned_);
  if (end == std::string::npos) {
    scanned_ = partial_event_.size();
    return end;
  }
  scanned_ = end;
  std::size_t next = end + 1;
  if (partial_event_[end] == '\r') {
    if (next == partial_event_.size() && !lines_end_with_cr_) {
      return std::string::npos;  // An LF may follow.
    }
    if (next < partial_event_.size() && partial_event_[next] == '\n') {
      ++next;
    } else {
      lines_end_with_cr_ = true;
      line_feed_may_follow_ = next == partial_event_.size();
    }
  }
  line_start_ = next;
  scanned_ = next;
  return end;
}

/// Skips an LF that arrives after the CR it belongs to has ended a line.
void EventSplitter::SkipLineFeedAfterCr() {
  if (!line_feed_may_follow_ || scanned_ == partial_event_.size()) {
    return;
  }
  line_feed_may_follow_ = false;
  if (partial_event_[scanned_] == '\n') {
    ++line_start_;
    ++scanned_;
  }
}

/// Returns whether the line ends an event.
bool EventSplitter::ScanLine(std::string_view line) {
  constexpr std::string_view kId = "id:";
  if (line.empty()) {
    events_ += event_has_field_ ? 1 : 0;
    event_has_field_ = false;
    if (!event_id_.empty()) {
      last_id_ = std::exchange(event_id_, std::string());
    }
    return true;
  }
  if (line.front() == ':') {
    return false;
  }
  event_has_field_ = true;
  if (line.substr(0, kId.size()) == kId) {
    line.remove_prefix(kId.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    event_id_ = std::string(line);
  }
  return false;
}

}  // namespace rattanward::proxy
