#include "rattanward/policy/standard_dispatcher.h"

#include <algorithm>
#include <utility>

#include "rattanward/domain/result.h"
#include "rattanward/policy/admission.h"
#include "rattanward/policy/probation.h"

namespace rattanward::policy {
namespace {

constexpr std::uint32_t kMedianPermille = 500;
/// Interval between two reviews of probation and of expired state.
constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(250);
/// Period in which the other entries are told everything that is known against
/// parts of prompts.
constexpr Duration kTellAllPartsPeriod = std::chrono::seconds(2);

}  // namespace

StandardDispatcher::StandardDispatcher(DispatcherOptions options)
    : chooser_(std::move(options.failure_domain), options.seed),
      accounts_(options.entries) {}

std::vector<Decision> StandardDispatcher::SetConfig(const Config& config,
                                                    TimePoint now) {
  config_ = config;
  queue_.SetClasses(config.classes);
  accounts_.SetAccounts(config.accounts);
  retry_budget_.SetShare(config.limits.retry_permille);
  Decisions out;
  for (const Target& target : queue_.Targets()) {
    DispatchWaiting(target, &out, now);
  }
  return out;
}

std::vector<Decision> StandardDispatcher::UpstreamChanged(
    const Announcement& announcement, TimePoint now) {
  const UpstreamState* before = upstreams_.Find(announcement.instance);
  std::vector<Target> targets = TargetsOf(announcement);
  if (before != nullptr) {
    const std::vector<Target> old = TargetsOf(before->announcement);
    targets.insert(targets.end(), old.begin(), old.end());
  }
  if (!upstreams_.Announce(announcement, now)) {
    return {};
  }
  quarantine_.RecordAnnouncement(announcement.instance, announcement.sequence,
                                 now);
  if (announcement.draining) {
    quarantine_.RecordPlannedExit(announcement.instance);
  } else {
    quarantine_.RecordExitCancelled(announcement.instance);
  }
  ApplyLimit(announcement.instance, now);
  Decisions out;
  for (const Target& target : targets) {
    DispatchWaiting(target, &out, now);
    RefuseWithoutUpstream(target, &out);
  }
  return out;
}

std::vector<Decision> StandardDispatcher::UpstreamGone(
    const UpstreamId& upstream, TimePoint now) {
  const UpstreamState* state = upstreams_.Find(upstream);
  if (state == nullptr) {
    return {};
  }
  // An upstream that disappears without draining is assumed to have crashed.
  RecordCrash(upstream, now);
  const std::vector<Target> targets = TargetsOf(state->announcement);
  upstreams_.Remove(upstream);
  limits_.erase(upstream);
  Decisions out;
  for (const Target& target : targets) {
    RefuseWithoutUpstream(target, &out);
  }
  return out;
}

std::vector<Decision> StandardDispatcher::Cancel(const RequestId& request,
                                                 TimePoint /*now*/) {
  if (queue_.Remove(request)) {
    Close(request);
  }
  return {};
}

std::vector<Decision> StandardDispatcher::Tick(TimePoint now) {
  if (!next_maintenance_ || now >= *next_maintenance_) {
    next_maintenance_ = now + kMaintenancePeriod;
    quarantine_.Expire(now);
    part_quarantine_.Expire(now);
    accounts_.Expire(now);
    for (const auto& [target, list] : upstreams_.ByTarget()) {
      UpdateProbation(list, now);
      EmitProbationEvents(list);
    }
  }
  Decisions out;
  ShedUnstartable(&out, now);
  RefuseUnfinishable(&out, now);
  for (const Target& target : queue_.Targets()) {
    DispatchWaiting(target, &out, now);
    RefuseWithoutUpstream(target, &out);
  }
  return out;
}

void StandardDispatcher::EmitProbationEvents(const UpstreamTable::List& list) {
  for (UpstreamState* upstream : list) {
    const bool on_probation =
        upstream->probation.phase != ProbationState::Phase::kHealthy;
    if (on_probation == upstream->reported_on_probation) {
      continue;
    }
    upstream->reported_on_probation = on_probation;
    events_.push_back({on_probation ? EventId::kUpstreamProbation
                                    : EventId::kUpstreamRestored,
                       {{"upstream", upstream->announcement.instance.str()}}});
  }
}

void StandardDispatcher::Enqueue(const OpenRequest& open) {
  queue_.Push({open.info.id, open.info.account, open.declared.name, open.target,
               open.info.arrived});
}

void StandardDispatcher::DispatchWaiting(const Target& target, Decisions* out,
                                         TimePoint now) {
  const UpstreamTable::List& list = upstreams_.Serving(target);
  if (list.empty()) {
    return;
  }
  std::vector<RequestId> unstartable;
  const ClassQueue::Cutoff cutoff = LateCutoff(target, now);
  while (true) {
    UpstreamState* chosen = nullptr;
    const auto next = queue_.PopNext(
        target, cutoff, [&](const QueuedRequest& queued, bool floor_due) {
          return CheckEligibility(queued, floor_due, now, &chosen,
                                  &unstartable);
        });
    if (!next) {
      break;
    }
    Start(&open_requests_.at(next->id), chosen, out, now);
  }
  for (const RequestId& id : unstartable) {
    if (queue_.Remove(id)) {
      RefuseOpen(id, *CheckStartable(open_requests_.at(id), now), out);
    }
  }
}

Eligibility StandardDispatcher::CheckEligibility(
    const QueuedRequest& queued, bool floor_due, TimePoint now,
    UpstreamState** chosen, std::vector<RequestId>* unstartable) {
  OpenRequest& open = open_requests_.at(queued.id);
  if (CheckStartable(open, now)) {
    unstartable->push_back(queued.id);
    return Eligibility::kSkipRequest;
  }
  const std::uint64_t fingerprint = open.info.fingerprint;
  const bool suspect = IsSuspect(fingerprint);
  // A suspect request never returns to an upstream that it has tried. Any other
  // request may, once it has tried every available upstream.
  if (!suspect && !open.tried.empty() && AllTried(open)) {
    open.tried.clear();
  }
  // Equal requests under suspicion run one at a time.
  if (suspect && running_by_fingerprint_.contains(fingerprint)) {
    return Eligibility::kSkipRequest;
  }
  // A request of a class with a floor that has spent half its deadline waiting
  // is treated as if the floor were due.
  const bool overdue = open.declared.floor_permille > 0 &&
                       open.declared.deadline > Duration(0) &&
                       now - open.info.arrived > open.declared.deadline / 2;
  ChoiceQuery query{open.declared.tier,
                    floor_due || overdue,
                    open.info.prefix,
                    open.tried,
                    false,
                    nullptr,
                    now};
  if (suspect) {
    // Suspects of this entry never share an upstream, so that a crash can be
    // attributed to one of them.
    query.allowed = [this](const UpstreamState& upstream) {
      return std::none_of(upstream.running.begin(), upstream.running.end(),
                          [this](const RunningAttempt& attempt) {
                            return IsSuspect(attempt.fingerprint);
                          });
    };
  }
  *chosen = chooser_.Choose(upstreams_.Serving(queued.target), query);
  if (*chosen != nullptr) {
    return Eligibility::kEligible;
  }
  return suspect || !open.tried.empty() ? Eligibility::kSkipRequest
                                        : Eligibility::kSkipClass;
}

std::optional<Error> StandardDispatcher::CheckStartable(const OpenRequest& open,
                                                        TimePoint now) const {
  if (IsQuarantined(open.info)) {
    return QuarantinedError();
  }
  if (auto error = CheckStop(open, Duration(0), now)) {
    return error;
  }
  if (auto error = CheckHeldBack(open, now)) {
    return error;
  }
  const Duration first_token = latency_.FirstTokenWait(
      open.declared.name, open.target, kMedianPermille, now);
  return CheckDeadline({now, DeadlineOf(open), Duration(0), first_token});
}

void StandardDispatcher::Start(OpenRequest* open, UpstreamState* upstream,
                               Decisions* out, TimePoint now) {
  const Announcement& a = upstream->announcement;
  ++open->attempt;
  open->upstream = a.instance;
  open->tried.push_back(a.instance);
  open->first_token.reset();
  ++running_by_fingerprint_[open->info.fingerprint];
  if (upstream->limit) {
    upstream->share.Take(now);
  }
  upstreams_.AttemptStarted(
      upstream, {open->info.id, open->info.fingerprint, now, false,
                 part_quarantine_.KnownAgainst(open->info.shared_parts)});
  out->push_back(StartAttempt{open->info.id, open->attempt, a.instance,
                              a.endpoint, open->declared.tier,
                              a.not_run_statuses});
}

bool StandardDispatcher::IsQuarantined(const RequestInfo& request) const {
  return quarantine_.StatusOf(request.fingerprint) ==
             QuarantineStatus::kQuarantined ||
         part_quarantine_.FindQuarantined(request.shared_parts).has_value();
}

std::vector<PartSuspicion> StandardDispatcher::TakePartSuspicions(
    TimePoint now) {
  if (now - all_parts_told_at_ >= kTellAllPartsPeriod) {
    all_parts_told_at_ = now;
    changed_parts_ = part_quarantine_.All();
  }
  return std::exchange(changed_parts_, {});
}

void StandardDispatcher::MergePartSuspicion(const PartSuspicion& suspicion,
                                            TimePoint now) {
  if (const auto own = part_quarantine_.Merge(suspicion, now)) {
    AddChangedParts({*own});
  }
}

void StandardDispatcher::AddChangedParts(
    const std::vector<PartSuspicion>& changed) {
  changed_parts_.insert(changed_parts_.end(), changed.begin(), changed.end());
}

bool StandardDispatcher::AllTried(const OpenRequest& open) const {
  const UpstreamTable::List& list = upstreams_.Serving(open.target);
  return std::none_of(list.begin(), list.end(), [&](const UpstreamState* u) {
    return u->AcceptsNewWork() &&
           std::find(open.tried.begin(), open.tried.end(),
                     u->announcement.instance) == open.tried.end();
  });
}

void StandardDispatcher::ShedUnstartable(Decisions* out, TimePoint now) {
  for (const QueuedRequest& queued : queue_.Waiting()) {
    if (auto error = CheckStartable(open_requests_.at(queued.id), now)) {
      queue_.Remove(queued.id);
      const bool keeps_time = error->code == ErrorCode::kQuarantined ||
                              error->code == ErrorCode::kNoUpstream ||
                              stop_plan_.has_value();
      if (!keeps_time) {
        error->retry_after = RetryAfterBacklog(ExpectedSlotWait(
            queued.target, open_requests_.at(queued.id).declared, now));
      }
      RefuseOpen(queued.id, *error, out);
    }
  }
}

void StandardDispatcher::RefuseWithoutUpstream(const Target& target,
                                               Decisions* out) {
  if (upstreams_.HasAvailableUpstream(target)) {
    return;
  }
  for (const QueuedRequest& queued : queue_.Waiting()) {
    if (queued.target == target) {
      queue_.Remove(queued.id);
      RefuseOpen(queued.id, UnavailableError(target), out);
    }
  }
}

Error StandardDispatcher::UnavailableError(const Target& target) const {
  return upstreams_.HasLostPath(target) ? NoPathError(target)
                                        : NoUpstreamError(target);
}

std::vector<Decision> StandardDispatcher::SetPathLost(
    const UpstreamId& upstream, bool lost, TimePoint now) {
  UpstreamState* state = upstreams_.Find(upstream);
  if (state == nullptr) {
    return {};
  }
  state->path_lost = lost;
  if (!lost) {
    state->avoid_until = now;
  }
  Decisions out;
  for (const Target& target : TargetsOf(state->announcement)) {
    DispatchWaiting(target, &out, now);
    RefuseWithoutUpstream(target, &out);
  }
  return out;
}

void StandardDispatcher::RefuseOpen(RequestId id, Error error, Decisions* out) {
  error.verdict = Strongest(error.verdict, open_requests_.at(id).verdict);
  Close(id);
  out->push_back(Refuse{std::move(id), std::move(error)});
}

void StandardDispatcher::Close(const RequestId& id) {
  const auto it = open_requests_.find(id);
  if (it->second.counted) {
    accounts_.End(it->second.info.account);
  }
  open_requests_.erase(it);
}

ClassQueue::Cutoff StandardDispatcher::LateCutoff(const Target& target,
                                                  TimePoint now) const {
  return [this, target, now](const RequestClassName& name) {
    const RequestClass* declared = FindClass(config_, name);
    if (declared == nullptr || declared->first_token_target == Duration(0)) {
      return TimePoint::min();
    }
    const Duration first_token =
        latency_.FirstTokenWait(name, target, kMedianPermille, now);
    return now + first_token - declared->first_token_target;
  };
}

TimePoint StandardDispatcher::DeadlineOf(const OpenRequest& open) const {
  return open.declared.deadline == Duration(0)
             ? TimePoint::max()
             : open.info.arrived + open.declared.deadline;
}

bool StandardDispatcher::IsSuspect(std::uint64_t fingerprint) const {
  return quarantine_.StatusOf(fingerprint) != QuarantineStatus::kClear;
}

}  // namespace rattanward::policy
