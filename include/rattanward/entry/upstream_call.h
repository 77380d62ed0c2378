#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/entry/call_timer.h"
#include "rattanward/http/client_connection.h"

namespace rattanward::entry {

/// @brief How a call to an upstream ended.
enum class CallEnd : std::uint8_t {
  /// The complete response was received.
  kComplete,
  /// No byte of the request was sent.
  kNotConnected,
  /// The connection broke, or the response is not valid HTTP.
  kBroken,
  /// No bytes were received within the idle timeout.
  kSilent,
  /// The watcher stopped the call.
  kStopped,
};

/// @brief One HTTP request and response on a connection that is never reused.
/// @note Not thread-safe: all calls must be made on the io_context's thread.
class UpstreamCall : public http::ClientHandler,
                     public std::enable_shared_from_this<UpstreamCall> {
 public:
  /// @brief Callbacks for the response. on_end is called once, unless Cancel()
  /// is called first.
  struct Watcher {
    /// Returns false to stop the call.
    std::function<bool(const http::ResponseHead&)> on_head;
    /// Returns false to stop the call.
    std::function<bool(std::string_view)> on_bytes;
    std::function<void(CallEnd)> on_end;
  };

  /// @param timers Creates the timer of the idle timeout.
  UpstreamCall(asio::io_context& io, const CallTimerFactory& timers,
               const Endpoint& peer, Duration idle_timeout);

  /// @brief Sends the request, with Host, Connection: close and, if needed,
  /// Content-Length added to its head.
  void Send(http::RequestHead head, std::string body, Watcher watcher);

  /// @brief Stops reading the response and stops the idle timeout until
  /// Resume().
  void Pause();
  void Resume();

  /// @brief Closes the connection; the watcher is not called after that.
  void Cancel();

  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view piece) override;
  void OnReadEnd() override;
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;

 private:
  void ArmTimer();
  void End(CallEnd end);

  std::unique_ptr<CallTimer> timer_;
  Duration idle_timeout_;
  std::shared_ptr<http::ClientConnection> connection_;
  /// Shared, so that a callback that drops the watcher can finish.
  std::shared_ptr<const Watcher> watcher_;
  bool paused_ = false;
  bool ended_ = false;
};

}  // namespace rattanward::entry
