#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/result.h"

namespace rattanward::entry {

/// @brief Events of an upstream's stream that are new and in order.
struct StreamBatch {
  /// Data of each event, without framing and without the end marker.
  std::vector<std::string> events;
  /// The end marker arrived; nothing may follow.
  bool done = false;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

/// @brief Puts one numbered event stream together over several connections.
/// @note Events are numbered from 1 by their "id:" line. What was taken before
/// is dropped, a gap is an error, and so is an unnumbered event.
class StreamAssembler {
 public:
  /// @brief Takes bytes as they arrive on the current connection.
  /// @param bytes Part of the event stream; may end anywhere.
  /// @return The events that are new; those before a fault are returned, and
  /// the fault then stands in failure() and is what the next call returns.
  /// Errors: kStreamGap if an event is missing, kUpstreamMalformed for an
  /// event without number or longer than 1 MiB, or bytes after the end marker.
  Result<StreamBatch> Feed(std::string_view bytes);

  /// @brief The fault of the current connection, if there is one.
  const std::optional<Error>& failure() const { return failure_; }

  /// @brief Forgets an unfinished event and the fault of the last connection.
  void BeginConnection();

  /// @brief Number of the next event that is wanted.
  std::uint64_t next_event() const { return next_event_; }
  /// @brief Whether the end marker has been taken.
  bool done() const { return done_; }

 private:
  Result<StreamBatch> Fail(StreamBatch batch, Error error);
  Status ParseLine(std::string_view line, StreamBatch& batch);
  Status FinishEvent(StreamBatch& batch);

  std::string buffer_;
  std::uint64_t event_number_ = 0;
  std::string data_;
  std::uint64_t next_event_ = 1;
  bool done_ = false;
  std::optional<Error> failure_;
};

}  // namespace rattanward::entry
