#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/consensus/message.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/endpoint_book.h"
#include "rattanward/protocol/control_messages.h"

namespace rattanward::control {

/// @brief Connections to the other control VMs, and the hellos received from
/// them.
/// @note All calls must be on the io_context's thread.
class VoterDirectory {
 public:
  /// @param self Peer endpoint of this control VM.
  /// @param hello Returns the current hello of this control VM.
  VoterDirectory(asio::io_context& io, adapter::TransportOptions options,
                 Endpoint self, std::function<protocol::VoterHello()> hello);

  /// @brief Connects to the seeds, in place of those set before.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// @brief Opens a connection to this endpoint and keeps it open. Ignored for
  /// this control VM's own endpoint and for port 0. Beyond the limit on
  /// endpoints, one that is not connected makes room; see
  /// membership::EndpointBook.
  void ConnectTo(const Endpoint& endpoint);

  /// @brief Sends a hello to every known endpoint. A new connection sends its
  /// first hello on its own.
  void SendHellos();

  /// @brief Records a hello that arrived as a request or as an answer, and
  /// connects to its sender and to the members that the sender knows.
  void RecordHello(const protocol::VoterHello& hello);

  /// @brief Sends a one-way message. It is dropped if the voter is not
  /// connected.
  /// @param endpoint Endpoint to use if the voter has not sent a hello. The
  /// endpoint of its hello takes precedence.
  void Send(const VoterId& voter, const std::optional<Endpoint>& endpoint,
            protocol::MessageKind kind, std::string body);

  /// @brief The hello of the voter with this id; null if there is none.
  const protocol::VoterHello* Find(const VoterId& voter) const;
  /// @brief The newest hello from this endpoint; null if there is none.
  const protocol::VoterHello* FindAt(const Endpoint& endpoint) const;
  /// @brief The newest hello of each endpoint.
  const std::map<Endpoint, protocol::VoterHello>& latest_hellos() const {
    return hellos_;
  }

  /// @brief Time of the last hello from an endpoint; the epoch if there is
  /// none.
  TimePoint LastHelloAt(const Endpoint& endpoint) const;

  /// @brief Sends a one-way message to every connected control VM.
  void SendToAll(protocol::MessageKind kind, const std::string& body);

  /// @brief Sends a message to every connected control VM and waits for the
  /// answers.
  /// @param on_answer Called with each answer that arrives in time.
  void CallAll(protocol::MessageKind kind, const std::string& body,
               Duration timeout,
               const std::function<void(const protocol::Envelope&)>& on_answer);

  /// @brief Sends a message to a voter and waits for its answer.
  /// Errors: as PeerClient::Call(); kDisconnected if the voter is unknown.
  void Call(const VoterId& voter, protocol::MessageKind kind, std::string body,
            Duration timeout, adapter::PeerClient::CallCallback callback);

  /// @brief Sends a one-way message to the control VM at an endpoint. It is
  /// dropped if that is not connected.
  void SendTo(const Endpoint& endpoint, protocol::MessageKind kind,
              std::string body);

  /// @brief Sets what is called with the endpoint of each new connection.
  void OnConnected(std::function<void(const Endpoint&)> handler) {
    on_connected_ = std::move(handler);
  }

  /// @brief Closes every connection.
  void Stop();

 private:
  /// Maximum number of endpoints to connect to and to record hellos from.
  /// Hellos could name any number of endpoints.
  static constexpr std::size_t kMaxEndpoints = 64;

  void SendHello(adapter::PeerClient& client, const std::string& body);
  void OnConnected(const Endpoint& endpoint);
  void ConnectToMembersOf(const protocol::VoterHello& hello);

  asio::io_context& io_;
  adapter::TransportOptions options_;
  Endpoint self_;
  std::function<protocol::VoterHello()> hello_;
  std::function<void(const Endpoint&)> on_connected_;
  membership::EndpointBook book_{kMaxEndpoints};
  std::map<Endpoint, std::unique_ptr<adapter::PeerClient>> clients_;
  std::map<Endpoint, protocol::VoterHello> hellos_;
  std::map<Endpoint, TimePoint> hello_times_;
};

}  // namespace rattanward::control
