#pragma once

#include <memory>
#include <set>
#include <unordered_set>

#include "rattanward/entry/caller_answer.h"
#include "rattanward/entry/relayed_call.h"
#include "rattanward/entry/request_recorder.h"
#include "rattanward/policy/relay_choice.h"

namespace rattanward::entry {

/// @brief Callers' addresses of the other entries.
struct RelayPeers {
  /// Those of the own failure domain.
  std::set<Endpoint> nearby;
  std::set<Endpoint> remote;

  bool empty() const { return nearby.empty() && remote.empty(); }

  friend bool operator==(const RelayPeers&, const RelayPeers&) = default;
};

/// @brief A request that this entry has no path for.
struct UnservedRequest {
  policy::RequestInfo info;
  http::ServerRequest request;
  std::shared_ptr<http::ServerConnection> caller;
  http::Fields common_fields;
};

/// @brief Relays requests to other entries, one after the other until one
/// answers, and refuses those that none can serve.
/// @note Not thread-safe: all calls must be made on the event loop.
class RelayDesk {
 public:
  RelayDesk(asio::io_context& io, const RequestRecorder& recorder,
            RelayPeers peers, std::uint64_t entry_hash);

  bool has_peers() const { return !peers_.empty(); }
  std::size_t open() const { return calls_.size(); }

  void Relay(UnservedRequest request);

  /// @brief Gives each caller the final answer now, because this entry stops.
  void CutShort();

 private:
  struct Pending {
    UnservedRequest unserved;
    std::set<Endpoint> tried;
  };

  void TryNext(const std::shared_ptr<Pending>& pending);
  void OnEnd(const std::shared_ptr<Pending>& pending, const Endpoint& peer,
             RelayEnd end);
  void RecordBroken(const Pending& pending);
  void Fail(const Pending& pending, const Error& error);

  asio::io_context& io_;
  const RequestRecorder& recorder_;
  RelayPeers peers_;
  policy::RelayChoice choice_;
  std::unordered_set<std::shared_ptr<RelayedCall>> calls_;
  bool stopped_ = false;
};

}  // namespace rattanward::entry
