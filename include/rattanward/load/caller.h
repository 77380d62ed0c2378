#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "rattanward/load/report.h"
#include "rattanward/load/scenario.h"

namespace rattanward::load {

/// @brief Reads a streamed answer and checks that it is whole and its own.
/// @note The stand-in engines make each token "REQUEST:NUMBER ".
class StreamReader {
 public:
  /// @brief Makes a reader.
  /// @param request Request id that each token must carry; empty to not check.
  explicit StreamReader(std::string request) : request_(std::move(request)) {}

  /// @brief Takes bytes of the answer.
  /// @return Tokens that these bytes completed.
  std::uint32_t Feed(std::string_view bytes);

  std::uint32_t tokens() const { return tokens_; }
  /// @brief The end marker has arrived.
  bool done() const { return done_; }
  /// @brief A token of another answer, or one out of order, has arrived.
  bool invalid() const { return invalid_; }
  /// @brief Number of the error event that arrived; 0 if none.
  int error() const { return error_; }
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

/// @brief Sends planned requests to entries as a caller behind a balancer.
/// @note Safe to call from many threads. An entry that refuses the connection
/// is passed over; nothing is sent twice.
class Caller {
 public:
  using Clock = std::chrono::steady_clock;

  /// @brief Makes a caller.
  /// @param scenario The scenario; must outlive the caller.
  /// @param entries Endpoints of the entries' HTTP.
  /// @param start Moment of the run to which planned times are relative.
  Caller(const Scenario& scenario, std::vector<Endpoint> entries,
         Clock::time_point start);

  /// @brief Sends one request and waits for its end.
  /// @param planned The request.
  /// @param number Its number in the plan; chooses the entry.
  CallRecord Call(const PlannedRequest& planned, std::size_t plan_index) const;

 private:
  struct Exchange;

  bool Send(Exchange& exchange, const Endpoint& entry) const;
  Duration ElapsedSince(Duration planned) const;

  const Scenario& scenario_;
  std::vector<Endpoint> entries_;
  Clock::time_point start_;
};

}  // namespace rattanward::load
