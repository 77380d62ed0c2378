#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/domain/request_rate.h"
#include "rattanward/domain/time.h"

namespace rattanward::http {

/// @brief Header field of a message.
struct Field {
  std::string name;
  std::string value;

  friend bool operator==(const Field&, const Field&) = default;
};

/// @brief Compares two strings without regard to ASCII case.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// @brief Header fields in transmission order; names are case-insensitive.
class Fields {
 public:
  /// @brief Appends a field.
  void Add(std::string name, std::string value);

  /// @brief Replaces all fields with this name by a single one.
  void Set(std::string_view name, std::string value);

  /// @brief Removes all fields with this name.
  void Remove(std::string_view name);

  /// @brief Finds the first field with this name.
  /// @return The value, or null if there is no such field.
  /// Complexity: linear in the number of fields.
  const std::string* Find(std::string_view name) const;

  /// @brief Whether a comma-separated field contains a token, such as "close".
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& all() const { return fields_; }

  friend bool operator==(const Fields&, const Fields&) = default;

 private:
  std::vector<Field> fields_;
};

/// @brief Request line and header fields.
struct RequestHead {
  std::string method;
  /// Path and query.
  std::string target;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version = 11;
  Fields fields;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// @brief Status line and header fields.
struct ResponseHead {
  int status = 200;
  std::string reason;
  int version = 11;
  Fields fields;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// @brief Complete response.
struct Response {
  ResponseHead head;
  std::string body;

  friend bool operator==(const Response&, const Response&) = default;
};

/// @brief How the end of a message body is determined.
enum class Framing : std::uint8_t { kNone, kLength, kChunked, kUntilClose };

/// @brief Copies the fields without the hop-by-hop ones.
/// @note Also omits fields listed in Connection, and the fields that frame the
/// body (Content-Length and Transfer-Encoding).
Fields EndToEndFields(const Fields& fields);

/// @brief Standard reason phrase of a status code.
std::string_view ReasonPhrase(int status);

/// @brief Serializes a head, including the final empty line.
std::string Serialize(const RequestHead& head);
std::string Serialize(const ResponseHead& head);

/// @brief Encodes a piece of a body in the chunked transfer coding.
/// @return One chunk, or nothing for an empty piece, since a chunk of size 0
/// would end the body.
std::string EncodeChunk(std::string_view piece);

/// @brief End of a chunked body without trailer fields.
/// @brief Whether a number is a status of HTTP.
constexpr bool IsStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast;
}

/// @brief Whether a status reports success (2xx).
constexpr bool IsSuccess(int status) {
  constexpr int kOk = 200;
  constexpr int kMultipleChoices = 300;
  return status >= kOk && status < kMultipleChoices;
}

/// @brief Decodes the Retry-After of a response, in seconds with or without a
/// fraction.
/// @return At most 24 h. 1 s for a date or a malformed value: the peer asks for
/// some time, but its clock may differ from this one.
Duration ParseRetryAfter(std::string_view text);

/// @brief Decodes a number of requests a second, with or without a fraction.
/// @return Rounded up to a thousandth; nothing for a malformed or negative
/// value.
std::optional<RequestRate> ParseRequestRate(std::string_view text);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace rattanward::http
