#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanward::proxy {

/// @brief Cuts a stream of server-sent events at the ends of whole events.
/// @note Only whole events are passed on, so that a stream that breaks in the
/// middle of one can go on at another upstream.
class EventSplitter {
 public:
  /// @brief Takes bytes of the stream.
  /// @return The bytes up to the end of the last whole event.
  std::string Consume(std::string_view bytes);

  /// @brief The bytes of an event that did not end.
  std::string TakePartialEvent();

  /// @brief Forgets an event that did not end.
  void DiscardPartialEvent() { partial_event_.clear(); }

  /// @brief Id of the last whole event that has one; empty if none has.
  const std::string& last_id() const { return last_id_; }

  /// @brief Whole events seen.
  std::uint64_t events() const { return events_; }

 private:
  void ScanEvents(std::string_view events);

  std::string partial_event_;
  std::string last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace rattanward::proxy
