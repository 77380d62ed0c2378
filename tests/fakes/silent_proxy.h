#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/domain/ids.h"

namespace rattanward::fakes {

/// @brief Directions in which a proxy swallows bytes.
struct Swallowed {
  bool to_target = false;
  bool from_target = false;
};

/// @brief A TCP relay that can forget connections: they stay open, what is
/// written to them is taken and lost, and neither end learns of it.
/// @note All calls are on the io_context's thread.
class SilentProxy {
 public:
  SilentProxy(asio::io_context& io, const Endpoint& listen, Endpoint target)
      : acceptor_(io, ToTcp(listen)), target_(std::move(target)) {
    Accept();
  }

  Endpoint endpoint() const {
    const auto local = acceptor_.local_endpoint();
    return {local.address().to_string(), local.port()};
  }

  /// @brief Swallows what the present connections carry, for good.
  void Silence(Swallowed swallowed) {
    for (const auto& weak : links_) {
      if (const auto link = weak.lock()) {
        link->swallowed.to_target |= swallowed.to_target;
        link->swallowed.from_target |= swallowed.from_target;
      }
    }
  }

  /// @brief Also swallows what later connections carry; {} ends this.
  void SetNewConnections(Swallowed swallowed) { on_accept_ = swallowed; }

 private:
  using Socket = asio::ip::tcp::socket;

  struct Link {
    explicit Link(Socket accepted)
        : client(std::move(accepted)), target(client.get_executor()) {}
    Socket client;
    Socket target;
    Swallowed swallowed;
    std::array<char, 65536> up{};
    std::array<char, 65536> down{};
  };

  static asio::ip::tcp::endpoint ToTcp(const Endpoint& endpoint) {
    return {asio::ip::make_address(endpoint.address), endpoint.port};
  }

  void Accept() {
    acceptor_.async_accept([this](const asio::error_code& e, Socket socket) {
      if (e) {
        return;
      }
      Open(std::make_shared<Link>(std::move(socket)));
      Accept();
    });
  }

  void Open(const std::shared_ptr<Link>& link) {
    std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
    links_.push_back(link);
    link->swallowed = on_accept_;
    link->target.async_connect(ToTcp(target_),
                               [link](const asio::error_code& e) {
                                 if (!e) {
                                   Pump(link, true);
                                   Pump(link, false);
                                 }
                               });
  }

  /// Relays one direction, until an end closes it.
  static void Pump(const std::shared_ptr<Link>& link, bool to_target) {
    Socket& from = to_target ? link->client : link->target;
    Socket& to = to_target ? link->target : link->client;
    auto& buffer = to_target ? link->up : link->down;
    from.async_read_some(
        asio::buffer(buffer), [link, to_target, &to, &buffer](
                                  const asio::error_code& e, std::size_t n) {
          const bool lost = to_target ? link->swallowed.to_target
                                      : link->swallowed.from_target;
          if (e) {
            PassEnd(to, lost);
          } else if (lost) {
            Pump(link, to_target);
          } else {
            asio::async_write(
                to, asio::buffer(buffer.data(), n),
                [link, to_target](const asio::error_code& failed, std::size_t) {
                  if (!failed) {
                    Pump(link, to_target);
                  }
                });
          }
        });
  }

  /// Passes an end of stream on, unless it is swallowed as well.
  static void PassEnd(Socket& to, bool lost) {
    asio::error_code ignored;
    if (!lost) {
      to.shutdown(Socket::shutdown_send, ignored);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  Endpoint target_;
  Swallowed on_accept_;
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace rattanward::fakes
