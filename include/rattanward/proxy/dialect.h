#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/http/message.h"
#include "rattanward/policy/placer.h"

namespace rattanward::proxy {

/// @brief What a caller's request says of itself.
struct RequestTraits {
  /// Empty if the caller named none.
  AttemptId attempt;
  /// How long the caller waits.
  std::optional<Duration> deadline;
  /// Bearer key; empty if there is none.
  std::string key;
  std::vector<policy::PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;

  friend bool operator==(const RequestTraits&, const RequestTraits&) = default;
};

/// @brief What an upstream is told beside the caller's own words.
struct ForwardingInfo {
  /// How long the answer is of use.
  Duration left{0};
  /// The upstream that alone may run the request.
  UpstreamId expected;
  /// Empty on routes that need no key.
  ClientAccountId account;
  std::uint32_t rank = 0;
  bool by_prefix = false;
  /// Where a broken stream goes on; empty for the caller's own word.
  std::string last_event_id;

  friend bool operator==(const ForwardingInfo&,
                         const ForwardingInfo&) = default;
};

/// @brief What an upstream's answer says of itself.
struct ResponseTraits {
  /// It names no request, or this one.
  bool matches_request = true;
  /// It bears the signature without which it is no success.
  bool has_signature = false;
  /// It says that the request did not run.
  bool not_run = false;

  friend bool operator==(const ResponseTraits&,
                         const ResponseTraits&) = default;
};

/// @brief Names of the fields by which callers, entries and upstreams speak.
/// @note It reads and writes; it decides nothing.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestTraits ReadRequest(const http::RequestHead& head) const = 0;

  virtual http::RequestHead MakeUpstreamRequest(
      const http::RequestHead& head, const ForwardingInfo& info,
      std::size_t body_bytes) const = 0;

  virtual ResponseTraits ReadResponse(const http::ResponseHead& head,
                                      const AttemptId& attempt) const = 0;
};

}  // namespace rattanward::proxy
