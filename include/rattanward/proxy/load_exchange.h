#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "rattanward/domain/result.h"
#include "rattanward/policy/placer.h"

namespace rattanward::proxy {

/// @brief Tells other entries of a failure domain the own load, in datagrams.
/// @note A lost one is made good by the next; nothing waits for it. Each bears
/// a keyed digest, so that strangers' datagrams are not taken.
class LoadExchange {
 public:
  using Taker = std::function<void(const policy::EntryLoad&)>;

  LoadExchange(asio::io_context& io, std::string secret, Taker taker);

  /// @brief Binds the address.
  /// Errors: kDisconnected.
  Status Start(const Endpoint& endpoint);

  /// @brief Sends a load to some entries.
  void Tell(const policy::EntryLoad& load, const std::set<Endpoint>& peers);

  std::uint64_t refused() const { return refused_; }

 private:
  void Receive();
  void TakeDatagram(std::string_view datagram);

  asio::ip::udp::socket socket_;
  std::string secret_;
  Taker taker_;
  std::array<char, 16U << 10U> buffer_{};
  asio::ip::udp::endpoint sender_;
  std::uint64_t refused_ = 0;
};

}  // namespace rattanward::proxy
