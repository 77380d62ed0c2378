#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/load/report.h"
#include "rattanward/load/scenario.h"

namespace rattanward::load {

/// @brief Incremental parser for a streamed answer (server-sent events).
/// @note It checks that the tokens belong to the request and arrive in order.
/// The fake engines generate each token as "REQUEST_ID:N ", where N counts
/// from 1.
class StreamReader {
 public:
  /// @param request Id of the request that each token must contain; if empty,
  /// the content of tokens isn't checked.
  explicit StreamReader(std::string request) : request_(std::move(request)) {}

  /// @brief Parses the next bytes of the answer, split at any position.
  /// @return Number of tokens that these bytes completed.
  std::uint32_t Feed(std::string_view bytes);

  /// @brief Number of tokens received so far.
  std::uint32_t tokens() const { return tokens_; }
  /// @brief Whether the end marker "[DONE]" has arrived.
  bool done() const { return done_; }
  /// @brief Whether a token of another answer, a token out of order, a
  /// malformed event, or any event after the end marker has arrived.
  bool invalid() const { return invalid_; }
  /// @brief Error code of the error event; 0 if none has arrived, -1 if the
  /// event has no code.
  int error() const { return error_; }
  /// @brief Verdict of the error event; kRan if none has arrived.
  Verdict verdict() const { return verdict_; }

 private:
  void HandleEvent(const std::string& data);
  void CheckToken(const std::string& content);

  std::string request_;
  std::string buffer_;
  std::uint32_t tokens_ = 0;
  bool done_ = false;
  bool invalid_ = false;
  int error_ = 0;
  Verdict verdict_ = Verdict::kRan;
};

/// @brief HTTP client that distributes planned requests over the entries
/// round-robin, as a load balancer in front of them would.
/// @note Thread-safe. If the connection to an entry can't be established, the
/// next entry is tried. After a connection was established, the request isn't
/// sent again, so it reaches at most one entry.
class Caller {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param scenario The scenario; must outlive the caller.
  /// @param entries HTTP endpoints of the entries.
  /// @param start Start of the run; planned times are relative to it.
  Caller(const Scenario& scenario, std::vector<Endpoint> entries,
         Clock::time_point start);

  /// @brief Sends one request and blocks until it has ended.
  /// @param planned The request.
  /// @param plan_index Its index in the plan. It selects the first entry to
  /// try and is part of the request id.
  CallRecord Call(const PlannedRequest& planned, std::size_t plan_index) const;

 private:
  struct Exchange;

  /// Sends the request to one entry and fills its record.
  /// @return False if the connection could not be established.
  bool Send(Exchange& exchange, const Endpoint& entry) const;
  /// Time since a planned moment, which is relative to the start of the run.
  Duration ElapsedSince(Duration planned) const;

  const Scenario& scenario_;
  std::vector<Endpoint> entries_;
  Clock::time_point start_;
};

}  // namespace rattanward::load
