#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/request_rate.h"
#include "rattanward/domain/time.h"
#include "rattanward/http/message.h"
#include "rattanward/policy/placer.h"

namespace rattanward::proxy {

/// @brief Routing-relevant properties read from a caller's request head.
struct RequestTraits {
  /// Empty if the request has no attempt id.
  AttemptId attempt;
  /// Time that the caller waits for the response.
  std::optional<Duration> deadline;
  /// Bearer key; empty if there is none.
  std::string key;
  std::vector<policy::PromptPart> prompt;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// The caller's estimate; 0 if there is none.
  std::uint32_t expected_output_tokens = 0;
  /// The caller has a stream's events up to here and wants the rest.
  bool resumes_stream = false;
  /// Attempt that brought the stream's first event; empty if it isn't named.
  AttemptId resumed_attempt;

  friend bool operator==(const RequestTraits&, const RequestTraits&) = default;
};

/// @brief What an entry adds to a request that it forwards to an upstream.
struct ForwardingInfo {
  /// Time until the request's deadline.
  Duration left{0};
  /// The only upstream that may run the request.
  UpstreamId expected;
  /// Empty on routes without authentication.
  ClientAccountId account;
  std::uint32_t rank = 0;
  bool by_prefix = false;
  /// Id of the last event received, from which to resume a broken stream. If
  /// empty, the caller's own field is forwarded.
  std::string last_event_id;

  friend bool operator==(const ForwardingInfo&,
                         const ForwardingInfo&) = default;
};

/// @brief Properties read from an upstream's response head.
struct ResponseTraits {
  /// The response names this request, or no request at all.
  bool matches_request = true;
  /// The response names a request.
  bool names_request = false;
  /// The response has the signature that a successful response must have.
  bool has_signature = false;
  /// The response states that the request did not run.
  bool not_run = false;
  /// The upstream states that it is leaving and wants no further request.
  bool leaving = false;
  /// The upstream turned the request away and wants no request of this entry
  /// for so long.
  std::optional<Duration> backoff_for;
  /// Requests that the upstream takes from all entries together.
  std::optional<RequestRate> limit;
  /// Rejections a second for want of room beyond which the upstream fails.
  std::optional<std::uint32_t> rejection_limit;
  /// The response names a limit that can't be read.
  bool limit_malformed = false;

  friend bool operator==(const ResponseTraits&,
                         const ResponseTraits&) = default;
};

/// @brief Translates between HTTP header fields and the entry's own types.
/// @note It parses and formats header fields only. It makes no routing
/// decisions.
class Dialect {
 public:
  virtual ~Dialect() = default;

  /// @brief Reads the properties of a caller's request.
  virtual RequestTraits ReadRequest(const http::RequestHead& head) const = 0;

  /// @brief Returns the request head to send to an upstream.
  /// @param head Head of the caller's request.
  /// @param body_bytes Size of the request body.
  virtual http::RequestHead MakeUpstreamRequest(
      const http::RequestHead& head, const ForwardingInfo& info,
      std::size_t body_bytes) const = 0;

  /// @brief Returns the request head to send to another entry, which handles
  /// the request as if its caller had sent it there.
  /// @param info Only its time and its last event id are used.
  virtual http::RequestHead MakeRelayedRequest(
      const http::RequestHead& head, const ForwardingInfo& info,
      std::size_t body_bytes) const = 0;

  /// @brief Reads the properties of an upstream's response.
  /// @param attempt Attempt id of the request that was sent.
  virtual ResponseTraits ReadResponse(const http::ResponseHead& head,
                                      const AttemptId& attempt) const = 0;
};

}  // namespace rattanward::proxy
