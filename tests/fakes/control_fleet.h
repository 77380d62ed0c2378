#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/loopback_peer.h"
#include "fakes/reserved_ports.h"
#include "fakes/temporary_folder.h"
#include "platform/control_calls.h"
#include "rattanward/control/control_daemon.h"
#include "rattanward/control/routing_hub.h"

namespace rattanward::fakes {

/// @brief Control VMs on loopback that take the operator's calls. Each has an
/// event loop of its own, which a freeze stops; its sockets stay open.
class ControlFleet {
 public:
  static constexpr std::size_t kVms = 3;

  ControlFleet() {
    std::vector<Endpoint> seeds;
    for (std::size_t i = 0; i < kVms; ++i) {
      seeds.push_back(ReservedEndpoint());
    }
    for (const Endpoint& seed : seeds) {
      vms_.push_back(std::make_unique<Vm>(seed, ReservedEndpoint(), seeds));
    }
  }

  /// @brief Waits for a leader that all others know.
  bool Founded() {
    return RunUntil([this] {
      return leader() < kVms && AllOf([this](const Vm& vm) {
               return vm.daemon.replica().leader() ==
                      vms_[leader()]->daemon.replica().id();
             });
    });
  }

  /// @brief Index of the confirmed leader that runs; kVms if there is none.
  std::size_t leader() const {
    for (std::size_t i = 0; i < kVms; ++i) {
      if (!vms_[i]->frozen && vms_[i]->daemon.replica().ConfirmedLeader()) {
        return i;
      }
    }
    return kVms;
  }

  control::RoutingHub& hub(std::size_t vm) { return vms_[vm]->hub; }
  const std::string& folder(std::size_t vm) const {
    return vms_[vm]->folder.path();
  }

  void Freeze(std::size_t vm) { vms_[vm]->frozen = true; }

  /// @brief Sends a configuration as the operator does, once.
  /// @return The answer's first line; empty if none comes.
  std::string Put(std::size_t vm, const std::string& configuration) {
    const auto peer = LoopbackPeer::Connect(io_, vms_[vm]->calls.endpoint());
    peer->Send("PUT /-/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: " +
               std::to_string(configuration.size()) + "\r\n\r\n" +
               configuration);
    RunUntil([&] {
      return peer->ended() ||
             peer->received().find("\r\n\r\n") != std::string::npos;
    });
    last_location_ = FieldOf(peer->received(), "Location: ");
    return peer->received().substr(0, peer->received().find('\r'));
  }

  /// @brief Where the last answer sent the operator; empty if nowhere.
  const std::string& last_location() const { return last_location_; }

  /// @brief Location by which an answer names a control VM.
  std::string Location(std::size_t vm) const {
    return "http://" + ToString(vms_[vm]->calls.endpoint()) +
           "/-/configuration";
  }

  ConfigVersion routes(std::size_t vm) const {
    return vms_[vm]->daemon.replica().ledger().routing().version;
  }

  /// @brief Number of events of a kind at a control VM.
  std::size_t Logged(std::size_t vm, EventId id) const {
    std::size_t count = 0;
    for (const Event& event : vms_[vm]->events) {
      count += event.id == id ? 1 : 0;
    }
    return count;
  }

  template <class Done>
  bool RunUntil(Done done) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!done() && std::chrono::steady_clock::now() < end) {
      for (const auto& vm : vms_) {
        if (!vm->frozen) {
          vm->io.run_for(std::chrono::milliseconds(1));
        }
      }
      io_.run_for(std::chrono::milliseconds(1));
      io_.restart();
    }
    return done();
  }

 private:
  struct Vm {
    Vm(const Endpoint& self, const Endpoint& control,
       const std::vector<Endpoint>& seeds)
        : daemon(io, SettingsOf(self, control, seeds), "secret",
                 adapter::FileLogStorage::Open(folder.path() + "/log").value(),
                 Sink()),
          hub(daemon, Options(folder.path()), Sink()),
          calls(io, daemon, hub) {
      REQUIRE(daemon.Start());
      hub.Start();
      REQUIRE(calls.Start(control));
    }

    port::EventSink Sink() {
      return [this](const Event& event) { events.push_back(event); };
    }

    static adapter::ControlSettings SettingsOf(
        const Endpoint& self, const Endpoint& control,
        const std::vector<Endpoint>& seeds) {
      adapter::ControlSettings settings;
      settings.identity.process = ProcessId("control-" + ToString(self));
      settings.peer_listen = self;
      settings.operator_listen = control;
      settings.initial_voters = seeds;
      settings.bootstrap = true;
      settings.wanted_voters = kVms;
      return settings;
    }

    static control::RoutingHubOptions Options(const std::string& folder) {
      control::RoutingHubOptions options;
      options.data_folder = folder;
      options.wanted_voters = kVms;
      return options;
    }

    std::vector<Event> events;
    TemporaryFolder folder;
    asio::io_context io;
    control::ControlDaemon daemon;
    control::RoutingHub hub;
    platform::ControlCalls calls;
    bool frozen = false;
  };

  template <class Holds>
  bool AllOf(Holds holds) const {
    return std::all_of(vms_.begin(), vms_.end(),
                       [&](const auto& vm) { return holds(*vm); });
  }

  static std::string FieldOf(const std::string& answer,
                             const std::string& name) {
    const std::size_t begin = answer.find(name);
    if (begin == std::string::npos) {
      return std::string();
    }
    const std::size_t value = begin + name.size();
    return answer.substr(value, answer.find('\r', value) - value);
  }

  asio::io_context io_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::string last_location_;
};

}  // namespace rattanward::fakes
