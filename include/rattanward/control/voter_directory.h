#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/consensus/message.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::control {

/// @brief Connections to the other control VMs, and who was found there.
/// @note All calls are on the io_context's thread.
class VoterDirectory {
 public:
  /// @param hello What this control VM says of itself now.
  VoterDirectory(asio::io_context& io, adapter::TransportOptions options,
                 Endpoint self, std::function<protocol::VoterHello()> hello);

  /// @brief Keeps a connection to this endpoint; ignored for the own one.
  void ConnectTo(const Endpoint& endpoint);

  /// @brief Says hello at every known endpoint; a new connection starts with
  /// one by itself.
  void SendHellos();

  /// @brief Takes a hello, as a call or an answer.
  void RecordHello(const protocol::VoterHello& hello);

  /// @brief Sends a one-way message; dropped if the voter is not connected.
  /// @param endpoint Where the voter should be; where it was last heard goes
  /// first.
  void Send(const VoterId& voter, const std::optional<Endpoint>& endpoint,
            protocol::MessageKind kind, std::string body);

  /// @brief The newest hello of this data folder; null if never heard.
  const protocol::VoterHello* Find(const VoterId& voter) const;
  /// @brief The newest hello from this endpoint; null if never heard.
  const protocol::VoterHello* FindAt(const Endpoint& endpoint) const;
  /// @brief The newest hello from each endpoint.
  const std::map<Endpoint, protocol::VoterHello>& latest_hellos() const {
    return hellos_;
  }

  /// @brief When an endpoint last said hello; the epoch if it never did.
  TimePoint LastHelloAt(const Endpoint& endpoint) const;

  /// @brief Sends a one-way message to every other control VM that is
  /// connected.
  void SendToAll(protocol::MessageKind kind, const std::string& body);

  /// @brief Closes every connection.
  void Stop();

 private:
  void SendHello(adapter::PeerClient& client, const std::string& body);

  asio::io_context& io_;
  adapter::TransportOptions options_;
  Endpoint self_;
  std::function<protocol::VoterHello()> hello_;
  std::map<Endpoint, std::unique_ptr<adapter::PeerClient>> clients_;
  std::map<Endpoint, protocol::VoterHello> hellos_;
  std::map<Endpoint, TimePoint> hello_times_;
};

}  // namespace rattanward::control
