#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rattanward/domain/time.h"
#include "rattanward/http/client_connection.h"
#include "rattanward/policy/placer.h"
#include "rattanward/proxy/dialect.h"

namespace rattanward::proxy {

class Exchange;

/// @brief Where a hedge goes, and what it has taken there.
struct HedgePlacement {
  UpstreamId upstream;
  std::uint64_t upstream_start = 0;
  std::string upstream_version;
  std::shared_ptr<http::ClientConnection> connection;
  policy::PlacementCharge charge;
  /// Work taken from the budget, and the time in which it should be done.
  std::uint64_t work = 0;
  TimePoint sent_at;
};

/// @brief How a hedge ended.
enum class HedgeEnd : std::uint8_t {
  /// Its answer goes to the caller.
  kWon,
  /// The first attempt answered sooner, or the request ended.
  kCancelled,
  /// It brought no good answer, and the first attempt goes on.
  kFailed,
};

/// @brief Second attempt of a request whose first one is slow.
/// @note Keeps its answer to itself until that is complete and good, or until
/// the first event of a stream. Then it replaces the first attempt: the
/// exchange gets what has arrived and all that follows.
class HedgeAttempt : public http::ClientHandler,
                     public std::enable_shared_from_this<HedgeAttempt> {
 public:
  HedgeAttempt(Exchange& exchange, HedgePlacement placement);

  /// @brief Sends the request.
  void Send(const http::RequestHead& head,
            const std::shared_ptr<const std::string>& body,
            Duration connect_timeout);

  /// @brief Detaches from the exchange and closes the connection, which cancels
  /// the request at the upstream. Does nothing after Replay().
  void Cancel();

  /// @brief Passes on to the exchange what has arrived, and from now on what
  /// follows.
  void Replay();

  const HedgePlacement& placement() const { return placement_; }
  /// @brief Whether any byte of the request was written.
  bool sent_any() const { return placement_.connection->sent_any(); }

  void OnReceivedHead(const http::ResponseHead& head) override;
  bool IsMatchingResponse(const http::ResponseHead& head) const override;
  void OnHead(const http::ResponseHead& head, http::Framing framing,
              std::uint64_t length) override;
  void OnBody(std::string_view piece) override;
  void OnReadEnd() override;
  void OnComplete() override;
  void OnFailure(http::ClientFailure failure) override;

 private:
  bool AnswersWell() const;
  void Win();
  void Fail();

  /// Null once it is cancelled or has failed. The exchange cancels it before it
  /// ends.
  Exchange* exchange_;
  HedgePlacement placement_;
  ResponseTraits traits_;
  http::ResponseHead head_;
  http::Framing framing_ = http::Framing::kNone;
  std::uint64_t length_ = 0;
  std::string body_;
  bool has_head_ = false;
  bool replayed_ = false;
};

}  // namespace rattanward::proxy
