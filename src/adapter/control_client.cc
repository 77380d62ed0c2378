#include "rattanward/adapter/control_client.h"

#include <algorithm>
#include <asio/dispatch.hpp>
#include <asio/steady_timer.hpp>
#include <future>
#include <utility>

#include "rattanward/protocol/message_fields.h"

namespace rattanward::adapter {
namespace {

using protocol::Encode;
using protocol::Envelope;
using protocol::MessageKind;

/// Delay before a proposal is tried at another control VM.
constexpr Duration kTryNextDelay{std::chrono::milliseconds(50)};
/// Added to the wait of a calling thread, above the proposal's own timeout.
constexpr Duration kWaitSpare{std::chrono::milliseconds(500)};

Envelope MakeEnvelope(MessageKind kind, std::string body) {
  return {protocol::kProtocolVersion, kind, 0, std::move(body)};
}

/// A command that is on its way to the leader.
struct Proposal {
  std::string command;
  TimePoint deadline;
  ControlClient::ProposeCallback callback;
};

}  // namespace

class ControlClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, ControlClientOptions options,
       SharedConfigGate& gate, ControlHandlers handlers)
      : io_(io),
        options_(std::move(options)),
        gate_(gate),
        handlers_(std::move(handlers)),
        heartbeat_timer_(io) {}

  /// Runs fn on the io_context's thread.
  template <class Fn>
  void Post(Fn fn) {
    asio::dispatch(
        io_, [self = shared_from_this(), fn = std::move(fn)] { fn(*self); });
  }

  void Start() {
    for (const Endpoint& endpoint : options_.control) {
      clients_.push_back(std::make_unique<PeerClient>(
          io_, options_.transport, endpoint,
          [weak = weak_from_this()](const Envelope& envelope) {
            if (const auto self = weak.lock()) {
              self->TakePush(envelope);
            }
          }));
      clients_.back()->Start();
    }
    SendHeartbeats();
  }

  void Stop() {
    stopped_ = true;
    heartbeat_timer_.cancel();
    for (const auto& client : clients_) {
      client->Stop();
    }
  }

  void Propose(const std::shared_ptr<Proposal>& proposal) {
    if (stopped_ || clients_.empty() || MonotonicNow() >= proposal->deadline) {
      proposal->callback(MakeError(ErrorCode::kNoQuorum,
                                   "no control leader took the command"));
      return;
    }
    PeerClient& target = *clients_[leader_ % clients_.size()];
    const Duration left = proposal->deadline - MonotonicNow();
    target.Call(
        MakeEnvelope(MessageKind::kPropose,
                     Encode(protocol::Propose{proposal->command})),
        left,
        [self = shared_from_this(), proposal](const Result<Envelope>& answer) {
          self->TakeProposeAnswer(proposal, answer);
        });
  }

 private:
  void SendHeartbeats() {
    protocol::EntryStatus status{
        options_.process,    options_.vm, options_.failure_domain, {}, 0,
        options_.incarnation};
    gate_.With([&](membership::ConfigGate& gate) {
      status.in_force = gate.in_force();
      status.heartbeat = gate.NextHeartbeat(MonotonicNow());
    });
    NoteIsolation(gate_.State() == membership::GateState::kIsolated);
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      clients_[i]->Call(
          MakeEnvelope(MessageKind::kEntryStatus, Encode(status)),
          4 * options_.heartbeat,
          [weak = weak_from_this(), i](const Result<Envelope>& answer) {
            const auto self = weak.lock();
            if (self && answer) {
              self->TakeControlStatus(i, answer.value());
            }
          });
    }
    heartbeat_timer_.expires_after(options_.heartbeat);
    heartbeat_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& e) {
          const auto self = weak.lock();
          if (!e && self && !self->stopped_) {
            self->SendHeartbeats();
          }
        });
  }

  /// Logs when the entry begins and ends to refuse new work.
  void NoteIsolation(bool isolated) {
    if (isolated != isolated_ && options_.transport.events) {
      options_.transport.events(
          Event{isolated ? EventId::kEntryIsolated : EventId::kEntryRejoined,
                {{"version", std::to_string(gate_.in_force().value)}}});
    }
    isolated_ = isolated;
  }

  void TakeControlStatus(std::size_t client, const Envelope& envelope) {
    const auto status =
        protocol::Decode<protocol::ControlStatus>(envelope.body);
    if (envelope.kind != MessageKind::kControlStatus || !status) {
      return;
    }
    if (status.value().leader) {
      leader_ = client;
    }
    const ConfigVersion in_force = gate_.With([&](auto& gate) {
      gate.HandleControlStatus(status.value(), MonotonicNow());
      return gate.in_force();
    });
    NoteIsolation(gate_.State() == membership::GateState::kIsolated);
    if (status.value().committed > in_force && !fetching_) {
      Fetch(client, in_force);
    }
  }

  void Fetch(std::size_t client, ConfigVersion known) {
    fetching_ = true;
    clients_[client]->Call(
        MakeEnvelope(MessageKind::kConfigFetch,
                     Encode(protocol::ConfigFetch{known})),
        4 * options_.heartbeat,
        [weak = weak_from_this()](const Result<Envelope>& answer) {
          const auto self = weak.lock();
          if (self) {
            self->fetching_ = false;
          }
          if (self && answer) {
            self->TakePush(answer.value());
          }
        });
  }

  void TakePush(const Envelope& envelope) {
    if (envelope.kind == MessageKind::kConfigPush) {
      const auto push = protocol::Decode<protocol::ConfigPush>(envelope.body);
      if (push && push.value().version > gate_.in_force() &&
          handlers_.on_config) {
        handlers_.on_config(push.value());
      }
    } else if (envelope.kind == MessageKind::kOperatorState) {
      const auto state =
          protocol::Decode<protocol::OperatorState>(envelope.body);
      if (state && handlers_.on_operator_state) {
        handlers_.on_operator_state(state.value());
      }
    }
  }

  void TakeProposeAnswer(const std::shared_ptr<Proposal>& proposal,
                         const Result<Envelope>& answer) {
    if (!answer) {
      if (answer.error().verdict == Verdict::kNotRun) {
        TryNext(proposal, {});
      } else {
        proposal->callback(
            MakeError(ErrorCode::kOutcomeUnknown, answer.error().message));
      }
      return;
    }
    const auto decoded =
        protocol::Decode<protocol::ProposeAnswer>(answer.value().body);
    if (!decoded) {
      proposal->callback(
          MakeError(ErrorCode::kOutcomeUnknown, decoded.error().message));
      return;
    }
    const protocol::ProposeAnswer& message = decoded.value();
    const auto code = static_cast<ErrorCode>(message.error);
    if (message.error == 0) {
      proposal->callback(message.outcome);
    } else if (code == ErrorCode::kNotLeader) {
      TryNext(proposal, message.leader_endpoint);
    } else {
      proposal->callback(MakeError(code, message.message));
    }
  }

  /// The command was surely not taken: asks the leader that was named, or the
  /// next control VM.
  void TryNext(const std::shared_ptr<Proposal>& proposal,
               const std::string& leader_endpoint) {
    const auto named =
        std::find_if(clients_.begin(), clients_.end(), [&](const auto& client) {
          return ToString(client->peer()) == leader_endpoint;
        });
    const auto index =
        static_cast<std::size_t>(std::distance(clients_.begin(), named));
    leader_ = named != clients_.end() && index != leader_ % clients_.size()
                  ? index
                  : leader_ + 1;
    auto timer = std::make_shared<asio::steady_timer>(io_, kTryNextDelay);
    timer->async_wait(
        [self = shared_from_this(), proposal, timer](const asio::error_code&) {
          self->Propose(proposal);
        });
  }

  asio::io_context& io_;
  ControlClientOptions options_;
  SharedConfigGate& gate_;
  ControlHandlers handlers_;
  asio::steady_timer heartbeat_timer_;
  std::vector<std::unique_ptr<PeerClient>> clients_;
  /// Client that was last seen or named as the leader, modulo their number.
  std::size_t leader_ = 0;
  bool fetching_ = false;
  bool isolated_ = false;
  bool stopped_ = false;
};

ControlClient::ControlClient(asio::io_context& io, ControlClientOptions options,
                             SharedConfigGate& gate, ControlHandlers handlers)
    : impl_(std::make_shared<Impl>(io, std::move(options), gate,
                                   std::move(handlers))) {}

ControlClient::~ControlClient() { Stop(); }

void ControlClient::Start() {
  impl_->Post([](Impl& impl) { impl.Start(); });
}

void ControlClient::Stop() {
  impl_->Post([](Impl& impl) { impl.Stop(); });
}

Result<std::string> ControlClient::Propose(std::string command,
                                           Duration timeout) {
  const auto promise = std::make_shared<std::promise<Result<std::string>>>();
  std::future<Result<std::string>> outcome = promise->get_future();
  ProposeAsync(std::move(command), timeout,
               [promise](Result<std::string> result) {
                 promise->set_value(std::move(result));
               });
  if (outcome.wait_for(timeout + kWaitSpare) != std::future_status::ready) {
    return MakeError(ErrorCode::kOutcomeUnknown, "no answer in time");
  }
  return outcome.get();
}

void ControlClient::ProposeAsync(std::string command, Duration timeout,
                                 ProposeCallback callback) {
  const auto proposal = std::make_shared<Proposal>(Proposal{
      std::move(command), MonotonicNow() + timeout, std::move(callback)});
  impl_->Post([proposal](Impl& impl) { impl.Propose(proposal); });
}

}  // namespace rattanward::adapter
