#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "rattanward/domain/error.h"
#include "rattanward/entry/stream_assembler.h"
#include "rattanward/http/message.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::entry {

/// @brief A whole answer that is not streamed.
struct BufferedResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const BufferedResponse&,
                         const BufferedResponse&) = default;
};

/// @brief Writes the answer to one request onto its caller's connection.
/// @note It says exactly one of: a whole answer, an error, or a stream that
/// ends by its end marker or by an error.
class CallerAnswer {
 public:
  /// @param connection The caller's.
  /// @param common Fields that every answer to this request bears.
  CallerAnswer(std::shared_ptr<http::ServerConnection> connection,
               http::Fields common_fields);

  /// @brief Answers by a whole message of an upstream.
  void SendResponse(const BufferedResponse& answer);

  /// @brief Passes events of a stream on; the first call begins the answer.
  void SendEvents(const StreamBatch& batch);

  /// @brief Answers by an error; in a stream, by an event without end marker.
  void Fail(const Error& error);

  /// @brief Whether a part of a streamed answer was written.
  bool begun() const { return begun_; }

  /// @brief Bytes that wait for the caller to take them.
  std::size_t buffered() const { return connection_->buffered(); }

 private:
  void Begin();

  std::shared_ptr<http::ServerConnection> connection_;
  http::Fields common_fields_;
  bool begun_ = false;
};

}  // namespace rattanward::entry
