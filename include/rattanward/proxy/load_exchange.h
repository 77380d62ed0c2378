#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "rattanward/domain/result.h"
#include "rattanward/policy/placer.h"
#include "rattanward/protocol/load_messages.h"

namespace rattanward::proxy {

/// @brief Tells other entries the own load, in datagrams: directly, or by
/// relays that pass it on to the entries of their failure domain.
/// @note A lost one is made good by the next; nothing waits for it. Each bears
/// a keyed digest, so that strangers' datagrams are not taken.
class LoadExchange {
 public:
  using LoadHandler = std::function<void(const policy::EntryLoad&)>;

  LoadExchange(asio::io_context& io, std::string secret, LoadHandler on_load);

  /// @brief Binds the address.
  /// Errors: kDisconnected.
  Status Start(const Endpoint& endpoint);

  /// @brief The bound address.
  Endpoint endpoint() const;

  /// @brief Takes the entries to which loads are passed on.
  void SetRelayTargets(std::set<Endpoint> targets) {
    relay_targets_ = std::move(targets);
  }

  /// @brief Sends a load to some entries.
  void SendLoad(const policy::EntryLoad& load, const std::set<Endpoint>& peers);

  /// @brief Sends a load to relays, which pass it on.
  void SendViaRelays(const policy::EntryLoad& load,
                     const std::set<Endpoint>& relays);

  /// @brief Datagrams that were not taken.
  std::uint64_t rejected() const { return rejected_; }
  /// @brief Datagrams that could not be sent; the next ones make up for them.
  std::uint64_t send_failures() const { return send_failures_; }
  /// @brief Loads that were passed on.
  std::uint64_t relayed() const { return relayed_; }

 private:
  void Receive();
  void HandleDatagram(std::string_view datagram);
  void Send(const protocol::LoadTold& load_message,
            const std::set<Endpoint>& peers);

  asio::ip::udp::socket socket_;
  std::string secret_;
  LoadHandler on_load_;
  std::array<char, 16U << 10U> buffer_{};
  asio::ip::udp::endpoint sender_;
  std::set<Endpoint> relay_targets_;
  std::uint64_t rejected_ = 0;
  std::uint64_t send_failures_ = 0;
  std::uint64_t relayed_ = 0;
};

}  // namespace rattanward::proxy
