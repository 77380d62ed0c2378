#pragma once

#include <sys/socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "fakes/silent_proxy.h"

namespace rattanward::fakes {

/// @brief An endpoint to which connections are never established: the opening
/// packets are dropped, as behind a partition.
class DroppingEndpoint {
 public:
  explicit DroppingEndpoint(asio::io_context& io)
      : acceptor_(io, asio::ip::tcp::v4()) {
    acceptor_.bind({asio::ip::make_address_v4("127.0.0.1"), 0});
    acceptor_.listen(0);
    FillQueue(io);
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  /// The queue takes a connection more than its length; the rest is dropped.
  void FillQueue(asio::io_context& io) {
    constexpr int kMoreThanQueue = 4;
    for (int i = 0; i < kMoreThanQueue; ++i) {
      asio::ip::tcp::socket socket(io);
      asio::error_code ignored;
      socket.open(asio::ip::tcp::v4(), ignored);
      socket.native_non_blocking(true, ignored);
      // Asio's own call waits for the connection.
      const auto to = acceptor_.local_endpoint();
      // It fails with EINPROGRESS, as it is to stay under way.
      static_cast<void>(::connect(socket.native_handle(), to.data(),
                                  static_cast<socklen_t>(to.size())));
      waiting_.push_back(std::move(socket));
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<asio::ip::tcp::socket> waiting_;
};

}  // namespace rattanward::fakes
