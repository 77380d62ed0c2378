#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::fakes {

/// @brief Actions of a scripted upstream on one connection.
struct ConnectionScript {
  /// Read the request head before sending the answer.
  bool read_request = true;
  /// Bytes to send; may be empty.
  std::string answer;
  /// Keep the connection open without sending more, instead of closing it.
  bool keep_open = false;
};

/// @brief An upstream that runs one script for each connection, in order.
/// @note Connections after the last script are closed at once.
class ScriptedUpstream {
 public:
  explicit ScriptedUpstream(std::vector<ConnectionScript> scripts)
      : scripts_(std::move(scripts)),
        acceptor_(io_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}

  ~ScriptedUpstream() {
    stopping_ = true;
    std::error_code ignored;
    asio::ip::tcp::socket wake_up(io_);
    wake_up.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  /// @brief Number of complete request heads read so far.
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  void Serve() {
    std::vector<asio::ip::tcp::socket> open_sockets;
    while (true) {
      asio::ip::tcp::socket socket(io_);
      std::error_code error;
      acceptor_.accept(socket, error);
      if (stopping_ || error) {
        return;
      }
      const auto index = static_cast<std::size_t>(connections_++);
      if (index < scripts_.size()) {
        RunScript(scripts_[index], socket);
        if (scripts_[index].keep_open) {
          open_sockets.push_back(std::move(socket));
        }
      }
    }
  }

  void RunScript(const ConnectionScript& script,
                 asio::ip::tcp::socket& socket) {
    std::error_code error;
    if (script.read_request) {
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n", error);
      requests_ += error ? 0 : 1;
    }
    asio::write(socket, asio::buffer(script.answer), error);
    if (script.keep_open) {
      return;
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    // Closing a socket with unread bytes resets the connection, and the peer
    // may then lose an answer that it has not read yet.
    char rest[1024];
    while (script.read_request && !error) {
      socket.read_some(asio::buffer(rest), error);
    }
  }

  std::vector<ConnectionScript> scripts_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

/// @brief Response head of the event stream for a request.
inline std::string StreamHead(const std::string& request_id) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Connection: close\r\nX-Request-Id: " +
         request_id + "\r\n\r\n";
}

/// @brief Serializes one numbered event.
inline std::string StreamEvent(std::uint64_t number, const std::string& data) {
  return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

/// @brief Complete HTTP response with a JSON body.
inline std::string JsonReply(int status, const std::string& body,
                             const std::string& request_id) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "X-Request-Id: " +
         request_id + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace rattanward::fakes
