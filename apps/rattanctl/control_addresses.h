#pragma once

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rattanward/domain/error.h"
#include "rattanward/domain/result.h"
#include "rattanward/rpc/operator_client.h"

namespace rattanward {

/// @brief Client of the control VMs' operator RPC that fails over between
/// their addresses.
/// @note A request whose reply is lost is resent unchanged. Requests that
/// change the configuration, a drain, the quarantine or the known VMs
/// therefore carry a command id, which makes the resend idempotent. Voter
/// requests have no such id.
class ControlAddresses {
 public:
  /// @param addresses Operator addresses, in the order of the attempts.
  /// @param token Operator token that is sent with each request.
  /// @param timeout Time limit of one attempt, and time for which Call()
  /// goes on starting new rounds of attempts.
  ControlAddresses(std::vector<std::string> addresses, std::string token,
                   Duration timeout)
      : addresses_(std::move(addresses)),
        token_(std::move(token)),
        timeout_(timeout) {}

  /// @brief Sends the request to one control VM after another, round after
  /// round, until one gives a final reply or the timeout has passed.
  /// @param request The request.
  /// @param extra_time Added to the time limit of each attempt, for requests
  /// that ask the server to wait.
  /// @return The reply; its outcome may hold an error.
  /// Errors: kNoQuorum if no control VM accepted the request;
  /// kOutcomeUnknown if it was sent and no reply arrived;
  /// kOperatorTokenRequired.
  template <class Request>
  auto Call(const Request& request, Duration extra_time = Duration(0)) const
      -> decltype(std::declval<rpc::OperatorClient>().Call(request)) {
    constexpr auto kRetryInterval = std::chrono::milliseconds(200);
    const auto deadline = std::chrono::steady_clock::now() + timeout_;
    Error last_error = MakeError(ErrorCode::kNoQuorum, "no control VM answers");
    do {
      for (const std::string& address : addresses_) {
        rpc::OperatorClient client(address, token_, timeout_ + extra_time);
        auto reply = client.Call(request);
        const Error error =
            reply ? ToError(reply.value().outcome()) : reply.error();
        if (!IsTransient(error.code)) {
          return reply;
        }
        UpdateLastError(error, last_error);
      }
      std::this_thread::sleep_for(kRetryInterval);
    } while (std::chrono::steady_clock::now() < deadline);
    return last_error;
  }

  /// @brief Streams the events of the first control VM that can be reached.
  /// @param on_event Called for each event; returns false to end the stream.
  /// @return Success if on_event or the server ended the stream.
  /// Errors: kNoQuorum without addresses; kDisconnected if no VM could be
  /// reached; any other error of the stream.
  Status Watch(
      const std::function<bool(const v1::EventLine&)>& on_event) const {
    Status status = MakeError(ErrorCode::kNoQuorum, "no control VM answers");
    for (const std::string& address : addresses_) {
      rpc::OperatorClient client(address, token_, timeout_);
      status = client.Watch(on_event);
      if (status || status.error().code != ErrorCode::kDisconnected) {
        break;
      }
    }
    return status;
  }

 private:
  static Error ToError(const v1::Outcome& outcome) {
    return MakeError(static_cast<ErrorCode>(outcome.error()),
                     outcome.message());
  }

  static bool IsTransient(ErrorCode code) {
    return code == ErrorCode::kDisconnected || code == ErrorCode::kNoQuorum ||
           code == ErrorCode::kNotLeader || code == ErrorCode::kOutcomeUnknown;
  }

  /// Merges the error of one attempt into that of the call. An unknown outcome
  /// is kept, since the request may have been executed; all other transient
  /// errors become kNoQuorum.
  static void UpdateLastError(const Error& error, Error& last_error) {
    if (last_error.code == ErrorCode::kOutcomeUnknown) {
      return;
    }
    last_error = error;
    if (error.code != ErrorCode::kOutcomeUnknown) {
      last_error.code = ErrorCode::kNoQuorum;
    }
  }

  std::vector<std::string> addresses_;
  std::string token_;
  Duration timeout_;
};

}  // namespace rattanward
