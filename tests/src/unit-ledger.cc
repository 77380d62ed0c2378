#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "rattanward/ledger/state_machine.h"

namespace rattanward::ledger {
namespace {

constexpr Duration kWindow{1'000'000};
constexpr LogTime kNow{5'000'000};

const ClaimKey kKey{ClientAccountId("gate"), IdempotencyKey("k1")};

ClaimBegin MakeBegin(const std::string& attempt,
                     const std::string& body = "b1") {
  return {kKey, body, AttemptId(attempt), ProcessId("entry-1"), kWindow};
}

ClaimRelease MakeRelease(const std::string& attempt) {
  return {kKey, AttemptId(attempt), kWindow};
}

ClaimFinish MakeFinish(const std::string& attempt) {
  return {kKey, AttemptId(attempt),
          StoredOutcome{Verdict::kRan, 200, "application/json", true, "{}"}};
}

ConfigApply MakeConfigApply(const std::string& id, std::uint64_t expected,
                            const std::string& text = "x = 1") {
  return {CommandId(id), ConfigVersion{expected}, text};
}

Outcome ApplyCommand(StateMachine& machine, const Command& command,
                     LogTime time = kNow) {
  return machine.Apply({time, command});
}

template <class T>
bool Holds(const Outcome& outcome) {
  return std::holds_alternative<T>(outcome);
}

ErrorCode RefusalCode(const Outcome& outcome) {
  return std::get<Refused>(outcome).code;
}

}  // namespace

TEST_CASE("commands and outcomes are equal after encoding and decoding") {
  const std::vector<Command> commands = {
      MakeConfigApply("c1", 3),
      MakeBegin("a1"),
      MakeRelease("a1"),
      MakeFinish("a1"),
      ClaimsAbandon{ProcessId("entry-1")},
      FencingTake{CommandId("c2"), "runner-7", ProcessId("control-1")},
      UpstreamDrain{CommandId("c3"), UpstreamId("u1"), true},
      QuarantineChange{CommandId("c4"), ~std::uint64_t{0}, true},
      EntryRegister{ProcessId("e"), VmName("vm"), FailureDomain("d")},
      EntryForget{CommandId("c5"), ProcessId(), VmName("vm")},
      LogTimeAdvance{}};
  for (const Command& command : commands) {
    CHECK(DecodeCommand(Encode(command)).value() == command);
    const StampedCommand stamped{kNow, command};
    CHECK(DecodeStamped(Encode(stamped)).value() == stamped);
  }
  const Outcome outcome = ClaimStored{MakeFinish("a").outcome};
  CHECK(DecodeOutcome(Encode(outcome)).value() == outcome);
}

TEST_CASE("decoding refuses malformed commands") {
  const std::string good = Encode(Command(MakeBegin("a1")));
  for (std::size_t cut = 0; cut < good.size(); ++cut) {
    CHECK(DecodeCommand(good.substr(0, cut)).error().code ==
          ErrorCode::kMalformedMessage);
  }
  CHECK(!DecodeCommand(good + "x"));
  CHECK(!DecodeCommand("\xdd\xff\xff\xff\xff"));
  CHECK(!DecodeCommand(Encode(Command(MakeBegin("")))));
  CHECK(!DecodeCommand(
      Encode(Command(MakeBegin(std::string(kMaxNameBytes + 1, 'a'))))));
  CHECK(!DecodeCommand(Encode(Command(
      MakeConfigApply("c", 0, std::string(kMaxConfigBytes + 1, 'x'))))));
  ClaimFinish not_run = MakeFinish("a1");
  not_run.outcome.verdict = Verdict::kNotRun;
  CHECK(!DecodeCommand(Encode(Command(not_run))));
}

TEST_CASE("a configuration is replaced by compare-and-set") {
  StateMachine machine;
  CHECK(ApplyCommand(machine, MakeConfigApply("c1", 0)) ==
        Outcome(ConfigCommitted{ConfigVersion{1}}));
  CHECK(ApplyCommand(machine, MakeConfigApply("c2", 0)) ==
        Outcome(ConfigConflict{ConfigVersion{1}}));
  SUBCASE("a resend gets its first outcome, even after later versions") {
    ApplyCommand(machine, MakeConfigApply("c3", 1));
    CHECK(ApplyCommand(machine, MakeConfigApply("c1", 0)) ==
          Outcome(ConfigCommitted{ConfigVersion{1}}));
    CHECK(ApplyCommand(machine, MakeConfigApply("c2", 0)) ==
          Outcome(ConfigConflict{ConfigVersion{1}}));
    CHECK(machine.config_version() == ConfigVersion{2});
  }
  SUBCASE("another command with the same id is refused") {
    CHECK(
        RefusalCode(ApplyCommand(machine, MakeConfigApply("c1", 0, "x = 2"))) ==
        ErrorCode::kCommandIdReused);
    CHECK(machine.config_version() == ConfigVersion{1});
  }
  SUBCASE("the history is limited in count and in bytes") {
    for (std::uint64_t v = 1; v <= 2 * kMaxConfigRecords; ++v) {
      ApplyCommand(machine, MakeConfigApply("d" + std::to_string(v), v));
    }
    CHECK(machine.configs().size() == kMaxConfigRecords);
    const std::string large(kMaxConfigBytes, 'x');
    for (int i = 0; i < 5; ++i) {
      const std::uint64_t v = machine.config_version().value;
      ApplyCommand(machine, MakeConfigApply("e" + std::to_string(v), v, large));
    }
    CHECK(machine.configs().size() == 3);
  }
}

TEST_CASE("at most one attempt holds the claim of a key") {
  StateMachine machine;
  CHECK(Holds<ClaimTaken>(ApplyCommand(machine, MakeBegin("a1"))));
  CHECK(Holds<ClaimTaken>(ApplyCommand(machine, MakeBegin("a1"))));
  CHECK(Holds<ClaimRunning>(ApplyCommand(machine, MakeBegin("a2"))));
  CHECK(RefusalCode(ApplyCommand(machine, MakeBegin("a2", "b2"))) ==
        ErrorCode::kIdempotencyKeyReused);
  SUBCASE("a finished claim returns its stored outcome") {
    CHECK(Holds<Done>(ApplyCommand(machine, MakeFinish("a1"))));
    CHECK(ApplyCommand(machine, MakeBegin("a2")) ==
          Outcome(ClaimStored{MakeFinish("a1").outcome}));
    CHECK(RefusalCode(ApplyCommand(machine, MakeRelease("a1"))) ==
          ErrorCode::kOutcomeUnknown);
  }
  SUBCASE("only the attempt that holds a claim can finish or release it") {
    CHECK(Holds<Refused>(ApplyCommand(machine, MakeFinish("a2"))));
    CHECK(Holds<Done>(ApplyCommand(machine, MakeRelease("a2"))));
    CHECK(Holds<ClaimRunning>(ApplyCommand(machine, MakeBegin("a3"))));
    CHECK(Holds<Done>(ApplyCommand(machine, MakeRelease("a1"))));
    CHECK(Holds<ClaimTaken>(ApplyCommand(machine, MakeBegin("a3", "b2"))));
    CHECK(Holds<Refused>(ApplyCommand(machine, MakeBegin("a1"))));
  }
  SUBCASE("a claim of a restarted owner may have run and can't be taken") {
    ApplyCommand(machine, ClaimsAbandon{ProcessId("entry-2")});
    CHECK(Holds<ClaimRunning>(ApplyCommand(machine, MakeBegin("a2"))));
    ApplyCommand(machine, ClaimsAbandon{ProcessId("entry-1")});
    const auto stored =
        std::get<ClaimStored>(ApplyCommand(machine, MakeBegin("a2")));
    CHECK(stored.outcome.verdict == Verdict::kMayHaveRun);
    CHECK(Holds<Done>(ApplyCommand(machine, MakeFinish("a1"))));
    CHECK(ApplyCommand(machine, MakeBegin("a2")) ==
          Outcome(ClaimStored{MakeFinish("a1").outcome}));
  }
  SUBCASE("a claim expires after its window in log time") {
    const LogTime later{kNow.value + 1'000'000};
    CHECK(Holds<ClaimRunning>(
        ApplyCommand(machine, MakeBegin("a2"), LogTime{later.value - 1})));
    CHECK(Holds<ClaimTaken>(ApplyCommand(machine, MakeBegin("a2"), later)));
  }
}

TEST_CASE("a release applied before its claim bars the attempt") {
  StateMachine machine;
  CHECK(Holds<Done>(ApplyCommand(machine, MakeRelease("a1"))));
  CHECK(Holds<Refused>(ApplyCommand(machine, MakeBegin("a1"))));
  CHECK(Holds<ClaimTaken>(ApplyCommand(machine, MakeBegin("a2"))));
}

TEST_CASE("log time does not go back") {
  StateMachine machine;
  ApplyCommand(machine, LogTimeAdvance{}, LogTime{100});
  ApplyCommand(machine, LogTimeAdvance{}, LogTime{50});
  CHECK(machine.time() == LogTime{100});
}

TEST_CASE("the total size of stored response bodies is limited") {
  StateMachine machine;
  const std::size_t count = kMaxTotalStoredBodyBytes / kMaxStoredBodyBytes + 1;
  for (std::size_t i = 0; i < count; ++i) {
    const ClaimKey key{ClientAccountId("gate"),
                       IdempotencyKey(std::to_string(i))};
    ApplyCommand(machine,
                 ClaimBegin{key, "b", AttemptId("a"), ProcessId("e"), kWindow});
    ApplyCommand(
        machine,
        ClaimFinish{key, AttemptId("a"),
                    StoredOutcome{Verdict::kRan, 200, "t", true,
                                  std::string(kMaxStoredBodyBytes, 'x')}});
  }
  const ClaimKey last{ClientAccountId("gate"),
                      IdempotencyKey(std::to_string(count - 1))};
  CHECK(machine.claims().Find(last)->outcome.verdict == Verdict::kRan);
  CHECK(!machine.claims().Find(last)->outcome.has_body);
}

TEST_CASE("a damaged snapshot is refused") {
  StateMachine machine;
  ApplyCommand(machine, MakeConfigApply("c1", 0));
  const std::string bytes = machine.Snapshot();
  CHECK(StateMachine::Restore(bytes).value() == machine);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    CHECK(StateMachine::Restore(bytes.substr(0, cut)).error().code ==
          ErrorCode::kDamagedRecord);
  }
}

}  // namespace rattanward::ledger
