#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/result.h"

namespace rattanward::entry {

/// @brief New events of an upstream's stream, in order.
struct StreamBatch {
  /// Data of each event, without framing; the end marker is not included.
  std::vector<std::string> events;
  /// The end marker was received; no event may follow.
  bool done = false;

  friend bool operator==(const StreamBatch&, const StreamBatch&) = default;
};

/// @brief Assembles one numbered event stream from several connections.
/// @note Events are numbered from 1 by their "id:" line. Events that were
/// received before are dropped. A gap or an unnumbered event is an error.
class StreamAssembler {
 public:
  /// @brief Parses bytes received on the current connection.
  /// @param bytes Part of the event stream; may end anywhere.
  /// @return The new events. If events precede an error, they are returned;
  /// failure() then holds the error, and the next call returns it.
  /// Errors: kStreamGap if an event is missing; kUpstreamMalformed for an event
  /// that has no valid number, is longer than 1 MiB or follows the end marker.
  Result<StreamBatch> Feed(std::string_view bytes);

  /// @brief Error of the current connection, if there is one.
  const std::optional<Error>& failure() const { return failure_; }

  /// @brief Discards the incomplete event and the error of the previous
  /// connection.
  void BeginConnection();

  /// @brief Number of the next expected event.
  std::uint64_t next_event() const { return next_event_; }
  /// @brief Whether the end marker was received.
  bool done() const { return done_; }

 private:
  Result<StreamBatch> Fail(StreamBatch batch, Error error);
  Status ParseLine(std::string_view line, StreamBatch& batch);
  Status FinishEvent(StreamBatch& batch);

  std::string buffer_;
  /// Number of the event that is being parsed; 0 before its "id:" line.
  std::uint64_t event_number_ = 0;
  std::string data_;
  std::uint64_t next_event_ = 1;
  bool done_ = false;
  std::optional<Error> failure_;
};

}  // namespace rattanward::entry
