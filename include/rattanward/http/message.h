#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanward::http {

/// @brief One header field of a message.
struct Field {
  std::string name;
  std::string value;

  friend bool operator==(const Field&, const Field&) = default;
};

/// @brief Whether two names of header fields are the same name.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// @brief Header fields in the order in which they were sent.
class Fields {
 public:
  /// @brief Adds a field behind the others.
  void Add(std::string name, std::string value);

  /// @brief Replaces every field of a name by one.
  void Set(std::string_view name, std::string value);

  /// @brief Removes every field of a name.
  void Remove(std::string_view name);

  /// @brief The value of the first field of a name; null if there is none.
  /// Complexity: linear in the number of fields.
  const std::string* Find(std::string_view name) const;

  /// @brief Whether a field of a name lists a token, such as "close".
  bool HasToken(std::string_view name, std::string_view token) const;

  const std::vector<Field>& all() const { return fields_; }

  friend bool operator==(const Fields&, const Fields&) = default;

 private:
  std::vector<Field> fields_;
};

/// @brief Start line and header fields of a request.
struct RequestHead {
  std::string method;
  /// Path and query.
  std::string target;
  /// 10 or 11.
  int version = 11;
  Fields fields;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// @brief Start line and header fields of an answer.
struct ResponseHead {
  int status = 200;
  std::string reason;
  int version = 11;
  Fields fields;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// @brief A whole answer.
struct Response {
  ResponseHead head;
  std::string body;

  friend bool operator==(const Response&, const Response&) = default;
};

/// @brief How the end of a body is found.
enum class Framing : std::uint8_t { kNone, kLength, kChunked, kUntilClose };

/// @brief Copies fields without those that concern one connection only.
/// @note Also drops those that a connection field names, and the framing.
Fields EndToEndFields(const Fields& fields);

/// @brief The customary words for a status.
std::string_view ReasonPhrase(int status);

/// @brief The head as bytes, ended by an empty line.
std::string Serialize(const RequestHead& head);
std::string Serialize(const ResponseHead& head);

/// @brief One chunk of a chunked body; nothing for an empty piece.
std::string EncodeChunk(std::string_view piece);

/// @brief The end of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace rattanward::http
