#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <deque>

namespace rattanward::fakes {

/// @brief Errors that the next calls of accept(), recv() and send() of this
/// program give.
/// @note Include in one source file of a test program only: it replaces these
/// functions of the C library.
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

extern "C" {

/// An aborted connection has left the queue; other errors leave it there.
int accept(int socket, sockaddr* address, socklen_t* length) {
  rattanward::fakes::SocketErrors& errors =
      rattanward::fakes::NextSocketErrors();
  ++errors.accept_calls;
  if (!errors.accept.empty() && errors.accept.front() == ECONNABORTED) {
    ::close(::accept4(socket, address, length, 0));
  }
  if (rattanward::fakes::TakeError(&errors.accept)) {
    return -1;
  }
  return ::accept4(socket, address, length, 0);
}

ssize_t recv(int socket, void* bytes, size_t size, int flags) {
  if (rattanward::fakes::TakeError(
          &rattanward::fakes::NextSocketErrors().read)) {
    return -1;
  }
  return ::recvfrom(socket, bytes, size, flags, nullptr, nullptr);
}

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
  if (rattanward::fakes::TakeError(
          &rattanward::fakes::NextSocketErrors().write)) {
    return -1;
  }
  return ::sendto(socket, bytes, size, flags, nullptr, 0);
}
}
