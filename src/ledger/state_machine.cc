#include "rattanward/ledger/state_machine.h"

#include <xxhash.h>

#include <algorithm>

#include "rattanward/ledger/detail/codec.h"
#include "rattanward/ledger/detail/command_fields.h"

namespace rattanward::ledger {
namespace {

constexpr std::uint32_t kSnapshotFormat = 2;
constexpr std::size_t kMaxSnapshotItems = 2'000'000;
constexpr std::size_t kMaxDrained = 10'000;
constexpr std::size_t kMaxQuarantined = 100'000;
constexpr std::size_t kMaxFencing = 100'000;
constexpr std::size_t kMaxEntries = 10'000;

template <class T>
concept OperatorCommand = requires(const T& command) {
  command.command_id;
};

Refused TableFull(const std::string& what) {
  return Refused{ErrorCode::kOrderRefused, "too many " + what};
}

/// Everything that a snapshot holds.
struct SnapshotData {
  std::uint32_t format = kSnapshotFormat;
  LogTime time;
  std::vector<ConfigRecord> configs;
  std::vector<CommandRecord> commands;
  std::map<ClaimKey, Claim> claims;
  std::map<std::string, Fencing> fencing;
  std::set<UpstreamId> drained;
  std::set<std::uint64_t> quarantined;
  std::map<ProcessId, EntryRecord> entries;
  RoutingRecord routing;
};

void Fields(Is<SnapshotData> auto& v, auto& visit) {
  visit(v.format, v.time, v.configs, v.commands, v.claims, v.fencing, v.drained,
        v.quarantined, v.entries, v.routing);
}

}  // namespace

void Fields(Is<ConfigRecord> auto& v, auto& visit) {
  visit(v.version, v.command_id, v.committed_at, v.text);
}
void Fields(Is<CommandRecord> auto& v, auto& visit) {
  visit(v.id, v.digest, v.outcome);
}
void Fields(Is<Claim> auto& v, auto& visit) {
  visit(v.body_hash, v.owner, v.attempt, v.phase, v.outcome, v.released,
        v.window, v.expires);
}
void Fields(Is<Fencing> auto& v, auto& visit) { visit(v.number, v.holder); }
void Fields(Is<EntryRecord> auto& v, auto& visit) {
  visit(v.process, v.vm, v.failure_domain);
}

void Fields(Is<RoutingRecord> auto& v, auto& visit) {
  visit(v.version, v.text);
}

Outcome StateMachine::Apply(const StampedCommand& stamped) {
  time_ = std::max(time_, stamped.time);
  claims_.Expire(time_);
  return std::visit(
      [this](const auto& command) -> Outcome {
        if constexpr (OperatorCommand<std::decay_t<decltype(command)>>) {
          return ApplyOperatorCommand(command);
        } else {
          return Run(command);
        }
      },
      stamped.command);
}

template <class T>
Outcome StateMachine::ApplyOperatorCommand(const T& command) {
  const std::string bytes = Encode(Command(command));
  const std::uint64_t digest = XXH3_64bits(bytes.data(), bytes.size());
  const auto known = std::find_if(
      commands_.begin(), commands_.end(),
      [&](const CommandRecord& r) { return r.id == command.command_id; });
  if (known != commands_.end()) {
    return known->digest == digest
               ? known->outcome
               : Outcome(
                     Refused{ErrorCode::kCommandIdReused,
                             "the command id was used for another command: " +
                                 command.command_id.str()});
  }
  Outcome outcome = Run(command);
  if (commands_.size() == kMaxCommandRecords) {
    commands_.erase(commands_.begin());
  }
  commands_.push_back({command.command_id, digest, outcome});
  return outcome;
}

Outcome StateMachine::Run(const ConfigApply& command) {
  const ConfigVersion newest = config_version();
  if (command.expected != newest) {
    return ConfigConflict{newest};
  }
  const ConfigVersion version{newest.value + 1};
  configs_.push_back({version, command.command_id, time_, command.text});
  TrimConfigs();
  return ConfigCommitted{version};
}

Outcome StateMachine::Run(const ClaimBegin& command) {
  return claims_.Begin(command, time_);
}

Outcome StateMachine::Run(const ClaimRelease& command) {
  return claims_.Release(command, time_);
}

Outcome StateMachine::Run(const ClaimFinish& command) {
  return claims_.Finish(command, time_);
}

Outcome StateMachine::Run(const ClaimsAbandon& command) {
  return claims_.Abandon(command, time_);
}

Outcome StateMachine::Run(const FencingTake& command) {
  if (fencing_.size() >= kMaxFencing && fencing_.count(command.resource) == 0) {
    return TableFull("fenced resources");
  }
  Fencing& fencing = fencing_[command.resource];
  ++fencing.number.value;
  fencing.holder = command.holder;
  return FencingTaken{fencing.number};
}

Outcome StateMachine::Run(const UpstreamDrain& command) {
  if (!command.drained) {
    drained_.erase(command.upstream);
    return Done{};
  }
  if (drained_.size() >= kMaxDrained && drained_.count(command.upstream) == 0) {
    return TableFull("drained upstreams");
  }
  drained_.insert(command.upstream);
  return Done{};
}

Outcome StateMachine::Run(const QuarantineChange& command) {
  if (!command.quarantined) {
    quarantined_.erase(command.fingerprint);
    return Done{};
  }
  if (quarantined_.size() >= kMaxQuarantined &&
      quarantined_.count(command.fingerprint) == 0) {
    return TableFull("quarantined fingerprints");
  }
  quarantined_.insert(command.fingerprint);
  return Done{};
}

Outcome StateMachine::Run(const EntryRegister& command) {
  if (entries_.size() >= kMaxEntries && entries_.count(command.process) == 0) {
    return TableFull("entries");
  }
  entries_[command.process] = {command.process, command.vm,
                               command.failure_domain};
  return Done{};
}

Outcome StateMachine::Run(const EntryForget& command) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool match = command.process.empty() ? it->second.vm == command.vm
                                               : it->first == command.process;
    it = match ? entries_.erase(it) : std::next(it);
  }
  return Done{};
}

Outcome StateMachine::Run(const TimeMark&) { return Done{}; }

Outcome StateMachine::Run(const RoutingDeclare& command) {
  if (command.version > routing_.version) {
    routing_ = {command.version, command.text};
  }
  return RoutingHeld{routing_.version};
}

void StateMachine::TrimConfigs() {
  std::size_t bytes = 0;
  std::size_t keep = 1;
  while (keep < configs_.size() && keep < kMaxConfigRecords) {
    bytes += configs_[configs_.size() - keep - 1].text.size();
    if (bytes > kMaxConfigHistoryBytes) {
      break;
    }
    ++keep;
  }
  configs_.erase(configs_.begin(),
                 configs_.end() - static_cast<std::ptrdiff_t>(keep));
}

ConfigVersion StateMachine::config_version() const {
  return configs_.empty() ? ConfigVersion{} : configs_.back().version;
}

const ConfigRecord* StateMachine::FindConfig(ConfigVersion version) const {
  const auto it =
      std::find_if(configs_.begin(), configs_.end(),
                   [&](const ConfigRecord& r) { return r.version == version; });
  return it == configs_.end() ? nullptr : &*it;
}

std::string StateMachine::Snapshot() const {
  return detail::EncodeValue(SnapshotData{
      kSnapshotFormat, time_, configs_, commands_, claims_.claims(), fencing_,
      drained_, quarantined_, entries_, routing_});
}

Result<StateMachine> StateMachine::Restore(const std::string& bytes) {
  auto data = detail::DecodeValue<SnapshotData>(bytes, kMaxSnapshotItems,
                                                kMaxSnapshotBytes);
  if (!data || data.value().format != kSnapshotFormat) {
    return MakeError(ErrorCode::kDamagedRecord, "not a ledger snapshot");
  }
  SnapshotData& value = data.value();
  StateMachine machine;
  machine.time_ = value.time;
  machine.configs_ = std::move(value.configs);
  machine.commands_ = std::move(value.commands);
  machine.claims_.Restore(std::move(value.claims));
  machine.fencing_ = std::move(value.fencing);
  machine.drained_ = std::move(value.drained);
  machine.quarantined_ = std::move(value.quarantined);
  machine.entries_ = std::move(value.entries);
  machine.routing_ = std::move(value.routing);
  return machine;
}

}  // namespace rattanward::ledger
