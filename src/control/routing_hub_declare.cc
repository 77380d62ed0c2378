#include <chrono>
#include <memory>
#include <utility>

#include "rattanward/control/routing_hub.h"

namespace rattanward::control {
namespace {

using adapter::MonotonicNow;

/// Time for which new routes are rejected while there are too few voters.
/// Afterwards they are accepted anyway.
constexpr Duration kTooFewVotersGracePeriod{std::chrono::seconds(20)};

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

void RoutingHub::Declare(ConfigVersion version, std::string text, Done done) {
  ++declarations_.received;
  events_({EventId::kDeclarationReceived,
           {{"routes", std::to_string(version.value)},
            {"bytes", std::to_string(text.size())}}});
  Propose(version, std::move(text),
          [this, version, received = MonotonicNow(),
           done = std::move(done)](const Status& status) {
            CountAnswer(status);
            LogAnswer(version, received, status);
            done(status);
          });
}

void RoutingHub::CountAnswer(const Status& status) {
  if (status) {
    ++declarations_.accepted;
  } else if (status.error().code == ErrorCode::kNotLeader) {
    ++declarations_.sent_on;
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

void RoutingHub::Propose(ConfigVersion version, std::string text, Done done) {
  if (!daemon_.replica().ConfirmedLeader()) {
    const VoterId& leader = daemon_.replica().leader();
    const bool other = !leader.empty() && leader != daemon_.replica().id();
    done(MakeError(other ? ErrorCode::kNotLeader : ErrorCode::kNoQuorum,
                   "this control VM is not a confirmed leader"));
    return;
  }
  if (!HasEnoughVoters(MonotonicNow())) {
    done(MakeError(ErrorCode::kNoQuorum,
                   "fewer voters than required, or a membership change is not "
                   "committed yet"));
    return;
  }
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
  daemon_.replica().Propose(ledger::RoutingDeclare{version, std::move(text)},
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
    const VoterId& leader = daemon_.replica().leader();
    const bool other = !leader.empty() && leader != daemon_.replica().id();
    callback(MakeError(other ? ErrorCode::kNotLeader : ErrorCode::kNoQuorum,
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
