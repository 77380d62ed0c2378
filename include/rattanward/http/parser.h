#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/result.h"
#include "rattanward/http/message.h"

namespace rattanward::http {

/// @brief Largest message that a parser takes.
struct ParserLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 4U << 20U;
};

/// @brief Takes requests of one connection from bytes, one after the other.
/// @note Bytes after the end of a message are never taken. Refused beside what
/// the grammar refuses: any transfer coding but a sole "chunked", folded
/// fields, and a length beside chunks, which peers may read differently.
class RequestParser {
 public:
  explicit RequestParser(ParserLimits limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  RequestParser& operator=(RequestParser&&) noexcept;

  /// @brief Takes what it can of the bytes.
  /// @return How many bytes were taken.
  /// Errors: kHeadersTooLarge, kBodyTooLarge, kMalformedHeader,
  /// kMalformedBody; the connection is of no use then.
  Result<std::size_t> Feed(std::string_view bytes);

  /// @brief Whether the head is complete.
  bool head_done() const;
  /// @brief Whether the whole message was taken.
  bool done() const;
  /// @brief Whether the message says that another may follow.
  bool keep_alive() const;

  const RequestHead& head() const;
  /// @brief Bytes of the body that wait to be handed over.
  std::size_t body_bytes() const;
  /// @brief Hands over the body taken since the last call.
  std::string TakeBody();
  RequestHead TakeHead();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Takes one answer from bytes.
class ResponseParser {
 public:
  /// @param head_request The answer is to a HEAD request: it has no body.
  ResponseParser(ParserLimits limits, bool head_request);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  ResponseParser& operator=(ResponseParser&&) noexcept;

  /// @brief As RequestParser::Feed.
  Result<std::size_t> Feed(std::string_view bytes);

  /// @brief Notes that the peer closed its side properly.
  /// @return Whether the message was complete by that.
  bool FeedEof();

  bool head_done() const;
  bool done() const;
  bool keep_alive() const;
  Framing framing() const;
  /// @brief Bytes of the body, if it has a length.
  std::uint64_t length() const;

  const ResponseHead& head() const;
  std::string TakeBody();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rattanward::http
