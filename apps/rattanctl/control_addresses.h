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

/// @brief The control VMs that an operator may call, tried in turn.
/// @note A call whose answer is lost is sent again unchanged, so a change
/// carries a command id.
class ControlAddresses {
 public:
  ControlAddresses(std::vector<std::string> addresses, std::string token,
                   Duration timeout)
      : addresses_(std::move(addresses)),
        token_(std::move(token)),
        timeout_(timeout) {}

  /// @brief Calls one after another until one gives a final answer.
  /// @param call The request.
  /// @param patience Extra time that the call itself may take.
  /// @return The reply, which may tell of an error.
  /// Errors: kNoQuorum if none could take the call; kOutcomeUnknown if it was
  /// sent and no answer came; kOperatorTokenRequired.
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

  /// @brief Follows the events of the first control VM that answers.
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

  /// An attempt that may have run outweighs one that surely did not.
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
