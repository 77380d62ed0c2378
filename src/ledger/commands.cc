#include "rattanward/ledger/commands.h"

#include <boost/outcome/try.hpp>

#include "rattanward/ledger/detail/codec.h"
#include "rattanward/ledger/detail/command_fields.h"

namespace rattanward::ledger {
namespace {

constexpr std::size_t kMaxArrayItems = kMaxUsageAccounts;

Status Malformed(const std::string& what) {
  return MakeError(ErrorCode::kMalformedMessage, what);
}

Status CheckName(const std::string& value, const char* field) {
  if (value.empty()) {
    return Malformed(std::string(field) + " is empty");
  }
  if (value.size() > kMaxNameBytes) {
    return Malformed(std::string(field) + " has " +
                     std::to_string(value.size()) + " bytes, at most " +
                     std::to_string(kMaxNameBytes) + " are allowed");
  }
  return outcome::success();
}

Status CheckClaim(const ClaimKey& claim, const AttemptId& attempt) {
  BOOST_OUTCOME_TRYV(CheckName(claim.account.str(), "account"));
  BOOST_OUTCOME_TRYV(CheckName(claim.key.str(), "idempotency key"));
  return CheckName(attempt.str(), "attempt");
}

Status CheckWindow(Duration window) {
  return window > Duration(0) ? Status(outcome::success())
                              : Malformed("claim window is not positive");
}

Status CheckFields(const ConfigApply& command) {
  BOOST_OUTCOME_TRYV(CheckName(command.command_id.str(), "command id"));
  if (command.text.size() > kMaxConfigBytes) {
    return Malformed("configuration has " +
                     std::to_string(command.text.size()) + " bytes, at most " +
                     std::to_string(kMaxConfigBytes) + " are allowed");
  }
  return outcome::success();
}

Status CheckFields(const ClaimBegin& command) {
  BOOST_OUTCOME_TRYV(CheckClaim(command.claim, command.attempt));
  BOOST_OUTCOME_TRYV(CheckName(command.body_hash, "body hash"));
  BOOST_OUTCOME_TRYV(CheckName(command.owner.str(), "owner"));
  return CheckWindow(command.window);
}

Status CheckFields(const ClaimRelease& command) {
  BOOST_OUTCOME_TRYV(CheckClaim(command.claim, command.attempt));
  return CheckWindow(command.window);
}

Status CheckFields(const ClaimFinish& command) {
  BOOST_OUTCOME_TRYV(CheckClaim(command.claim, command.attempt));
  const Verdict verdict = command.outcome.verdict;
  if (verdict != Verdict::kRan && verdict != Verdict::kMayHaveRun) {
    return Malformed(
        "a finished claim must have the verdict ran or may-have-run");
  }
  if (command.outcome.content_type.size() > kMaxNameBytes ||
      command.outcome.body.size() > kMaxStoredBodyBytes) {
    return Malformed("content type or body of the stored outcome is too large");
  }
  return outcome::success();
}

Status CheckFields(const ClaimsAbandon& command) {
  return CheckName(command.owner.str(), "owner");
}

Status CheckFields(const FencingTake& command) {
  BOOST_OUTCOME_TRYV(CheckName(command.command_id.str(), "command id"));
  BOOST_OUTCOME_TRYV(CheckName(command.resource, "resource"));
  return CheckName(command.holder.str(), "holder");
}

Status CheckFields(const UpstreamDrain& command) {
  BOOST_OUTCOME_TRYV(CheckName(command.command_id.str(), "command id"));
  return CheckName(command.upstream.str(), "upstream");
}

Status CheckFields(const QuarantineChange& command) {
  return CheckName(command.command_id.str(), "command id");
}

Status CheckFields(const EntryRegister& command) {
  BOOST_OUTCOME_TRYV(CheckName(command.process.str(), "process"));
  BOOST_OUTCOME_TRYV(CheckName(command.vm.str(), "VM"));
  return CheckName(command.failure_domain.str(), "failure domain");
}

Status CheckFields(const EntryForget& command) {
  BOOST_OUTCOME_TRYV(CheckName(command.command_id.str(), "command id"));
  if (command.process.empty()) {
    return CheckName(command.vm.str(), "VM");
  }
  return CheckName(command.process.str(), "process");
}

Status CheckFields(const LogTimeAdvance&) { return outcome::success(); }

Status CheckFields(const RoutingDeclare& command) {
  if (command.version.value == 0) {
    return Malformed(
        "the version of the declaration of routes is 0; it must be positive");
  }
  if (command.text.size() > kMaxRoutingBytes) {
    return Malformed("declaration of routes has " +
                     std::to_string(command.text.size()) + " bytes, at most " +
                     std::to_string(kMaxRoutingBytes) + " are allowed");
  }
  return outcome::success();
}

Status CheckFields(const UsageStore& command) {
  if (command.window == 0) {
    return Malformed("the number of a usage window is 0");
  }
  for (const auto& [account, count] : command.counts) {
    BOOST_OUTCOME_TRYV(CheckName(account.str(), "account"));
  }
  return outcome::success();
}

}  // namespace

std::string Encode(const Command& command) {
  return detail::EncodeValue(command);
}

Result<Command> DecodeCommand(const std::string& bytes) {
  BOOST_OUTCOME_TRY(command, detail::DecodeValue<Command>(bytes, kMaxArrayItems,
                                                          kMaxCommandBytes));
  BOOST_OUTCOME_TRYV(Check(command));
  return command;
}

std::string Encode(const StampedCommand& stamped) {
  return detail::EncodeValue(stamped);
}

Result<StampedCommand> DecodeStamped(const std::string& bytes) {
  BOOST_OUTCOME_TRY(stamped, detail::DecodeValue<StampedCommand>(
                                 bytes, kMaxArrayItems, kMaxCommandBytes));
  BOOST_OUTCOME_TRYV(Check(stamped.command));
  return stamped;
}

std::string Encode(const Outcome& outcome) {
  return detail::EncodeValue(outcome);
}

Result<Outcome> DecodeOutcome(const std::string& bytes) {
  return detail::DecodeValue<Outcome>(bytes, kMaxArrayItems, kMaxCommandBytes);
}

Status Check(const Command& command) {
  return std::visit(
      [](const auto& alternative) { return CheckFields(alternative); },
      command);
}

}  // namespace rattanward::ledger
