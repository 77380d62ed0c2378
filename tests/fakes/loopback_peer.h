#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::fakes {

/// @brief One end of a TCP connection whose bytes a test sends and inspects.
class LoopbackPeer : public std::enable_shared_from_this<LoopbackPeer> {
 public:
  explicit LoopbackPeer(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  /// @brief Connects to an endpoint.
  static std::shared_ptr<LoopbackPeer> Connect(asio::io_context& io,
                                               const Endpoint& endpoint) {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    auto peer = std::make_shared<LoopbackPeer>(std::move(socket));
    peer->Start();
    return peer;
  }

  void Start() { Read(); }

  void Send(const std::string& bytes) {
    std::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }

  /// @brief Closes the connection normally, or with a TCP reset.
  void Close(bool reset = false) {
    std::error_code ignored;
    if (reset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
  }

  const std::string& received() const { return received_; }
  void ClearReceived() { received_.clear(); }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }

  std::function<void(LoopbackPeer&)> on_bytes;

 private:
  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const std::error_code& e, std::size_t n) {
          self->received_.append(self->buffer_.data(), n);
          if (e) {
            self->ended_ = true;
            self->reset_ = e != asio::error::eof;
            return;
          }
          if (self->on_bytes) {
            self->on_bytes(*self);
          }
          self->Read();
        });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

/// @brief An upstream on loopback whose responses the test defines.
class LoopbackUpstream {
 public:
  /// @brief Handles a request, given as text with its connection.
  using Handler =
      std::function<void(LoopbackPeer& connection, const std::string& request)>;

  LoopbackUpstream(asio::io_context& io, Handler handler)
      : acceptor_(io, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        handler_(std::move(handler)) {
    Accept();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  const std::vector<std::string>& requests() const { return requests_; }
  const std::vector<std::shared_ptr<LoopbackPeer>>& connections() const {
    return connections_;
  }

  /// @brief Stops accepting connections.
  void Stop() {
    std::error_code ignored;
    acceptor_.close(ignored);
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const std::error_code& e, asio::ip::tcp::socket socket) {
          if (e) {
            return;
          }
          auto peer = std::make_shared<LoopbackPeer>(std::move(socket));
          peer->on_bytes = [this](LoopbackPeer& from) { HandleBytes(from); };
          connections_.push_back(peer);
          peer->Start();
          Accept();
        });
  }

  void HandleBytes(LoopbackPeer& from) {
    const std::string& text = from.received();
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos) {
      return;
    }
    constexpr std::size_t kBlankLine = 4;
    const std::size_t field = text.find("Content-Length: ");
    std::size_t length = 0;
    if (field != std::string::npos && field < head) {
      length = std::stoul(
          text.substr(field + std::string("Content-Length: ").size()));
    }
    if (text.size() < head + kBlankLine + length) {
      return;
    }
    requests_.push_back(text);
    const std::string request = text;
    from.ClearReceived();
    handler_(from, request);
  }

  asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  std::vector<std::string> requests_;
  std::vector<std::shared_ptr<LoopbackPeer>> connections_;
};

}  // namespace rattanward::fakes
