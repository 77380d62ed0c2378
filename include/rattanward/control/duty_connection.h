#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/domain/ids.h"
#include "rattanward/http/client_connection.h"

namespace rattanward::control {

/// @brief A call to the platform, ready to be sent.
struct DutyRequest {
  http::RequestHead head;
  std::string body;

  friend bool operator==(const DutyRequest&, const DutyRequest&) = default;
};

/// @brief Connection to the platform that carries one call at a time.
/// @note Control thread only.
class DutyConnection : private http::ClientHandler {
 public:
  /// @brief Receives the status of the answer; 0 without an answer.
  using Done = std::function<void(int status)>;

  DutyConnection(asio::io_context& io, adapter::AsioTimerService& timers,
                 Endpoint platform);
  ~DutyConnection() override { Close(); }
  DutyConnection(const DutyConnection&) = delete;
  DutyConnection& operator=(const DutyConnection&) = delete;

  /// @brief Sends a call. Requires !busy().
  /// @param done Called once, at the latest after the timeout, unless the
  /// connection is closed before.
  void Call(const DutyRequest& request, Duration timeout, Done done);

  /// @brief Ends a call under way without a callback.
  void Close();

  /// @brief Whether a call is under way or its callback is still to come.
  bool busy() const { return busy_; }

 private:
  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view /*piece*/) override {}
  void OnReadEnd() override {}
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;
  void Drop();
  void Finish(int status);

  asio::io_context& io_;
  adapter::AsioTimerService& timers_;
  Endpoint platform_;
  std::shared_ptr<http::ClientConnection> connection_;
  Done done_;
  int status_ = 0;
  bool busy_ = false;
  /// Tells the timeout of a call from those of earlier ones.
  std::uint64_t calls_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rattanward::control
