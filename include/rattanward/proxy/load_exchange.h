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

/// @brief Exchanges load reports with other entries over UDP.
/// @note A report is sent directly, or to relays that forward it to the
/// entries of their failure domain. Delivery isn't acknowledged: each report
/// replaces the one before. Datagrams are authenticated by a keyed digest.
class LoadExchange {
 public:
  using LoadHandler = std::function<void(const policy::EntryLoad&)>;

  LoadExchange(asio::io_context& io, std::string secret, LoadHandler on_load);

  /// @brief Binds the address and starts to receive.
  /// Errors: kDisconnected.
  Status Start(const Endpoint& endpoint);

  /// @brief Returns the bound address.
  Endpoint endpoint() const;

  /// @brief Sets the entries to which this entry forwards relayed reports.
  void SetRelayTargets(std::set<Endpoint> targets) {
    relay_targets_ = std::move(targets);
  }

  /// @brief Sends a load report directly to peers.
  void SendLoad(const policy::EntryLoad& load, const std::set<Endpoint>& peers);

  /// @brief Sends a load report to relays, which forward it.
  void SendViaRelays(const policy::EntryLoad& load,
                     const std::set<Endpoint>& relays);

  /// @brief Number of datagrams rejected as malformed or not authentic.
  std::uint64_t rejected() const { return rejected_; }
  /// @brief Number of datagrams that could not be sent. They are not resent:
  /// the next report replaces them.
  std::uint64_t send_failures() const { return send_failures_; }
  /// @brief Number of reports forwarded as a relay.
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
