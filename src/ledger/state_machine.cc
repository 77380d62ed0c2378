#include "rattanward/ledger/state_machine.h"

#include <xxhash.h>

#include <algorithm>

#include "rattanward/ledger/detail/codec.h"
#include "rattanward/ledger/detail/command_fields.h"

namespace rattanward::ledger {
namespace {

constexpr std::uint32_t kSnapshotFormatVersion = 2;
constexpr std::size_t kMaxSnapshotItems = 2'000'000;
constexpr std::size_t kMaxDrainedUpstreams = 10'000;
constexpr std::size_t kMaxQuarantinedFingerprints = 100'000;
constexpr std::size_t kMaxFencedResources = 100'000;
constexpr std::size_t kMaxEntries = 10'000;

template <class T>
concept OperatorCommand = requires(const T& command) {
  command.command_id;
};

/// The text is stored as part of the outcome of operator commands, so its
/// wording must not differ between replicas.
Refused TableFull(const std::string& what) {
  return Refused{ErrorCode::kOrderRefused, "too many " + what};
}

/// Content of a snapshot. A change of its fields needs a new
/// kSnapshotFormatVersion.
struct SnapshotData {
  std::uint32_t format = kSnapshotFormatVersion;
  LogTime time;
  std::vector<ConfigRecord> configs;
  std::vector<CommandRecord> commands;
  std::map<ClaimKey, Claim> claims;
  std::map<std::string, FencingRecord> fencing;
  std::set<UpstreamId> drained;
  std::set<std::uint64_t> quarantined;
  std::map<ProcessId, EntryRecord> entries;
  RoutingRecord routing;
  /// Left out where it is empty, so that older builds read the snapshot as long
  /// as no usage was stored.
  UsageWindows usage;
};

void VisitFields(MaybeConst<SnapshotData> auto& v, auto& visit) {
  visit.WithTail(v.usage, v.format, v.time, v.configs, v.commands, v.claims,
                 v.fencing, v.drained, v.quarantined, v.entries, v.routing);
}

}  // namespace

void VisitFields(MaybeConst<ConfigRecord> auto& v, auto& visit) {
  visit(v.version, v.command_id, v.committed_at, v.text);
}
void VisitFields(MaybeConst<CommandRecord> auto& v, auto& visit) {
  visit(v.id, v.digest, v.outcome);
}
void VisitFields(MaybeConst<Claim> auto& v, auto& visit) {
  visit(v.body_hash, v.owner, v.attempt, v.phase, v.outcome,
        v.released_attempts, v.window, v.expires);
}
void VisitFields(MaybeConst<FencingRecord> auto& v, auto& visit) {
  visit(v.number, v.holder);
}
void VisitFields(MaybeConst<EntryRecord> auto& v, auto& visit) {
  visit(v.process, v.vm, v.failure_domain);
}

void VisitFields(MaybeConst<RoutingRecord> auto& v, auto& visit) {
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
          return Execute(command);
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
               : Outcome(Refused{
                     ErrorCode::kCommandIdReused,
                     "the command id was already used for another command: " +
                         command.command_id.str()});
  }
  Outcome outcome = Execute(command);
  if (commands_.size() == kMaxCommandRecords) {
    commands_.erase(commands_.begin());
  }
  commands_.push_back({command.command_id, digest, outcome});
  return outcome;
}

Outcome StateMachine::Execute(const ConfigApply& command) {
  const ConfigVersion newest = config_version();
  if (command.expected != newest) {
    return ConfigConflict{newest};
  }
  const ConfigVersion version{newest.value + 1};
  configs_.push_back({version, command.command_id, time_, command.text});
  TrimConfigs();
  return ConfigCommitted{version};
}

Outcome StateMachine::Execute(const ClaimBegin& command) {
  return claims_.Begin(command, time_);
}

Outcome StateMachine::Execute(const ClaimRelease& command) {
  return claims_.Release(command, time_);
}

Outcome StateMachine::Execute(const ClaimFinish& command) {
  return claims_.Finish(command, time_);
}

Outcome StateMachine::Execute(const ClaimsAbandon& command) {
  return claims_.Abandon(command, time_);
}

Outcome StateMachine::Execute(const FencingTake& command) {
  if (fencing_.size() >= kMaxFencedResources &&
      fencing_.count(command.resource) == 0) {
    return TableFull("fenced resources");
  }
  FencingRecord& fencing = fencing_[command.resource];
  ++fencing.number.value;
  fencing.holder = command.holder;
  return FencingTaken{fencing.number};
}

Outcome StateMachine::Execute(const UpstreamDrain& command) {
  if (!command.drained) {
    drained_.erase(command.upstream);
    return Done{};
  }
  if (drained_.size() >= kMaxDrainedUpstreams &&
      drained_.count(command.upstream) == 0) {
    return TableFull("drained upstreams");
  }
  drained_.insert(command.upstream);
  return Done{};
}

Outcome StateMachine::Execute(const QuarantineChange& command) {
  if (!command.quarantined) {
    quarantined_.erase(command.fingerprint);
    return Done{};
  }
  if (quarantined_.size() >= kMaxQuarantinedFingerprints &&
      quarantined_.count(command.fingerprint) == 0) {
    return TableFull("quarantined fingerprints");
  }
  quarantined_.insert(command.fingerprint);
  return Done{};
}

Outcome StateMachine::Execute(const EntryRegister& command) {
  if (entries_.size() >= kMaxEntries && entries_.count(command.process) == 0) {
    return TableFull("entries");
  }
  entries_[command.process] = {command.process, command.vm,
                               command.failure_domain};
  return Done{};
}

Outcome StateMachine::Execute(const EntryForget& command) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool match = command.process.empty() ? it->second.vm == command.vm
                                               : it->first == command.process;
    it = match ? entries_.erase(it) : std::next(it);
  }
  return Done{};
}

Outcome StateMachine::Execute(const LogTimeAdvance&) { return Done{}; }

Outcome StateMachine::Execute(const RoutingDeclare& command) {
  if (command.version > routing_.version) {
    routing_ = {command.version, command.text};
  }
  return RoutingHeld{routing_.version};
}

/// Windows at or below the newest stored one stay as they are, also those that
/// are no longer kept.
Outcome StateMachine::Execute(const UsageStore& command) {
  if (command.window > newest_usage()) {
    usage_[command.window] = command.counts;
  }
  if (usage_.size() > kMaxUsageWindows) {
    usage_.erase(usage_.begin());
  }
  return Done{};
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
      kSnapshotFormatVersion, time_, configs_, commands_, claims_.claims(),
      fencing_, drained_, quarantined_, entries_, routing_, usage_});
}

Result<StateMachine> StateMachine::Restore(const std::string& bytes) {
  auto data = detail::DecodeValue<SnapshotData>(bytes, kMaxSnapshotItems,
                                                kMaxSnapshotBytes);
  if (!data || data.value().format != kSnapshotFormatVersion) {
    return MakeError(
        ErrorCode::kDamagedRecord,
        "the data is not a ledger snapshot of the supported format version");
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
  machine.usage_ = std::move(value.usage);
  return machine;
}

}  // namespace rattanward::ledger
