#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "rattanward/http/client_connection.h"
#include "rattanward/http/server_connection.h"

namespace rattanward::entry {

/// @brief Field that marks a request as relayed by another entry, which must
/// not relay it again.
inline constexpr std::string_view kRelayedField = "X-Rattanward-Relayed";

/// @brief How a relayed call ended, where its caller didn't get the answer.
enum class RelayEnd : std::uint8_t {
  /// The caller has the other entry's answer, or has left.
  kAnswered,
  /// The other entry was not reached; the request has not run.
  kUnreached,
  /// The other entry can't serve the request, which has not run.
  kUnable,
  /// The other entry broke off; the request may have run. Nothing was sent to
  /// the caller.
  kBroken,
  /// As kBroken, but the caller had the beginning of the answer, and was reset.
  kCut,
  /// This entry stops; the request may have run. Nothing was sent to the
  /// caller.
  kStopped,
};

/// @brief A caller's request that another entry handles, whose answer is passed
/// on as it comes.
class RelayedCall : public http::ClientHandler,
                    public std::enable_shared_from_this<RelayedCall> {
 public:
  using EndCallback =
      std::function<void(const std::shared_ptr<RelayedCall>&, RelayEnd)>;

  /// @param peer Callers' address of the other entry.
  /// @param on_end Called once.
  RelayedCall(asio::io_context& io, const Endpoint& peer,
              std::shared_ptr<http::ServerConnection> caller,
              EndCallback on_end);

  void Start(const http::ServerRequest& request);

  /// @brief Ends the call now, because this entry stops.
  void CutShort();

  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view piece) override;
  void OnReadEnd() override;
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;

 private:
  void WatchCaller();
  bool EndStreamWithError();
  void End(RelayEnd end);

  std::shared_ptr<http::ClientConnection> connection_;
  std::shared_ptr<http::ServerConnection> caller_;
  EndCallback on_end_;
  http::ResponseHead head_;
  std::string body_;
  bool streams_ = false;
  bool unable_ = false;
  /// The last bytes that were passed on.
  std::string tail_;
};

}  // namespace rattanward::entry
