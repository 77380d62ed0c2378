#include <chrono>
#include <memory>
#include <utility>

#include "rattanward/control/routing_hub.h"
#include "rattanward/protocol/message_fields.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

/// Time for which new routes are rejected while there are too few voters.
/// Afterwards they are accepted anyway.
constexpr Duration kTooFewVotersGracePeriod{std::chrono::seconds(20)};

/// Shorter than operators wait for an answer, longer than a leader waits for
/// the entries.
constexpr Duration kPassOnTimeout{std::chrono::milliseconds(950)};

/// What can't be read is no reason to refuse the operator's routes for good.
Error Unreadable(const Error& error) {
  return MakeError(ErrorCode::kOutcomeUnknown, error.message,
                   Verdict::kMayHaveRun);
}

Status ToStatus(const protocol::Envelope& envelope) {
  const auto answer = protocol::Decode<protocol::RoutesDeclared>(envelope.body);
  if (!answer) {
    return Unreadable(answer.error());
  }
  if (answer.value().error == 0) {
    return outcome::success();
  }
  return MakeError(static_cast<ErrorCode>(answer.value().error),
                   answer.value().message);
}

void ReplyDeclared(const adapter::ReplyHandle& reply, const Status& status) {
  protocol::RoutesDeclared answer;
  if (!status) {
    answer.error = static_cast<int>(status.error().code);
    answer.message = status.error().message;
  }
  reply.Reply(protocol::MessageKind::kRoutesDeclared, protocol::Encode(answer));
}

std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

bool RoutingHub::HasEnoughVoters(TimePoint now) {
  const consensus::Node& node = daemon_.replica().node();
  if (consensus::VoterCount(node.membership()) >= options_.wanted_voters &&
      node.membership_committed()) {
    too_few_voters_since_ = TimePoint();
    return true;
  }
  if (too_few_voters_since_ == TimePoint()) {
    too_few_voters_since_ = now;
  }
  return now - too_few_voters_since_ > kTooFewVotersGracePeriod;
}

void RoutingHub::Declare(Declaration declaration, Done done) {
  TakeDeclaration(std::move(declaration), DeclarationSource::kOperator,
                  "operator", std::move(done));
}

void RoutingHub::HandleDeclaration(const adapter::InboundMessage& message,
                                   const adapter::ReplyHandle& reply) {
  auto declared =
      protocol::Decode<protocol::RoutesDeclare>(message.envelope.body);
  if (!declared) {
    ReplyDeclared(reply, Unreadable(declared.error()));
    return;
  }
  TakeDeclaration(
      {declared.value().version, std::move(declared.value().text)},
      DeclarationSource::kControlVm, message.from.str(),
      [reply](const Status& status) { ReplyDeclared(reply, status); });
}

void RoutingHub::TakeDeclaration(Declaration declaration,
                                 DeclarationSource source,
                                 const std::string& from, Done done) {
  const ConfigVersion version = declaration.version;
  const TimePoint received = MonotonicNow();
  ++declarations_.received;
  events_({EventId::kDeclarationReceived,
           {{"routes", std::to_string(version.value)},
            {"bytes", std::to_string(declaration.text.size())},
            {"from", from}}});
  declaration_desk_.Take(
      std::move(declaration), source, received,
      [this, version, received, done = std::move(done)](const Status& status) {
        CountAnswer(status);
        LogAnswer(version, received, status);
        done(status);
      });
}

DeclarationHooks RoutingHub::MakeDeclarationHooks() {
  DeclarationHooks hooks;
  hooks.view = [this](TimePoint now) { return ViewLeader(now); };
  hooks.commit = [this](const Declaration& declaration, Done done) {
    Commit(declaration, std::move(done));
  };
  hooks.pass_on = [this](const VoterId& leader, const Declaration& declaration,
                         Done done) {
    PassOn(leader, declaration, std::move(done));
  };
  return hooks;
}

bool RoutingHub::OtherLeads() const {
  const VoterId& leader = daemon_.replica().leader();
  return !leader.empty() && leader != daemon_.replica().id();
}

void RoutingHub::NoteLeader(TimePoint now) {
  if (daemon_.replica().ConfirmedLeader() || OtherLeads()) {
    leader_known_at_ = now;
  }
}

LeaderView RoutingHub::ViewLeader(TimePoint now) {
  NoteLeader(now);
  LeaderView view;
  view.leads = daemon_.replica().ConfirmedLeader();
  view.has_enough_voters = view.leads && HasEnoughVoters(now);
  view.leaderless = now - leader_known_at_;
  if (!view.leads && OtherLeads()) {
    view.other_leader = daemon_.replica().leader();
    const protocol::VoterHello* hello =
        daemon_.voters().Find(view.other_leader);
    view.other_takes = hello != nullptr && hello->takes_declarations;
  }
  return view;
}

void RoutingHub::PassOn(const VoterId& leader, const Declaration& declaration,
                        Done done) {
  daemon_.voters().Call(
      leader, protocol::MessageKind::kRoutesDeclare,
      protocol::Encode(
          protocol::RoutesDeclare{declaration.version, declaration.text}),
      kPassOnTimeout,
      [done = std::move(done)](const Result<protocol::Envelope>& answer) {
        done(answer ? ToStatus(answer.value()) : Status(answer.error()));
      });
}

void RoutingHub::CountAnswer(const Status& status) {
  if (status) {
    ++declarations_.accepted;
  } else if (status.error().code == ErrorCode::kNotLeader) {
    ++declarations_.redirected;
  } else {
    ++declarations_.refused;
  }
}

void RoutingHub::LogAnswer(ConfigVersion version, TimePoint received,
                           const Status& status) {
  Event event{EventId::kDeclarationAnswered,
              {{"routes", std::to_string(version.value)},
               {"took_ms", Milliseconds(MonotonicNow() - received)},
               {"leader", daemon_.replica().leader().str()}}};
  if (!status) {
    event.fields.push_back(
        {"error", std::string(ErrorName(status.error().code))});
    event.fields.push_back({"reason", status.error().message});
  }
  events_(event);
}

void RoutingHub::Commit(const Declaration& declaration, Done done) {
  const ConfigVersion version = declaration.version;
  if (daemon_.replica().ledger().routing().version >= version) {
    // Already committed. The read confirms that this state is current.
    daemon_.replica().Read(
        [this, version, done = std::move(done)](const Status& status) {
          if (status) {
            AfterCommit(version, done);
          } else {
            done(status);
          }
        });
    return;
  }
  daemon_.replica().Propose(ledger::RoutingDeclare{version, declaration.text},
                            [this, version, done = std::move(done)](
                                const Result<ledger::Outcome>& outcome) {
                              if (!outcome) {
                                done(outcome.error());
                                return;
                              }
                              AfterCommit(version, done);
                            });
}

void RoutingHub::AfterCommit(ConfigVersion version, const Done& done) {
  PushRouting();
  WaitForEntries(
      options_.routing_ack_timeout,
      [version](const Entry& entry) { return entry.routing >= version; },
      [this, version, done](const Status& status) {
        events_({EventId::kConfigAccepted,
                 {{"routes", std::to_string(version.value)}}});
        done(status);
      });
}

void RoutingHub::ReadNewest(RoutingCallback callback) {
  if (!daemon_.replica().ConfirmedLeader()) {
    callback(
        MakeError(OtherLeads() ? ErrorCode::kNotLeader : ErrorCode::kNoQuorum,
                  "this control VM is not a confirmed leader"));
    return;
  }
  daemon_.replica().Read(
      [this, callback = std::move(callback)](const Status& status) {
        if (!status) {
          callback(status.error());
          return;
        }
        callback(daemon_.replica().ledger().routing());
      });
}

}  // namespace rattanward::control
