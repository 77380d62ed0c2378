#include "rattanward/control/voter_directory.h"

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

constexpr Duration kHelloTimeout{std::chrono::seconds(1)};

}  // namespace

VoterDirectory::VoterDirectory(asio::io_context& io,
                               adapter::TransportOptions options, Endpoint self,
                               std::function<protocol::VoterHello()> hello)
    : io_(io),
      options_(std::move(options)),
      self_(std::move(self)),
      hello_(std::move(hello)) {}

void VoterDirectory::SetSeeds(const std::vector<Endpoint>& seeds) {
  book_.SetSeeds(seeds);
  for (const Endpoint& seed : seeds) {
    ConnectTo(seed);
  }
}

void VoterDirectory::ConnectTo(const Endpoint& endpoint) {
  if (endpoint == self_ || endpoint.port == 0) {
    return;
  }
  const membership::EndpointBook::Outcome outcome =
      book_.Name(endpoint, adapter::MonotonicNow(), [this](const Endpoint& e) {
        const auto client = clients_.find(e);
        return client != clients_.end() && client->second->connected();
      });
  if (outcome.dropped && options_.events) {
    options_.events({EventId::kControlForgotten,
                     {{"dropped", ToString(*outcome.dropped)},
                      {"for", ToString(endpoint)}}});
  }
  if (outcome.dropped) {
    clients_.erase(*outcome.dropped);
    hellos_.erase(*outcome.dropped);
    hello_times_.erase(*outcome.dropped);
  }
  if (!outcome.added) {
    return;
  }
  auto client = std::make_unique<adapter::PeerClient>(
      io_, options_, endpoint, adapter::PeerClient::PushHandler(),
      [this, endpoint](const ProcessId&) { OnConnected(endpoint); });
  client->Start();
  clients_[endpoint] = std::move(client);
}

void VoterDirectory::OnConnected(const Endpoint& endpoint) {
  const auto client = clients_.find(endpoint);
  if (client == clients_.end()) {
    return;
  }
  book_.RecordHeard(endpoint, adapter::MonotonicNow());
  SendHello(*client->second, protocol::Encode(hello_()));
  if (on_connected_) {
    on_connected_(endpoint);
  }
}

void VoterDirectory::SendHellos() {
  const std::string body = protocol::Encode(hello_());
  for (const auto& [endpoint, client] : clients_) {
    SendHello(*client, body);
  }
}

void VoterDirectory::SendHello(adapter::PeerClient& client,
                               const std::string& body) {
  protocol::Envelope envelope;
  envelope.kind = protocol::MessageKind::kVoterHello;
  envelope.body = body;
  client.Call(std::move(envelope), kHelloTimeout,
              [this](const Result<protocol::Envelope>& answer) {
                if (!answer) {
                  return;
                }
                const auto hello =
                    protocol::Decode<protocol::VoterHello>(answer.value().body);
                if (hello) {
                  RecordHello(hello.value());
                }
              });
}

void VoterDirectory::RecordHello(const protocol::VoterHello& hello) {
  if (hello.peer_endpoint == self_) {
    return;
  }
  ConnectTo(hello.peer_endpoint);
  if (!book_.Knows(hello.peer_endpoint)) {
    return;
  }
  book_.RecordHeard(hello.peer_endpoint, adapter::MonotonicNow());
  hellos_[hello.peer_endpoint] = hello;
  hello_times_[hello.peer_endpoint] = adapter::MonotonicNow();
  ConnectToMembersOf(hello);
}

/// A control VM at a new address knows only its seeds, and the leader need not
/// be one of them.
void VoterDirectory::ConnectToMembersOf(const protocol::VoterHello& hello) {
  const auto membership = consensus::DecodeMembership(hello.membership);
  if (!membership) {
    return;
  }
  for (const consensus::Member& member : membership.value().members) {
    ConnectTo(member.endpoint);
  }
}

void VoterDirectory::Send(const VoterId& voter,
                          const std::optional<Endpoint>& endpoint,
                          protocol::MessageKind kind, std::string body) {
  const protocol::VoterHello* hello = Find(voter);
  const std::optional<Endpoint> to =
      hello == nullptr ? endpoint : std::optional(hello->peer_endpoint);
  if (!to) {
    return;
  }
  ConnectTo(*to);
  SendTo(*to, kind, std::move(body));
}

const protocol::VoterHello* VoterDirectory::Find(const VoterId& voter) const {
  for (const auto& [endpoint, hello] : hellos_) {
    if (hello.id == voter) {
      return &hello;
    }
  }
  return nullptr;
}

const protocol::VoterHello* VoterDirectory::FindAt(
    const Endpoint& endpoint) const {
  const auto it = hellos_.find(endpoint);
  return it == hellos_.end() ? nullptr : &it->second;
}

TimePoint VoterDirectory::LastHelloAt(const Endpoint& endpoint) const {
  const auto it = hello_times_.find(endpoint);
  return it == hello_times_.end() ? TimePoint() : it->second;
}

void VoterDirectory::SendToAll(protocol::MessageKind kind,
                               const std::string& body) {
  for (const auto& [endpoint, client] : clients_) {
    protocol::Envelope envelope;
    envelope.kind = kind;
    envelope.body = body;
    client->Send(std::move(envelope));
  }
}

void VoterDirectory::CallAll(
    protocol::MessageKind kind, const std::string& body, Duration timeout,
    const std::function<void(const protocol::Envelope&)>& on_answer) {
  for (const auto& [endpoint, client] : clients_) {
    protocol::Envelope envelope;
    envelope.kind = kind;
    envelope.body = body;
    client->Call(std::move(envelope), timeout,
                 [on_answer](const Result<protocol::Envelope>& answer) {
                   if (answer) {
                     on_answer(answer.value());
                   }
                 });
  }
}

void VoterDirectory::Call(const VoterId& voter, protocol::MessageKind kind,
                          std::string body, Duration timeout,
                          adapter::PeerClient::CallCallback callback) {
  const protocol::VoterHello* hello = Find(voter);
  const auto client =
      hello == nullptr ? clients_.end() : clients_.find(hello->peer_endpoint);
  if (client == clients_.end()) {
    callback(
        MakeError(ErrorCode::kDisconnected, "unknown voter " + voter.str()));
    return;
  }
  protocol::Envelope envelope;
  envelope.kind = kind;
  envelope.body = std::move(body);
  client->second->Call(std::move(envelope), timeout, std::move(callback));
}

void VoterDirectory::SendTo(const Endpoint& endpoint,
                            protocol::MessageKind kind, std::string body) {
  const auto client = clients_.find(endpoint);
  if (client != clients_.end()) {
    protocol::Envelope envelope;
    envelope.kind = kind;
    envelope.body = std::move(body);
    client->second->Send(std::move(envelope));
  }
}

void VoterDirectory::Stop() {
  for (const auto& [endpoint, client] : clients_) {
    client->Stop();
  }
}

}  // namespace rattanward::control
