#pragma once

#include <cerrno>
#include <deque>

namespace rattanward::fakes {

/// @brief Errors that the next calls of accept(), recv() and send() of this
/// program give.
/// @note The test program defines these functions in place of the C library.
struct SocketErrors {
  std::deque<int> accept;
  std::deque<int> read;
  std::deque<int> write;
  int accept_calls = 0;
};

inline SocketErrors& NextSocketErrors() {
  static SocketErrors errors;
  return errors;
}

inline bool TakeError(std::deque<int>* errors) {
  if (errors->empty()) {
    return false;
  }
  errno = errors->front();
  errors->pop_front();
  return true;
}

}  // namespace rattanward::fakes
