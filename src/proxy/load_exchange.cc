#include "rattanward/proxy/load_exchange.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <asio/buffer.hpp>
#include <utility>

#include "rattanward/protocol/load_messages.h"

namespace rattanward::proxy {
namespace {

using asio::ip::udp;

constexpr std::size_t kDigestBytes = 16;

/// Returns the first half of an HMAC-SHA256.
std::string Digest(const std::string& secret, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return std::string(reinterpret_cast<const char*>(digest.data()),
                     kDigestBytes);
}

}  // namespace

LoadExchange::LoadExchange(asio::io_context& io, std::string secret,
                           LoadHandler on_load)
    : socket_(io), secret_(std::move(secret)), on_load_(std::move(on_load)) {}

Status LoadExchange::Start(const Endpoint& endpoint) {
  asio::error_code e;
  const auto address = asio::ip::make_address(endpoint.address, e);
  const udp::endpoint local(address, endpoint.port);
  if (!e) {
    socket_.open(local.protocol(), e);
  }
  if (!e) {
    socket_.bind(local, e);
  }
  if (!e) {
    socket_.non_blocking(true, e);
  }
  if (e) {
    return MakeError(
        ErrorCode::kDisconnected,
        ToString(endpoint) +
            ": cannot open the UDP socket for load reports: " + e.message());
  }
  Receive();
  return outcome::success();
}

Endpoint LoadExchange::endpoint() const {
  const udp::endpoint local = socket_.local_endpoint();
  return {local.address().to_string(), local.port()};
}

void LoadExchange::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const asio::error_code& e, std::size_t count) {
        if (e == asio::error::operation_aborted) {
          return;
        }
        if (!e) {
          HandleDatagram(std::string_view(buffer_.data(), count));
        }
        Receive();
      });
}

void LoadExchange::HandleDatagram(std::string_view datagram) {
  if (datagram.size() <= kDigestBytes) {
    ++rejected_;
    return;
  }
  const std::string_view body = datagram.substr(kDigestBytes);
  if (Digest(secret_, body) != datagram.substr(0, kDigestBytes)) {
    ++rejected_;
    return;
  }
  const auto load_message = protocol::Decode<protocol::LoadTold>(body);
  if (!load_message) {
    ++rejected_;
    return;
  }
  on_load_(protocol::ToEntryLoad(load_message.value()));
  if (load_message.value().relay) {
    protocol::LoadTold forwarded = load_message.value();
    forwarded.relay = false;
    ++relayed_;
    Send(forwarded, relay_targets_);
  }
}

void LoadExchange::SendLoad(const policy::EntryLoad& load,
                            const std::set<Endpoint>& peers) {
  Send(protocol::ToMessage(load), peers);
}

void LoadExchange::SendViaRelays(const policy::EntryLoad& load,
                                 const std::set<Endpoint>& relays) {
  protocol::LoadTold load_message = protocol::ToMessage(load);
  load_message.relay = true;
  Send(load_message, relays);
}

void LoadExchange::Send(const protocol::LoadTold& load_message,
                        const std::set<Endpoint>& peers) {
  if (peers.empty()) {
    return;
  }
  const std::string body = protocol::Encode(load_message);
  const std::string datagram = Digest(secret_, body) + body;
  for (const Endpoint& peer : peers) {
    asio::error_code e;
    const udp::endpoint to(asio::ip::make_address(peer.address, e), peer.port);
    if (!e) {
      socket_.send_to(asio::buffer(datagram), to, 0, e);
    }
    if (e) {
      ++send_failures_;
    }
  }
}

}  // namespace rattanward::proxy
