#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "rattanward/control/declaration_step.h"
#include "rattanward/domain/ids.h"
#include "rattanward/domain/result.h"
#include "rattanward/domain/time.h"

namespace rattanward::control {

/// @brief The operator's routes with the version that the operator gave them.
struct Declaration {
  ConfigVersion version;
  std::string text;

  friend bool operator==(const Declaration&, const Declaration&) = default;
};

/// @brief What a declaration desk needs of its control VM.
struct DeclarationHooks {
  using Done = std::function<void(Status)>;

  std::function<LeaderView(TimePoint now)> view;
  /// Commits a declaration and waits for the entries.
  std::function<void(const Declaration&, Done)> commit;
  /// Passes a declaration on to a leader and waits for its answer.
  std::function<void(const VoterId& leader, const Declaration&, Done)> pass_on;
};

/// @brief Holds each declaration until it is committed here, acknowledged by
/// the leader, or answered with an error.
/// @note A declaration may be committed more than once, which changes nothing.
class DeclarationDesk {
 public:
  using Done = DeclarationHooks::Done;

  explicit DeclarationDesk(DeclarationHooks hooks) : hooks_(std::move(hooks)) {}

  /// @brief Takes a declaration.
  /// @param done Called once.
  /// Errors: kNotLeader if the caller has to ask the leader; kNoQuorum if there
  /// is none, or too few voters; kOutcomeUnknown if it may have been committed;
  /// kTooManyOpenRequests if too many are held.
  void Take(Declaration declaration, DeclarationSource source, TimePoint now,
            Done done);

  /// @brief Takes the next step of every declaration that waits.
  void Check(TimePoint now);

  /// @brief Number of declarations without an answer.
  std::size_t held() const { return held_.size(); }

 private:
  struct Held {
    /// Shared with the call under way, whose outcome may end the hold.
    std::shared_ptr<const Declaration> declaration;
    DeclarationSource source = DeclarationSource::kOperator;
    TimePoint since;
    VoterId asked;
    bool awaits_answer = false;
    bool committing = false;
    Done done;
  };

  bool HasRoomFor(const Declaration& declaration) const;
  void Advance(std::uint64_t number, TimePoint now);
  void Commit(std::uint64_t number);
  void PassOn(std::uint64_t number, const VoterId& leader);
  void TakeOutcome(std::uint64_t number, const Status& status);
  void TakeAnswer(std::uint64_t number, const VoterId& leader,
                  const Status& status);
  void Finish(std::uint64_t number, const Status& status);

  DeclarationHooks hooks_;
  std::map<std::uint64_t, Held> held_;
  std::size_t held_bytes_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace rattanward::control
