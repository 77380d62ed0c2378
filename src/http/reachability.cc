#include "rattanward/http/reachability.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace rattanward::http {
namespace {

using asio::ip::tcp;

/// A connection attempt and its timeout. Whichever ends first decides the
/// result.
struct Attempt {
  explicit Attempt(asio::io_context& io) : socket(io), timer(io) {}

  void Complete(bool reached) {
    if (const auto callback = std::exchange(done, nullptr)) {
      asio::error_code ignored;
      socket.close(ignored);
      timer.cancel();
      callback(reached);
    }
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(bool)> done;
};

}  // namespace

void CheckReachable(asio::io_context& io, const Endpoint& endpoint,
                    Duration timeout, std::function<void(bool reached)> done) {
  const auto attempt = std::make_shared<Attempt>(io);
  attempt->done = std::move(done);
  asio::error_code e;
  const auto address = asio::ip::make_address(endpoint.address, e);
  attempt->socket.async_connect(tcp::endpoint(address, endpoint.port),
                                [attempt](const asio::error_code& failed) {
                                  attempt->Complete(!failed);
                                });
  attempt->timer.expires_after(timeout);
  attempt->timer.async_wait([attempt](const asio::error_code& cancelled) {
    if (!cancelled) {
      attempt->Complete(false);
    }
  });
}

}  // namespace rattanward::http
