#include "rattanward/control/declaration_desk.h"

#include <utility>
#include <vector>

namespace rattanward::control {
namespace {

constexpr std::size_t kMaxHeld = 64;
/// Texts held together. One is always taken, whatever its size.
constexpr std::size_t kMaxHeldBytes = 16U << 20U;

/// Whether the declaration may be tried again here or at another leader.
bool MayTryAgain(const Error& error) {
  return error.code == ErrorCode::kNotLeader ||
         error.code == ErrorCode::kNoQuorum ||
         error.code == ErrorCode::kDisconnected;
}

Error RefusalOf(const LeaderView& view) {
  std::string reason = "no control VM is known to lead";
  if (view.leads) {
    reason =
        "fewer voters than required, or a membership change is not committed "
        "yet";
  } else if (!view.other_leader.empty()) {
    reason = "the leader can't be reached, or can't commit now";
  }
  return MakeError(ErrorCode::kNoQuorum, reason);
}

}  // namespace

void DeclarationDesk::Take(Declaration declaration, DeclarationSource source,
                           TimePoint now, Done done) {
  if (!HasRoomFor(declaration)) {
    done(MakeError(ErrorCode::kTooManyOpenRequests,
                   "too many declarations wait"));
    return;
  }
  const std::uint64_t number = ++last_number_;
  held_bytes_ += declaration.text.size();
  Held& held = held_[number];
  held.declaration = std::make_shared<Declaration>(std::move(declaration));
  held.source = source;
  held.since = now;
  held.done = std::move(done);
  Advance(number, now);
}

bool DeclarationDesk::HasRoomFor(const Declaration& declaration) const {
  return held_.empty() ||
         (held_.size() < kMaxHeld &&
          held_bytes_ + declaration.text.size() <= kMaxHeldBytes);
}

void DeclarationDesk::Check(TimePoint now) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, held] : held_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    Advance(number, now);
  }
}

void DeclarationDesk::Advance(std::uint64_t number, TimePoint now) {
  const auto found = held_.find(number);
  if (found == held_.end() || found->second.committing) {
    return;
  }
  const Held& held = found->second;
  const LeaderView view = hooks_.view(now);
  const DeclarationState state{held.source, now - held.since, held.asked,
                               held.awaits_answer};
  switch (NextStep(view, state)) {
    case DeclarationStep::kCommit:
      Commit(number);
      break;
    case DeclarationStep::kPassOn:
      PassOn(number, view.other_leader);
      break;
    case DeclarationStep::kWait:
      break;
    case DeclarationStep::kRedirect:
      Finish(number, MakeError(ErrorCode::kNotLeader,
                               "this control VM is not a confirmed leader"));
      break;
    case DeclarationStep::kRefuse:
      Finish(number, RefusalOf(view));
      break;
  }
}

void DeclarationDesk::Commit(std::uint64_t number) {
  Held& held = held_.at(number);
  held.committing = true;
  const auto declaration = held.declaration;
  hooks_.commit(*declaration, [this, number](const Status& status) {
    TakeOutcome(number, status);
  });
}

void DeclarationDesk::PassOn(std::uint64_t number, const VoterId& leader) {
  Held& held = held_.at(number);
  held.asked = leader;
  held.awaits_answer = true;
  const auto declaration = held.declaration;
  hooks_.pass_on(leader, *declaration,
                 [this, number, leader](const Status& status) {
                   TakeAnswer(number, leader, status);
                 });
}

void DeclarationDesk::TakeOutcome(std::uint64_t number, const Status& status) {
  const auto found = held_.find(number);
  if (found == held_.end()) {
    return;
  }
  found->second.committing = false;
  if (status || !MayTryAgain(status.error())) {
    Finish(number, status);
  }
}

/// What an earlier leader says after another one was asked counts only if it
/// has acknowledged.
void DeclarationDesk::TakeAnswer(std::uint64_t number, const VoterId& leader,
                                 const Status& status) {
  const auto found = held_.find(number);
  if (found == held_.end()) {
    return;
  }
  if (status) {
    Finish(number, status);
    return;
  }
  if (found->second.asked != leader) {
    return;
  }
  found->second.awaits_answer = false;
  if (!MayTryAgain(status.error())) {
    Finish(number, status);
  }
}

void DeclarationDesk::Finish(std::uint64_t number, const Status& status) {
  auto held = held_.extract(number);
  if (held.empty()) {
    return;
  }
  held_bytes_ -= held.mapped().declaration->text.size();
  held.mapped().done(status);
}

}  // namespace rattanward::control
