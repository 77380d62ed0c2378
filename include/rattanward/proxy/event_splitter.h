#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattanward::proxy {

/// @brief Splits a stream of server-sent events at event boundaries.
/// @note Only complete events are forwarded, so that a stream interrupted
/// within an event can be resumed at another upstream. Lines end with CR LF,
/// LF or CR, and a blank line ends an event:
/// https://html.spec.whatwg.org/multipage/server-sent-events.html
class EventSplitter {
 public:
  /// @brief Appends bytes of the stream.
  /// @return The buffered bytes up to the end of the last complete event.
  /// Complexity: linear in the number of the appended bytes.
  std::string Consume(std::string_view bytes);

  /// @brief Removes and returns the bytes after the last complete event.
  std::string TakePartialEvent();

  /// @brief Discards the bytes after the last complete event.
  void DiscardPartialEvent() { TakePartialEvent(); }

  /// @brief Buffered bytes after the last complete event.
  std::size_t partial_event_bytes() const { return partial_event_.size(); }

  /// @brief Whether the buffered bytes begin an event or an unfinished line.
  /// Complete comments and further blank lines don't.
  bool inside_event() const {
    return event_has_field_ || line_start_ < partial_event_.size();
  }

  /// @brief Id of the last complete event that has one; empty if none has.
  const std::string& last_id() const { return last_id_; }

  /// @brief Number of complete events seen.
  std::uint64_t events() const { return events_; }

 private:
  void SkipLineFeedAfterCr();
  std::size_t FindLineEnd();
  bool ScanLine(std::string_view line);

  std::string partial_event_;
  /// Start of the first unfinished line in partial_event_.
  std::size_t line_start_ = 0;
  /// Bytes of partial_event_ before this contain no end of that line.
  std::size_t scanned_ = 0;
  /// A CR without LF was seen, so that a CR at the end of the input ends its
  /// line.
  bool lines_end_with_cr_ = false;
  /// The last line ended with a CR at the end of the input.
  bool line_feed_may_follow_ = false;
  bool event_has_field_ = false;
  std::string event_id_;
  std::string last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace rattanward::proxy
