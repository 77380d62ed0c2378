#include <string>
#include <utility>

#include "rattanward/http/reachability.h"
#include "rattanward/proxy/proxy.h"
#include "rattanward/proxy/reach_question.h"

namespace rattanward::proxy {
namespace {

using adapter::MonotonicNow;

constexpr Duration kProbeDelay{std::chrono::milliseconds(30)};
/// Time after which it is first asked whether an upstream outlived a request
/// that was let go of.
constexpr Duration kFirstCheckDelay{std::chrono::milliseconds(500)};
/// Time in which a sample shows whether other paths are lost, too.
constexpr Duration kSampleTime{std::chrono::milliseconds(500)};
/// The entry that is asked needs kProbeTimeout and kSampleTime at most.
constexpr Duration kReachTimeout{std::chrono::milliseconds(1100)};
constexpr Duration kQuarantineRetryAfter{std::chrono::seconds(30)};

Error QuarantineError(std::string message) {
  Error error = MakeError(ErrorCode::kNoUpstream, std::move(message));
  error.retry_after = kQuarantineRetryAfter;
  return error;
}

}  // namespace

/// Errors: kNoUpstream if upstreams crashed on the request, or on a part of its
/// prompt.
Status Proxy::CheckNotQuarantined(
    std::uint64_t fingerprint,
    const std::vector<policy::PromptPart>& prompt) const {
  if (crashes_.IsQuarantined(fingerprint) && !MayTryQuarantined(fingerprint)) {
    return QuarantineError("request is quarantined: it crashed upstreams");
  }
  const std::optional<std::uint64_t> part =
      part_quarantine_.FindQuarantined(policy::SharedParts(prompt));
  if (part) {
    return QuarantineError("part " + std::to_string(*part) +
                           " of the prompt is quarantined: it crashed "
                           "upstreams");
  }
  return outcome::success();
}

bool Proxy::MayTryQuarantined(std::uint64_t fingerprint) const {
  const TimePoint now = MonotonicNow();
  return now - room_share_confirmed_at_ < policy::kLimitShareLease &&
         crashes_.MayTry(fingerprint, room_share_, now);
}

/// Requests that wait when their quarantine becomes known are refused at once.
void Proxy::RefuseQuarantined() {
  const auto exchanges = exchanges_;
  for (const std::shared_ptr<Exchange>& exchange : exchanges) {
    if (!exchange->waiting()) {
      continue;
    }
    const Status allowed = CheckNotQuarantined(exchange->routed().fingerprint,
                                               exchange->placement().prompt);
    if (!allowed) {
      exchange->Refuse(allowed.error());
    }
  }
}

/// A lost connection doesn't prove that the upstream crashed. A new connection
/// shows whether its process is still there. An upstream that announced its
/// exit cuts what it still runs.
void Proxy::OnConnectionLost(const Exchange& exchange) {
  if (directory_.Find(exchange.upstream()) == nullptr) {
    return;
  }
  timers_.After(kProbeDelay, [this, evidence = EvidenceOf(exchange)](
                                 TimePoint) { ProbeAfterLoss(evidence); });
}

Proxy::CrashEvidence Proxy::EvidenceOf(const Exchange& exchange) const {
  return {{exchange.routed().fingerprint, exchange.upstream(),
           exchange.upstream_start()},
          exchange.known_at_send()};
}

policy::RunPlace Proxy::PlaceOf(const CrashEvidence& evidence) {
  return {evidence.witness.upstream, evidence.witness.born};
}

void Proxy::OnLetGo(const Exchange& exchange) { Abandon(EvidenceOf(exchange)); }

/// The upstream may go on with the request, and crash on it.
void Proxy::Abandon(const CrashEvidence& evidence) {
  const policy::RunPlace place = PlaceOf(evidence);
  abandoned_.Add(place, evidence, MonotonicNow());
  for (const Duration delay :
       {kFirstCheckDelay, policy::AbandonedRuns<CrashEvidence>::kRunTime}) {
    timers_.After(delay, [this, place](TimePoint) { CheckOutlived(place); });
  }
}

/// Asks an upstream that no open connection shows to be there whether it
/// outlived what was let go of.
void Proxy::CheckOutlived(const policy::RunPlace& place) {
  const membership::InstanceRecord* record = directory_.Find(place.upstream);
  const bool needed = abandoned_.FindAt(place, MonotonicNow()) &&
                      record != nullptr && record->stamp.born == place.born &&
                      !crashes_.IsPlannedExit({place.upstream, place.born}) &&
                      !pool_.HasOpen(place.upstream);
  if (needed) {
    http::CheckReachable(io_, record->endpoint, kProbeTimeout,
                         [this, place](bool reached) {
                           OnProbed(place.upstream, place.born, reached);
                         });
  }
}

/// @param lost Whether the second attempt's connection failed, rather than that
/// it was closed here.
void Proxy::OnHedgeLetGo(const Exchange& exchange,
                         const HedgePlacement& placement, bool lost) {
  const CrashEvidence evidence{{exchange.routed().fingerprint,
                                placement.upstream, placement.upstream_start},
                               KnownAgainstParts(exchange)};
  if (lost) {
    timers_.After(kProbeDelay,
                  [this, evidence](TimePoint) { ProbeAfterLoss(evidence); });
  } else {
    Abandon(evidence);
  }
}

/// A crash that only the directory shows: a later start of the id or at the
/// address, or silence.
void Proxy::CheckAbandoned(const membership::InstanceRecord& record) {
  const TimePoint now = MonotonicNow();
  const policy::RunPlace place{record.id, record.stamp.born};
  if (const auto before = abandoned_.FindBefore(place, now)) {
    RecordCrash(*before);
  }
  const auto let_go = abandoned_.FindAt(place, now);
  if (!let_go) {
    return;
  }
  if (record.state == membership::InstanceState::kGone && !record.replaced) {
    abandoned_.Forget(place);
  } else if (record.state == membership::InstanceState::kGone) {
    RecordCrash(*let_go);
  } else if (record.silent) {
    CheckOutlived(place);
  }
}

void Proxy::ProbeAfterLoss(const CrashEvidence& evidence) {
  const protocol::CrashWitness& witness = evidence.witness;
  if (crashes_.IsPlannedExit({witness.upstream, witness.born})) {
    return;
  }
  const membership::InstanceRecord* record = directory_.Find(witness.upstream);
  if (record == nullptr || record->stamp.born != witness.born) {
    RecordCrash(evidence);
    return;
  }
  http::CheckReachable(io_, record->endpoint, kProbeTimeout,
                       [this, evidence](bool reached) {
                         if (reached) {
                           // It may go on with the request.
                           Abandon(evidence);
                           return;
                         }
                         MarkPathLost(evidence.witness.upstream);
                         ConfirmCrash(evidence, kMaxReachQuestions);
                       });
}

void Proxy::AnswerReachQuestion(
    const std::shared_ptr<http::ServerConnection>& peer,
    const membership::InstanceStart& upstream) {
  const auto answer = [peer](Reach reach) {
    http::ResponseHead head;
    head.status = ReachStatus(reach);
    peer->Respond(std::move(head), "");
  };
  const membership::InstanceRecord* record = directory_.Find(upstream.id);
  if (record == nullptr || record->stamp.born != upstream.born) {
    answer(Reach::kNotReached);
    return;
  }
  http::CheckReachable(
      io_, record->endpoint, kProbeTimeout,
      [this, upstream, answer](bool reached) {
        OnProbed(upstream.id, upstream.born, reached);
        if (reached) {
          answer(Reach::kReached);
          return;
        }
        timers_.After(kSampleTime, [this, answer](TimePoint) {
          answer(HasLostMost() ? Reach::kUnknown : Reach::kNotReached);
        });
      });
}

/// Whether this entry may be cut off, so that an upstream that it doesn't reach
/// need not be down.
bool Proxy::HasLostMost() const {
  return paths_.sampling() || 2 * paths_.lost() >= directory_.size();
}

/// Only this entry's path may be lost. Another entry that reaches the upstream
/// shows that it didn't crash; if no other one answers, nothing is shown.
void Proxy::ConfirmCrash(const CrashEvidence& evidence, int questions_left) {
  const protocol::CrashWitness& witness = evidence.witness;
  const membership::InstanceRecord* record = directory_.Find(witness.upstream);
  if (record == nullptr || record->stamp.born != witness.born ||
      relays_.empty()) {
    RecordCrash(evidence);
    return;
  }
  const std::optional<Endpoint> peer =
      relays_.Choose(record->service, {}, MonotonicNow());
  if (!peer || questions_left == 0) {
    return;
  }
  AskReach(io_, *peer, {witness.upstream, witness.born}, kReachTimeout,
           [this, evidence, peer, questions_left](Reach reach) {
             if (reach == Reach::kNotReached) {
               RecordCrash(evidence);
             } else if (reach == Reach::kUnknown) {
               relays_.RecordUnreachable(*peer, MonotonicNow());
               ConfirmCrash(evidence, questions_left - 1);
             }
           });
}

void Proxy::RecordCrash(const CrashEvidence& evidence) {
  const policy::RunPlace place = PlaceOf(evidence);
  const auto let_go = abandoned_.TakeCrashed(place, MonotonicNow());
  if (crashes_.IsPlannedExit({place.upstream, place.born})) {
    return;
  }
  CountCrash(evidence);
  for (const CrashEvidence& other : let_go) {
    if (other.witness != evidence.witness) {
      CountCrash(other);
    }
  }
}

void Proxy::CountCrash(const CrashEvidence& evidence) {
  RaiseParts(evidence);
  hooks_.witness(evidence.witness);
  RecordCrashes({evidence.witness});
}

void Proxy::RaiseParts(const CrashEvidence& evidence) {
  std::vector<std::uint64_t> parts;
  parts.reserve(evidence.known_at_send.size());
  for (const policy::PartSuspicion& known : evidence.known_at_send) {
    parts.push_back(known.part);
  }
  const std::vector<policy::PartSuspicion> before =
      part_quarantine_.KnownAgainst(parts);
  const std::vector<policy::PartSuspicion> raised =
      part_quarantine_.RecordCrash(evidence.known_at_send, MonotonicNow());
  hooks_.suspicions(raised);
  LogPartChanges(before);
  if (!raised.empty()) {
    const protocol::CrashWitness& witness = evidence.witness;
    raised_parts_.push_back({{witness.upstream, witness.born}, raised});
  }
  if (raised_parts_.size() > kMaxRaised) {
    raised_parts_.pop_front();
  }
}

void Proxy::TakeBackParts(const membership::InstanceStart& upstream) {
  std::erase_if(raised_parts_, [&](const RaisedParts& raised) {
    if (raised.upstream != upstream) {
      return false;
    }
    hooks_.suspicions(part_quarantine_.TakeBack(raised.parts, MonotonicNow()));
    LogPartChanges(raised.parts);
    return true;
  });
}

void Proxy::RecordCrashes(
    const std::vector<protocol::CrashWitness>& witnesses) {
  for (const protocol::CrashWitness& witness : witnesses) {
    crashes_.RecordCrash(witness, MonotonicNow());
  }
  ApplyQuarantineChanges();
  // Another entry's connection showed the crash of what was let go of here.
  for (const protocol::CrashWitness& witness : witnesses) {
    const auto let_go =
        abandoned_.FindAt({witness.upstream, witness.born}, MonotonicNow());
    if (let_go) {
      RecordCrash(*let_go);
    }
  }
}

void Proxy::RecordCleared(const std::vector<protocol::CrashWitness>& cleared) {
  for (const protocol::CrashWitness& witness : cleared) {
    crashes_.RecordCleared(witness, MonotonicNow());
  }
  ApplyQuarantineChanges();
}

void Proxy::RecordPlannedExits(
    const std::vector<membership::InstanceStart>& exits) {
  for (const membership::InstanceStart& upstream : exits) {
    crashes_.RecordPlannedExit(upstream, MonotonicNow());
    TakeBackParts(upstream);
  }
  ApplyQuarantineChanges();
}

/// Tells and logs what has changed, and refuses those that wait in vain.
void Proxy::ApplyQuarantineChanges() {
  const auto cleared = crashes_.TakeCleared();
  if (!cleared.empty()) {
    hooks_.cleared(cleared);
  }
  bool any_quarantined = false;
  for (const membership::QuarantineChange& change : crashes_.TakeChanges()) {
    any_quarantined = any_quarantined || change.quarantined;
    hooks_.events({change.quarantined ? EventId::kRequestQuarantined
                                      : EventId::kRequestCleared,
                   {{"fingerprint", std::to_string(change.fingerprint)}}});
  }
  if (any_quarantined) {
    RefuseQuarantined();
  }
}

std::vector<policy::PartSuspicion> Proxy::KnownAgainstParts(
    const Exchange& exchange) const {
  return part_quarantine_.KnownAgainst(
      policy::SharedParts(exchange.placement().prompt));
}

void Proxy::OnWholeAnswer(const Exchange& exchange) {
  crashes_.RecordAnswer(exchange.routed().fingerprint, MonotonicNow());
  ApplyQuarantineChanges();
  const std::vector<std::uint64_t> parts =
      policy::SharedParts(exchange.placement().prompt);
  const std::vector<policy::PartSuspicion> before =
      part_quarantine_.KnownAgainst(parts);
  hooks_.suspicions(part_quarantine_.RecordSuccess(parts, MonotonicNow()));
  LogPartChanges(before);
}

void Proxy::MergeSuspicions(
    const std::vector<policy::PartSuspicion>& received) {
  std::vector<policy::PartSuspicion> newer;
  for (const policy::PartSuspicion& suspicion : received) {
    const policy::PartSuspicion before =
        part_quarantine_.KnownAgainst({suspicion.part}).front();
    const auto own = part_quarantine_.Merge(suspicion, MonotonicNow());
    if (own) {
      newer.push_back(*own);
    }
    LogPartChange(before);
  }
  hooks_.suspicions(newer);
}

void Proxy::LogPartChanges(const std::vector<policy::PartSuspicion>& before) {
  for (const policy::PartSuspicion& suspicion : before) {
    LogPartChange(suspicion);
  }
}

/// Logs whether a part has become quarantined, or is no longer.
void Proxy::LogPartChange(const policy::PartSuspicion& before) {
  const policy::PartSuspicion after =
      part_quarantine_.KnownAgainst({before.part}).front();
  const bool quarantined = policy::PartQuarantine::ReachesLimit(after);
  if (quarantined == policy::PartQuarantine::ReachesLimit(before)) {
    return;
  }
  hooks_.events(
      {quarantined ? EventId::kPromptPartQuarantined
                   : EventId::kPromptPartCleared,
       {{"part", std::to_string(after.part)},
        {"crashes", std::to_string(after.crashes)},
        {"clearances", std::to_string(after.clearances)},
        {"quarantined", std::to_string(part_quarantine_.quarantined())}}});
  if (quarantined) {
    RefuseQuarantined();
  }
}

}  // namespace rattanward::proxy
