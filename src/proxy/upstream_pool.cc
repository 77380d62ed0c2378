#include "rattanward/proxy/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace rattanward::proxy {

using http::ClientConnection;

std::shared_ptr<ClientConnection> UpstreamPool::Acquire(
    const UpstreamId& id, const Endpoint& endpoint,
    std::uint32_t connection_limit, TimePoint now) {
  Connections& connections = upstreams_[id];
  while (!connections.idle.empty()) {
    std::shared_ptr<ClientConnection> connection =
        std::move(connections.idle.back());
    connections.idle.pop_back();
    connection->on_idle_closed = nullptr;
    if (connection->Reusable(now) && connection->peer() == endpoint) {
      ++connections.in_use;
      return connection;
    }
    connection->Close();
  }
  if (connections.in_use >= connection_limit) {
    return nullptr;
  }
  ++connections.in_use;
  ++opened_;
  return std::make_shared<ClientConnection>(io_, endpoint);
}

void UpstreamPool::Release(const UpstreamId& id,
                           std::shared_ptr<ClientConnection> connection,
                           TimePoint now) {
  Connections& connections = upstreams_[id];
  connections.in_use -= std::min(connections.in_use, 1U);
  if (!connection->Reusable(now)) {
    connection->Close();
    return;
  }
  connection->on_idle_closed = [this, id](ClientConnection& closed) {
    RemoveIdle(id, closed);
  };
  connections.idle.push_back(std::move(connection));
}

void UpstreamPool::RemoveIdle(const UpstreamId& id,
                              const ClientConnection& connection) {
  std::erase_if(upstreams_[id].idle,
                [&](const auto& idle) { return idle.get() == &connection; });
}

void UpstreamPool::CloseAllIdle(const UpstreamId& id) {
  for (const auto& connection : std::exchange(upstreams_[id].idle, {})) {
    connection->Close();
  }
}

void UpstreamPool::CloseExpired(TimePoint now) {
  for (auto& [id, connections] : upstreams_) {
    std::erase_if(connections.idle, [now](const auto& connection) {
      const bool expired = !connection->Reusable(now);
      if (expired) {
        connection->Close();
      }
      return expired;
    });
  }
  std::erase_if(upstreams_, [](const auto& item) {
    return item.second.in_use == 0 && item.second.idle.empty();
  });
}

bool UpstreamPool::HasOpen(const UpstreamId& id) const {
  const auto found = upstreams_.find(id);
  return found != upstreams_.end() &&
         (found->second.in_use > 0 || !found->second.idle.empty());
}

std::size_t UpstreamPool::open() const {
  std::size_t count = 0;
  for (const auto& [id, connections] : upstreams_) {
    count += connections.in_use + connections.idle.size();
  }
  return count;
}

}  // namespace rattanward::proxy
