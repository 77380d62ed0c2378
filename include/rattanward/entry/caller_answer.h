#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "rattanward/domain/error.h"
#include "rattanward/entry/stream_assembler.h"
#include "rattanward/http/message.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::entry {

/// @brief A complete response that is not streamed.
struct BufferedResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const BufferedResponse&,
                         const BufferedResponse&) = default;
};

/// @brief Writes the response to one request on its caller's connection.
/// @note The response is exactly one of: a complete response, an error, or an
/// event stream that ends with the end marker or with an error event.
class CallerAnswer {
 public:
  /// @param connection Connection of the caller.
  /// @param common_fields Header fields of every response to this request.
  CallerAnswer(std::shared_ptr<http::ServerConnection> connection,
               http::Fields common_fields);

  /// @brief Sends a complete response, with the verdict that the request ran.
  void SendResponse(const BufferedResponse& answer);

  /// @brief Forwards stream events. The first call sends the response head.
  void SendEvents(const StreamBatch& batch);

  /// @brief Sends an error. In a started stream, it is sent as an event, and
  /// the body ends without the end marker.
  void Fail(const Error& error);

  /// @brief Whether the head of a streamed response was written.
  bool begun() const { return begun_; }

  /// @brief Number of bytes queued for sending to the caller.
  std::size_t buffered() const { return connection_->buffered(); }
  /// @brief See http::ServerConnection::ReadAhead().
  std::size_t ReadAhead(std::size_t most) const {
    return connection_->ReadAhead(most);
  }

 private:
  void Begin();

  std::shared_ptr<http::ServerConnection> connection_;
  http::Fields common_fields_;
  bool begun_ = false;
};

}  // namespace rattanward::entry
