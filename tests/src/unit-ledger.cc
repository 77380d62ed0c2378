#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "rattanward/ledger/state_machine.h"

namespace rattanward::ledger {
namespace {

constexpr Duration kWindow{1'000'000};
constexpr LogTime kNow{5'000'000};

const ClaimKey kKey{ClientAccountId("gate"), IdempotencyKey("k1")};

ClaimBegin Begin(const std::string& attempt, const std::string& body = "b1") {
  return {kKey, body, AttemptId(attempt), ProcessId("entry-1"), kWindow};
}

ClaimRelease Release(const std::string& attempt) {
  return {kKey, AttemptId(attempt), kWindow};
}

ClaimFinish Finish(const std::string& attempt) {
  return {kKey, AttemptId(attempt),
          StoredOutcome{Verdict::kRan, 200, "application/json", true, "{}"}};
}

ConfigApply Apply(const std::string& id, std::uint64_t expected,
                  const std::string& text = "x = 1") {
  return {CommandId(id), ConfigVersion{expected}, text};
}

Outcome Run(StateMachine& machine, const Command& command,
            LogTime time = kNow) {
  return machine.Apply({time, command});
}

template <class T>
bool Holds(const Outcome& outcome) {
  return std::holds_alternative<T>(outcome);
}

ErrorCode Refusal(const Outcome& outcome) {
  return std::get<Refused>(outcome).code;
}

}  // namespace

TEST_CASE("commands and outcomes survive encoding") {
  const std::vector<Command> commands = {
      Apply("c1", 3),
      Begin("a1"),
      Release("a1"),
      Finish("a1"),
      ClaimsAbandon{ProcessId("entry-1")},
      FencingTake{CommandId("c2"), "runner-7", ProcessId("control-1")},
      UpstreamDrain{CommandId("c3"), UpstreamId("u1"), true},
      QuarantineChange{CommandId("c4"), ~std::uint64_t{0}, true},
      EntryRegister{ProcessId("e"), VmName("vm"), FailureDomain("d")},
      EntryForget{CommandId("c5"), ProcessId(), VmName("vm")},
      TimeMark{}};
  for (const Command& command : commands) {
    CHECK(DecodeCommand(Encode(command)).value() == command);
    const StampedCommand stamped{kNow, command};
    CHECK(DecodeStamped(Encode(stamped)).value() == stamped);
  }
  const Outcome outcome = ClaimStored{Finish("a").outcome};
  CHECK(DecodeOutcome(Encode(outcome)).value() == outcome);
}

TEST_CASE("malformed commands are refused by number") {
  const std::string good = Encode(Command(Begin("a1")));
  for (std::size_t cut = 0; cut < good.size(); ++cut) {
    CHECK(DecodeCommand(good.substr(0, cut)).error().code ==
          ErrorCode::kMalformedMessage);
  }
  CHECK(!DecodeCommand(good + "x"));
  CHECK(!DecodeCommand("\xdd\xff\xff\xff\xff"));
  CHECK(!DecodeCommand(Encode(Command(Begin("")))));
  CHECK(!DecodeCommand(
      Encode(Command(Begin(std::string(kMaxNameBytes + 1, 'a'))))));
  CHECK(!DecodeCommand(
      Encode(Command(Apply("c", 0, std::string(kMaxConfigBytes + 1, 'x'))))));
  ClaimFinish not_run = Finish("a1");
  not_run.outcome.verdict = Verdict::kNotRun;
  CHECK(!DecodeCommand(Encode(Command(not_run))));
}

TEST_CASE("a configuration is replaced by compare-and-set") {
  StateMachine machine;
  CHECK(Run(machine, Apply("c1", 0)) ==
        Outcome(ConfigCommitted{ConfigVersion{1}}));
  CHECK(Run(machine, Apply("c2", 0)) ==
        Outcome(ConfigConflict{ConfigVersion{1}}));
  SUBCASE("a resend gets the first outcome, also after later versions") {
    Run(machine, Apply("c3", 1));
    CHECK(Run(machine, Apply("c1", 0)) ==
          Outcome(ConfigCommitted{ConfigVersion{1}}));
    CHECK(Run(machine, Apply("c2", 0)) ==
          Outcome(ConfigConflict{ConfigVersion{1}}));
    CHECK(machine.config_version() == ConfigVersion{2});
  }
  SUBCASE("another command under the same id is refused") {
    CHECK(Refusal(Run(machine, Apply("c1", 0, "x = 2"))) ==
          ErrorCode::kCommandIdReused);
    CHECK(machine.config_version() == ConfigVersion{1});
  }
  SUBCASE("history is bounded by count and by bytes") {
    for (std::uint64_t v = 1; v <= 2 * kMaxConfigRecords; ++v) {
      Run(machine, Apply("d" + std::to_string(v), v));
    }
    CHECK(machine.configs().size() == kMaxConfigRecords);
    const std::string large(kMaxConfigBytes, 'x');
    for (int i = 0; i < 5; ++i) {
      const std::uint64_t v = machine.config_version().value;
      Run(machine, Apply("e" + std::to_string(v), v, large));
    }
    CHECK(machine.configs().size() == 3);
  }
}

TEST_CASE("a key runs at most once") {
  StateMachine machine;
  CHECK(Holds<ClaimTaken>(Run(machine, Begin("a1"))));
  CHECK(Holds<ClaimTaken>(Run(machine, Begin("a1"))));
  CHECK(Holds<ClaimRunning>(Run(machine, Begin("a2"))));
  CHECK(Refusal(Run(machine, Begin("a2", "b2"))) ==
        ErrorCode::kIdempotencyKeyReused);
  SUBCASE("a finished key gives the stored outcome") {
    CHECK(Holds<Done>(Run(machine, Finish("a1"))));
    CHECK(Run(machine, Begin("a2")) ==
          Outcome(ClaimStored{Finish("a1").outcome}));
    CHECK(Refusal(Run(machine, Release("a1"))) == ErrorCode::kOutcomeUnknown);
  }
  SUBCASE("only its own attempt finishes or frees a claim") {
    CHECK(Holds<Refused>(Run(machine, Finish("a2"))));
    CHECK(Holds<Done>(Run(machine, Release("a2"))));
    CHECK(Holds<ClaimRunning>(Run(machine, Begin("a3"))));
    CHECK(Holds<Done>(Run(machine, Release("a1"))));
    CHECK(Holds<ClaimTaken>(Run(machine, Begin("a3", "b2"))));
    CHECK(Holds<Refused>(Run(machine, Begin("a1"))));
  }
  SUBCASE("a restarted owner's claim may have run, and nobody runs it") {
    Run(machine, ClaimsAbandon{ProcessId("entry-2")});
    CHECK(Holds<ClaimRunning>(Run(machine, Begin("a2"))));
    Run(machine, ClaimsAbandon{ProcessId("entry-1")});
    const auto stored = std::get<ClaimStored>(Run(machine, Begin("a2")));
    CHECK(stored.outcome.verdict == Verdict::kMayHaveRun);
    CHECK(Holds<Done>(Run(machine, Finish("a1"))));
    CHECK(Run(machine, Begin("a2")) ==
          Outcome(ClaimStored{Finish("a1").outcome}));
  }
  SUBCASE("a key is forgotten after its window in log time") {
    const LogTime later{kNow.value + 1'000'000};
    CHECK(Holds<ClaimRunning>(
        Run(machine, Begin("a2"), LogTime{later.value - 1})));
    CHECK(Holds<ClaimTaken>(Run(machine, Begin("a2"), later)));
  }
}

TEST_CASE("a release that overtakes its claim bars the attempt") {
  StateMachine machine;
  CHECK(Holds<Done>(Run(machine, Release("a1"))));
  CHECK(Holds<Refused>(Run(machine, Begin("a1"))));
  CHECK(Holds<ClaimTaken>(Run(machine, Begin("a2"))));
}

TEST_CASE("log time does not go back") {
  StateMachine machine;
  Run(machine, TimeMark{}, LogTime{100});
  Run(machine, TimeMark{}, LogTime{50});
  CHECK(machine.time() == LogTime{100});
}

TEST_CASE("kept answers are bounded in total") {
  StateMachine machine;
  const std::size_t count = kMaxStoredBytes / kMaxStoredBodyBytes + 1;
  for (std::size_t i = 0; i < count; ++i) {
    const ClaimKey key{ClientAccountId("gate"),
                       IdempotencyKey(std::to_string(i))};
    Run(machine, ClaimBegin{key, "b", AttemptId("a"), ProcessId("e"), kWindow});
    Run(machine,
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
  Run(machine, Apply("c1", 0));
  const std::string bytes = machine.Snapshot();
  CHECK(StateMachine::Restore(bytes).value() == machine);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    CHECK(StateMachine::Restore(bytes.substr(0, cut)).error().code ==
          ErrorCode::kDamagedRecord);
  }
}

}  // namespace rattanward::ledger
