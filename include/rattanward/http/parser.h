#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/http/message.h"

namespace rattanward::http {

/// @brief Maximum sizes of a message.
struct ParserLimits {
  /// Of the head, and of chunk framing and trailer after it: what exceeds a
  /// plain size line for each chunk counts.
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
};

/// @brief Incremental parser for one request.
/// @note It consumes no bytes after the end of the message. Besides syntax
/// errors it rejects transfer codings other than a single "chunked", folded
/// header fields, and Content-Length together with Transfer-Encoding. Peers
/// interpret these differently, which allows request smuggling. Trailer fields
/// are read and dropped.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// @brief Parses as much of the input as possible.
  /// @return Number of bytes consumed.
  /// Errors: kHeadersTooLarge (also for chunk framing and trailers),
  /// kBodyTooLarge, and kMalformedHeader for all
  /// syntax errors, also those of a chunked body. The connection can't be used
  /// after an error.
  Result<std::size_t> Feed(std::string_view bytes);

  /// @brief Whether the head is complete.
  bool head_done() const;
  /// @brief Whether the message is complete.
  bool done() const;
  /// @brief Whether the connection may stay open after this message.
  bool keep_alive() const;

  const RequestHead& head() const;
  /// @brief Number of parsed body bytes not yet returned by TakeBody().
  std::size_t body_bytes() const;
  /// @brief Moves out the body bytes parsed since the last call.
  std::string TakeBody();
  RequestHead TakeHead();
  /// @brief Bytes of memory that the parsed parts occupy, until they are taken.
  std::size_t held_bytes() const;
  /// @brief Bytes of the head that were searched for folded lines so far; shows
  /// that no byte is searched more than a few times.
  std::uint64_t scanned_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Incremental parser for one response.
class ResponseParser {
 public:
  /// @param limits Maximum sizes of the message.
  /// @param head_request Whether the response is to a HEAD request and thus
  /// has no body.
  ResponseParser(ParserLimits limits, bool head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /// @brief See RequestParser::Feed().
  Result<std::size_t> Feed(std::string_view bytes);

  /// @brief Signals that the peer closed its side without a reset.
  /// @return Whether the message is complete.
  bool FeedEof();

  bool head_done() const;
  bool done() const;
  bool keep_alive() const;
  Framing framing() const;
  /// @brief Value of Content-Length in bytes; 0 if the field is absent.
  std::uint64_t length() const;

  const ResponseHead& head() const;
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::http
