#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server.h"
#include "rattanward/proxy/control_link.h"
#include "rattanward/proxy/load_exchange.h"
#include "rattanward/proxy/proxy.h"

namespace rattanward::proxy {

/// @brief Settings of an event-driven entry.
struct EntryNodeOptions {
  ProxyOptions proxy;
  /// Address of the load balancer's readiness check.
  Endpoint ready;
  std::string ready_path;
  /// UDP address for load reports from other entries.
  Endpoint peer_listen;
  std::vector<Endpoint> control;
  std::string secret;
  /// Time from the shutdown request until the process is killed.
  Duration grace{std::chrono::seconds(8)};
  std::function<Result<RoutingDeclaration>(const std::string&)> decode_routing;
};

/// @brief An entry: its data path, its readiness check, and its connections to
/// control and to the other entries.
class EntryNode {
 public:
  EntryNode(asio::io_context& io, EntryNodeOptions options,
            const Dialect& dialect, port::EventSink events);

  /// @brief Binds all addresses and starts the entry.
  /// Errors: kDisconnected.
  Status Start();

  /// @brief Connects to the seeds, in place of those set before.
  void SetControlSeeds(const std::vector<Endpoint>& seeds) {
    link_.SetSeeds(seeds);
  }

  /// @brief Shuts down gracefully.
  /// @param done Called once all requests are finished, or shortly before the
  /// grace period ends. Every request has then got a final answer; see
  /// policy::StopPlan.
  /// @note Reports not ready from now on. New requests are served until the
  /// balancer has had time to notice, and rejected afterwards.
  void Shutdown(std::function<void()> done);

  Proxy& proxy() { return proxy_; }

  /// @brief Returns counters, gauges and histograms as scrape text.
  std::string ScrapeText() const;

  adapter::AsioTimerService& timers() { return timers_; }

 private:
  ControlLinkHooks LinkHooks();
  void HandleRoutingPush(const protocol::RoutingPush& push);
  Result<std::string> RoutingText(const protocol::RoutingPush& push) const;
  void RejectRouting(ConfigVersion version, const Error& error);
  void HandleControlReport(const protocol::ControlReport& report);
  void HandleReadyRequest(
      const std::shared_ptr<http::ServerConnection>& connection,
      const http::ServerRequest& request);
  void CheckStopped(TimePoint now);
  void PublishLoad();
  void ScheduleUrgentLoad();

  EntryNodeOptions options_;
  port::EventSink events_;
  adapter::AsioTimerService timers_;
  Proxy proxy_;
  ControlLink link_;
  LoadExchange loads_;
  http::Server ready_server_;
  std::function<void()> on_stopped_;
  std::optional<policy::StopPlan> stop_plan_;
  /// Text of the current routes, to which a pushed difference is applied.
  std::string routing_text_;
  std::set<Endpoint> local_peers_;
  std::set<Endpoint> remote_peers_;
  std::set<Endpoint> relays_;
  std::uint32_t load_round_ = 0;
  Duration load_period_{std::chrono::milliseconds(100)};
  bool closed_idle_ = false;
  bool closed_listeners_ = false;
  bool was_ready_ = false;
  bool urgent_load_scheduled_ = false;
  std::size_t entry_count_ = 1;
};

}  // namespace rattanward::proxy
