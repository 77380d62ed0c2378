#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rattanward/adapter/message_transport.h"
#include "rattanward/domain/bounded_set.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/time.h"
#include "rattanward/membership/endpoint_book.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/room_share.h"
#include "rattanward/port/event_sink.h"
#include "rattanward/protocol/routing_messages.h"

namespace rattanward::proxy {

/// @brief Callbacks for messages from control.
/// @note They run on the io_context's thread.
struct ControlLinkHooks {
  /// A routing push, possibly not newer than the current routes. It is applied
  /// or rejected before the callback returns.
  std::function<void(const protocol::RoutingPush&)> routing;
  std::function<void(const std::vector<membership::InstanceRecord>&)> instances;
  std::function<void(const protocol::CrashesTold&)> crashes;
  /// Upstreams that departed and that control knows no start of. The report
  /// that follows tells it.
  std::function<void(const std::vector<UpstreamId>&)> departed;
  /// What this entry knows of crashes, for a control VM that may know nothing
  /// yet; may be empty.
  std::function<protocol::CrashesTold()> known_crashes;
  /// What this entry knows against parts of prompts, for a control VM that may
  /// know nothing yet.
  std::function<std::vector<policy::PartSuspicion>()> suspicions;
  /// Limits that upstreams named, for a control VM that may know none yet.
  std::function<std::vector<UpstreamLimit>()> limits;
  /// What runs and waits at this entry.
  std::function<std::vector<policy::ServiceDemand>()> demand;
  /// A confirmed leader answered a report sent at the given time with this
  /// entry's shares in those limits.
  std::function<void(TimePoint sent, const std::vector<policy::LimitShare>&)>
      limit_shares;
  std::function<void(TimePoint sent, const policy::RoomShare& share)>
      room_share;
  /// A confirmed leader answered a report sent at the given time. It named the
  /// newest committed version of the routes.
  std::function<void(TimePoint sent, ConfigVersion committed, Duration history)>
      confirmed;
  /// The list of entries, from the latest report of a confirmed leader.
  std::function<void(const protocol::ControlReport&)> entries;
  /// Counts of the requests that began to run, for the next report; may be
  /// empty.
  std::function<std::vector<protocol::UsageWindow>()> usage;
  /// Any control VM answered a report sent at the given time; may be empty.
  std::function<void(const Endpoint& control, TimePoint sent,
                     const protocol::ControlReport&)>
      answered;
  port::EventSink events;
};

/// @brief Maintains an entry's connections to all control VMs.
class ControlLink {
 public:
  /// @param options Transport settings for the connections.
  /// @param self Report template with this entry's constant fields set.
  /// @param hooks Callbacks for messages from control.
  ControlLink(asio::io_context& io, adapter::TransportOptions options,
              protocol::EntryReport self, ControlLinkHooks hooks);

  /// @brief Connects to the seeds, in place of those set before.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// @brief Connects to a control VM.
  /// @note Does nothing if the endpoint is already known or has port 0. If the
  /// maximum number of control VMs is reached, one that is not connected makes
  /// room; see membership::EndpointBook.
  void ConnectTo(const Endpoint& endpoint);

  /// @brief Number of control VMs known, connected or not.
  std::size_t known() const { return controls_.size(); }

  /// @brief Sets the routing version stated in subsequent reports.
  void SetRouting(ConfigVersion version) { self_.routing = version; }

  /// @brief Includes a crash in subsequent reports; duplicates are ignored.
  void AddWitness(const protocol::CrashWitness& witness);

  /// @brief Includes cleared witnesses in subsequent reports in place of the
  /// crashes.
  void AddCleared(const std::vector<protocol::CrashWitness>& cleared);

  /// @brief Includes suspicions in subsequent reports until a control VM has
  /// told them, or stronger ones, to this entry.
  void AddSuspicions(const std::vector<policy::PartSuspicion>& suspicions);

  /// @brief Includes an upstream that is leaving in the next reports.
  void AddLeaving(const membership::InstanceStart& upstream);

  /// @brief Includes what an upstream named as its limit in the next reports.
  void AddLimit(const UpstreamLimit& limit);

  /// @brief Sends a report to every control VM.
  void SendReports();

  /// @brief Number of connected control VMs.
  std::size_t connected() const;

  void Stop();

 private:
  static constexpr std::size_t kMaxControlVms = 32;
  /// Maximum number of crashes kept, and of cleared ones; every report includes
  /// all of them.
  static constexpr std::size_t kMaxWitnesses = 64;

  struct Control {
    std::unique_ptr<adapter::PeerClient> client;
    std::uint64_t push_heeded = 0;
  };

  bool IsConnected(const Endpoint& endpoint) const;
  void OnConnected(const Endpoint& endpoint);
  void TellCrashes(Control& control);
  void SendReport(const Endpoint& endpoint, Control& control);
  void HandlePush(const Endpoint& endpoint, const protocol::Envelope& envelope);
  void ConfirmSuspicions(const std::vector<policy::PartSuspicion>& told);
  void HandleReport(const Endpoint& endpoint, TimePoint sent,
                    const protocol::Envelope& envelope);

  asio::io_context& io_;
  adapter::TransportOptions options_;
  protocol::EntryReport self_;
  ControlLinkHooks hooks_;
  membership::EndpointBook book_{kMaxControlVms};
  std::map<Endpoint, Control> controls_;
  BoundedSet<protocol::CrashWitness> witnesses_{kMaxWitnesses};
  BoundedSet<protocol::CrashWitness> cleared_{kMaxWitnesses};
  /// With the time until which they are reported.
  std::vector<std::pair<TimePoint, membership::InstanceStart>> leaving_;
  /// By upstream, with the time until which they are reported.
  std::map<UpstreamId, std::pair<TimePoint, UpstreamLimit>> limits_;
  /// By part.
  std::map<std::uint64_t, policy::PartSuspicion> unconfirmed_suspicions_;
};

}  // namespace rattanward::proxy
