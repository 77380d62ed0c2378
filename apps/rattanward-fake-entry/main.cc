#include <gflags/gflags.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/adapter/command_line.h"
#include "rattanward/adapter/message_transport.h"
#include "rattanward/adapter/settings.h"
#include "rattanward/protocol/message_fields.h"

DEFINE_string(control, "", "peer endpoints of the control VMs, a,b,c");
DEFINE_string(secret, "", "secret that our own processes share");
DEFINE_string(process, "fake-entry", "name of the first entry's process");
DEFINE_string(failure_domain, "a", "failure domain of the entries");
DEFINE_int32(count, 1, "entries to stand in for");
DEFINE_int32(heartbeat_ms, 500, "period of the heartbeats");

namespace rattanward {
namespace {

/// Simulates one entry's traffic with the control VMs: it sends heartbeats and
/// takes configuration pushes, but has no callers and no upstreams.
class FakeEntry {
 public:
  FakeEntry(asio::io_context& io, const std::string& name,
            const std::vector<Endpoint>& control_endpoints)
      : name_(name) {
    adapter::TransportOptions options;
    options.self = ProcessId(name);
    options.secret = FLAGS_secret;
    for (const Endpoint& endpoint : control_endpoints) {
      clients_.push_back(std::make_unique<adapter::PeerClient>(
          io, options, endpoint, [this](const protocol::Envelope& envelope) {
            HandleMessage(envelope);
          }));
      clients_.back()->Start();
    }
  }

  /// Sends the entry's status to every control VM; replies are ignored.
  void SendHeartbeat() {
    protocol::EntryStatus status;
    status.process = ProcessId(name_);
    status.vm = VmName("vm-" + name_);
    status.failure_domain = FailureDomain(FLAGS_failure_domain);
    status.in_force = in_force_;
    status.heartbeat = ++heartbeat_number_;
    status.incarnation = incarnation_;
    protocol::Envelope envelope;
    envelope.kind = protocol::MessageKind::kEntryStatus;
    envelope.body = protocol::Encode(status);
    for (const auto& client : clients_) {
      client->Call(envelope, std::chrono::seconds(1),
                   [](const Result<protocol::Envelope>&) {});
    }
  }

 private:
  /// Puts a newer pushed configuration in force and prints its version.
  void HandleMessage(const protocol::Envelope& envelope) {
    if (envelope.kind != protocol::MessageKind::kConfigPush) {
      return;
    }
    const auto push = protocol::Decode<protocol::ConfigPush>(envelope.body);
    if (push && push.value().version > in_force_) {
      in_force_ = push.value().version;
      std::cout << name_ << " runs " << in_force_ << std::endl;
    }
  }

  std::string name_;
  ConfigVersion in_force_;
  std::uint64_t heartbeat_number_ = 0;
  /// Start time, so that a restarted process has a higher incarnation.
  std::uint64_t incarnation_ = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
  std::vector<std::unique_ptr<adapter::PeerClient>> clients_;
};

int Main() {
  std::vector<Endpoint> control_endpoints;
  std::istringstream in(FLAGS_control);
  for (std::string text; std::getline(in, text, ',');) {
    const auto endpoint = adapter::ParseEndpoint(text);
    if (!endpoint) {
      std::cerr << endpoint.error().message << "\n";
      return 2;
    }
    control_endpoints.push_back(endpoint.value());
  }
  asio::io_context io(1);
  adapter::AsioTimerService timers(io);
  std::vector<std::unique_ptr<FakeEntry>> entries;
  for (int i = 0; i < FLAGS_count; ++i) {
    const std::string suffix = FLAGS_count > 1 ? "-" + std::to_string(i) : "";
    entries.push_back(std::make_unique<FakeEntry>(io, FLAGS_process + suffix,
                                                  control_endpoints));
  }
  timers.Every(std::chrono::milliseconds(FLAGS_heartbeat_ms), [&](TimePoint) {
    for (const auto& entry : entries) {
      entry->SendHeartbeat();
    }
  });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace rattanward

int main(int argc, char** argv) {
  const rattanward::adapter::ProgramInfo info{
      "rattanward-fake-entry", RATTANWARD_VERSION,
      "Usage: rattanward-fake-entry --control A,B,C --secret SECRET\n"
      "Stand-in for the control traffic of entries, for tests and the bench."};
  if (!rattanward::adapter::ParseCommandLine(info, &argc, &argv)) {
    return 0;
  }
  return rattanward::Main();
}
