#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <variant>

#include "rattanward/domain/error.h"

namespace rattanward::entry {

/// @brief The first token has arrived; the streamed answer begins.
struct AnswerBegin {};

/// @brief One event of a streamed answer, without framing.
struct AnswerEvent {
  std::string data;
};

/// @brief The streamed answer has ended whole.
struct AnswerEnd {};

/// @brief A whole answer that is not streamed.
struct WholeAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

using AnswerItem =
    std::variant<AnswerBegin, AnswerEvent, AnswerEnd, WholeAnswer, Error>;

/// @brief Carries one answer from the exchange's thread to the caller's.
class AnswerChannel {
 public:
  /// @brief Adds an item; wakes the reader.
  /// @return False once the caller has left.
  bool Push(AnswerItem item);

  /// @brief Waits for items and takes all that are there, in order.
  std::deque<AnswerItem> Take();

  /// @brief Tells the exchange that the caller has left.
  void Leave();

  /// @brief Whether the caller has left.
  bool left() const;

  /// @brief Sets what runs, once, when the caller leaves.
  /// @note Runs at once if the caller has left already; empty clears it.
  void OnLeave(std::function<void()> fn);

 private:
  mutable std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<AnswerItem> items_;
  std::function<void()> on_leave_;
  bool left_ = false;
};

}  // namespace rattanward::entry
