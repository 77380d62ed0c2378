#include "rattanward/membership/instance_directory.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace rattanward::membership {
namespace {

/// Number of records kept. For a further one, one that is gone or silent is
/// dropped.
constexpr std::size_t kMaxInstances = 16384;
/// Number of starts with signals above which those without a record are
/// dropped.
constexpr std::size_t kMaxStartsWithSignals = 4096;

}  // namespace

void InstanceDirectory::SetServices(NamedServices services) {
  if (services == services_) {
    return;
  }
  services_ = std::move(services);
  for (const UnnamedRecords::Heard& heard : unnamed_.TakeNamed(services_)) {
    Merge(heard.record, heard.at);
  }
  SettleAll();
}

/// Records without a service are what other processes of this system say of a
/// start, not what it registered.
bool InstanceDirectory::Counts(const InstanceRecord& record) const {
  if (record.service.empty() || services_.Names(record.service)) {
    return true;
  }
  const auto known = instances_.find(record.id);
  return known != instances_.end() &&
         known->second.reported.service == record.service &&
         known->second.reported.stamp.born == record.stamp.born;
}

InstanceDirectory::Change InstanceDirectory::Merge(
    const InstanceRecord& received, TimePoint now) {
  if (received.replaced && received.takeover.owner.born > 0) {
    RecordAddressOwner(received.endpoint, received.takeover.owner, now);
  }
  const InstanceRecord reported = AsReported(received);
  // An owner counts as soon as its service does.
  if (reported.state != InstanceState::kGone) {
    RecordAddressOwner(reported.endpoint,
                       {reported.service, reported.stamp.born}, now);
  }
  if (!Counts(reported)) {
    return unnamed_.Merge(reported, now) ? Change::kChanged : Change::kStale;
  }
  const bool newly_leaving =
      reported.leaving && MarkLeaving({reported.id, reported.stamp.born});
  const bool new_limit =
      MergeLimit({reported.id, reported.stamp.born, reported.limit});
  const Change change = MergeRecord(WithSignals(reported), now);
  return newly_leaving || new_limit ? Change::kChanged : change;
}

bool InstanceDirectory::MarkLeaving(const InstanceStart& leaving) {
  const auto [mark, added] = leaving_.try_emplace(leaving.id, leaving.born);
  if (!added && mark->second >= leaving.born) {
    return false;
  }
  mark->second = leaving.born;
  ApplySignals(leaving.id);
  return true;
}

bool InstanceDirectory::MergeLimit(const UpstreamLimit& received) {
  if (received.limit.revision == 0) {
    return false;
  }
  UpstreamLimit& known = limits_[received.id];
  const bool news = received.born == known.born
                        ? Replaces(received.limit, known.limit)
                        : received.born > known.born;
  if (news) {
    known = received;
    ApplySignals(received.id);
  }
  return news;
}

std::optional<UpstreamLimit> InstanceDirectory::ReadLimit(
    const UpstreamId& id, std::uint64_t born, const NamedTerms& named) {
  const auto known = limits_.find(id);
  const bool same_start = known != limits_.end() && known->second.born == born;
  const UpstreamLimit read{
      id, born,
      AfterAnswer(same_start ? known->second.limit : NamedLimit(), named)};
  return MergeLimit(read) ? std::optional(read) : std::nullopt;
}

std::vector<UpstreamLimit> InstanceDirectory::Limits() const {
  std::vector<UpstreamLimit> limits;
  limits.reserve(limits_.size());
  for (const auto& [id, limit] : limits_) {
    limits.push_back(limit);
  }
  return limits;
}

/// Adds what the latest start told in its answers to the record, if there is
/// one.
void InstanceDirectory::ApplySignals(const UpstreamId& id) {
  const auto found = instances_.find(id);
  if (found != instances_.end()) {
    found->second.reported = WithSignals(found->second.reported);
    if (Settle(&found->second)) {
      changed_.push_back(id);
    }
  }
  if (leaving_.size() + limits_.size() > kMaxStartsWithSignals) {
    ForgetSignalsOfUnknown();
  }
}

bool InstanceDirectory::IsKnownStart(const UpstreamId& id,
                                     std::uint64_t born) const {
  const InstanceRecord* record = Find(id);
  return record != nullptr && record->stamp.born == born;
}

/// Drops the signals of starts that have no record.
void InstanceDirectory::ForgetSignalsOfUnknown() {
  std::erase_if(leaving_, [this](const auto& mark) {
    return !IsKnownStart(mark.first, mark.second);
  });
  std::erase_if(limits_, [this](const auto& limit) {
    return !IsKnownStart(limit.first, limit.second.born);
  });
}

/// Adds what an instance told in its answers to what it registered.
InstanceRecord InstanceDirectory::WithSignals(InstanceRecord record) const {
  const auto mark = leaving_.find(record.id);
  record.leaving = mark != leaving_.end() && mark->second == record.stamp.born;
  if (record.leaving && record.state == InstanceState::kReady) {
    record.state = InstanceState::kDraining;
  }
  const auto limit = limits_.find(record.id);
  const bool named =
      limit != limits_.end() && limit->second.born == record.stamp.born;
  record.limit = named ? limit->second.limit : NamedLimit();
  return record;
}

/// Adds the first record of an id. That of an earlier process at its address is
/// kept so that its older records are recognized as stale.
InstanceDirectory::Change InstanceDirectory::AddRecord(
    const InstanceRecord& record, TimePoint now) {
  MakeRoom();
  Instance& added = instances_[record.id];
  added = Instance{record, record, now};
  Settle(&added);
  changed_.push_back(record.id);
  return Change::kChanged;
}

/// Drops the record of an upstream that is gone or silent if there are too many
/// records, the one heard from longest ago first.
void InstanceDirectory::MakeRoom() {
  if (instances_.size() < kMaxInstances) {
    return;
  }
  const auto removable = [](const Instance& instance) {
    return instance.record.silent ||
           instance.record.state == InstanceState::kGone;
  };
  const auto oldest = std::min_element(
      instances_.begin(), instances_.end(), [&](const auto& a, const auto& b) {
        return std::make_pair(!removable(a.second), a.second.last_heard) <
               std::make_pair(!removable(b.second), b.second.last_heard);
      });
  instances_.erase(oldest);
}

/// Whether a ready record may be a late one of the start that departed.
bool InstanceDirectory::IsHeld(const InstanceRecord& record) const {
  return record.state == InstanceState::kReady &&
         departed_ids_.Contains(record.id);
}

bool InstanceDirectory::Settle(Instance* instance) {
  InstanceRecord settled = instance->reported;
  const auto owner = owners_.Latest(settled.endpoint, services_);
  if (settled.state != InstanceState::kGone && owner &&
      settled.stamp.born < owner->born) {
    settled.takeover = {*owner, settled.state};
    settled.state = InstanceState::kGone;
    settled.replaced = true;
  }
  const bool news = !HasSameContent(settled, instance->record);
  instance->record = std::move(settled);
  return news;
}

void InstanceDirectory::SettleAll() {
  for (auto& [id, instance] : instances_) {
    if (Settle(&instance)) {
      changed_.push_back(id);
    }
  }
}

/// Of a start that is gone nothing more is taken than that it had announced
/// its exit, though its address was taken over first. Returns whether it had.
bool InstanceDirectory::MergeExit(const InstanceRecord& received,
                                  InstanceRecord* known) {
  if (!known->replaced || received.replaced ||
      received.state != InstanceState::kGone) {
    return false;
  }
  known->replaced = false;
  return true;
}

/// Whether the known record of an id doesn't count any more, and this one does.
bool InstanceDirectory::DisplacesUnnamed(const InstanceRecord& record,
                                         const InstanceRecord& known) const {
  return !known.service.empty() && !services_.Names(known.service) &&
         !record.service.empty() && services_.Names(record.service);
}

InstanceDirectory::Change InstanceDirectory::MergeRecord(
    const InstanceRecord& record, TimePoint now) {
  if (IsHeld(record)) {
    return Change::kStale;
  }
  const auto found = instances_.find(record.id);
  if (found == instances_.end()) {
    return AddRecord(record, now);
  }
  Instance& instance = found->second;
  const InstanceRecord known = instance.reported;
  if (DisplacesUnnamed(record, known)) {
    unnamed_.Merge(known, instance.last_heard);
    return AddRecord(record, now);
  }
  const bool same_start = record.stamp.born == known.stamp.born;
  if (record.stamp.born < known.stamp.born) {
    return Change::kStale;
  }
  if (same_start && known.state == InstanceState::kGone) {
    if (!MergeExit(record, &instance.reported)) {
      return Change::kStale;
    }
  } else {
    instance.reported = same_start ? Combine(record, known) : record;
  }
  const bool news = Settle(&instance);
  if (instance.reported == known && !news) {
    return Change::kStale;
  }
  const bool heard = record.stamp > known.stamp && !record.silent;
  if (heard || instance.record.state == InstanceState::kGone) {
    instance.last_heard = now;
  }
  if (!news) {
    return Change::kRefreshed;
  }
  changed_.push_back(record.id);
  return Change::kChanged;
}

InstanceDirectory::Change InstanceDirectory::ApplyBeat(const InstanceBeat& beat,
                                                       TimePoint now) {
  const auto found = instances_.find(beat.id);
  if (found == instances_.end() ||
      found->second.reported.stamp.born != beat.stamp.born ||
      beat.stamp <= found->second.reported.stamp) {
    return Change::kStale;
  }
  InstanceRecord record = found->second.reported;
  record.beats_ahead = beat.stamp.sequence - ReportSequence(record);
  record.stamp = beat.stamp;
  record.silent = false;
  return Merge(record, now);
}

std::optional<InstanceRecord> InstanceDirectory::Deregister(
    const UpstreamId& id, std::optional<std::uint64_t> born, TimePoint now) {
  unnamed_.MarkGone(id, born);
  const auto found = instances_.find(id);
  if (found == instances_.end()) {
    if (!born) {
      return std::nullopt;
    }
    // The record is kept so that a delayed heartbeat or registration of this
    // start does not add the instance again.
    InstanceRecord tombstone;
    tombstone.id = id;
    tombstone.stamp = {*born, std::numeric_limits<std::uint64_t>::max()};
    tombstone.state = InstanceState::kGone;
    instances_[id] = Instance{tombstone, tombstone, now};
    changed_.push_back(id);
    return tombstone;
  }
  InstanceRecord record = found->second.reported;
  if (born && *born < record.stamp.born) {
    return std::nullopt;
  }
  if (born && *born > record.stamp.born) {
    record.stamp = {*born, std::numeric_limits<std::uint64_t>::max()};
    record.leaving = false;
    record.limit = NamedLimit();
    record.leaves_in = Duration::zero();
  }
  record.state = InstanceState::kGone;
  record.replaced = false;
  record.silent = false;
  if (Merge(record, now) != Change::kChanged) {
    return std::nullopt;
  }
  return record;
}

InstanceDirectory::Departure InstanceDirectory::Depart(const UpstreamId& id,
                                                       TimePoint now) {
  if (Find(id) != nullptr) {
    Deregister(id, std::nullopt, now);
    return Departure::kKnownStart;
  }
  if (unnamed_.MarkGone(id, std::nullopt)) {
    return Departure::kKnownStart;
  }
  return AddDepartedId(id, now) ? Departure::kUnknownStart
                                : Departure::kNotRemembered;
}

bool InstanceDirectory::ResolveDeparture(const InstanceStart& departed,
                                         TimePoint now) {
  if (!departed_ids_.Remove(departed.id)) {
    return false;
  }
  Deregister(departed.id, departed.born, now);
  return true;
}

/// Instances with an earlier start at the address are gone, even after the
/// later instance has moved to another address.
void InstanceDirectory::RecordAddressOwner(const Endpoint& endpoint,
                                           const AddressOwner& owner,
                                           TimePoint now) {
  if (endpoint == Endpoint() || !owners_.Record(endpoint, owner, now)) {
    return;
  }
  for (auto& [id, instance] : instances_) {
    if (instance.reported.endpoint == endpoint && Settle(&instance)) {
      changed_.push_back(id);
    }
  }
}

std::vector<InstanceRecord> InstanceDirectory::MarkSilent(
    TimePoint heard_before) {
  std::vector<InstanceRecord> marked;
  for (auto& [id, instance] : instances_) {
    if (instance.last_heard < heard_before && !instance.record.silent &&
        instance.record.state != InstanceState::kGone) {
      instance.reported.silent = true;
      instance.record.silent = true;
      changed_.push_back(id);
      marked.push_back(instance.record);
    }
  }
  return marked;
}

std::vector<UpstreamId> InstanceDirectory::Forget(TimePoint heard_before) {
  std::vector<UpstreamId> forgotten;
  std::erase_if(instances_, [&](const auto& item) {
    const Instance& instance = item.second;
    const bool removable =
        instance.record.silent || instance.record.state == InstanceState::kGone;
    if (!removable || instance.last_heard >= heard_before) {
      return false;
    }
    forgotten.push_back(item.first);
    return true;
  });
  for (const UpstreamId& id : forgotten) {
    leaving_.erase(id);
    limits_.erase(id);
  }
  unnamed_.Forget(heard_before);
  std::set<std::pair<Endpoint, AddressOwner>> in_use;
  for (const auto& [id, instance] : instances_) {
    const InstanceRecord& record = instance.reported;
    in_use.insert({record.endpoint, {record.service, record.stamp.born}});
  }
  owners_.Forget(heard_before,
                 [&](const Endpoint& endpoint, const AddressOwner& owner) {
                   return in_use.count({endpoint, owner}) > 0;
                 });
  return forgotten;
}

const InstanceRecord* InstanceDirectory::Find(const UpstreamId& id) const {
  const auto found = instances_.find(id);
  return found == instances_.end() ? nullptr : &found->second.record;
}

std::vector<InstanceRecord> InstanceDirectory::TakeChanges() {
  std::vector<InstanceRecord> records;
  for (const UpstreamId& id : std::exchange(changed_, {})) {
    if (const InstanceRecord* record = Find(id)) {
      records.push_back(*record);
    }
  }
  return records;
}

std::vector<InstanceRecord> InstanceDirectory::Departed(
    std::size_t most) const {
  std::vector<const Instance*> departed;
  for (const auto& [id, instance] : instances_) {
    if (instance.record.state != InstanceState::kReady) {
      departed.push_back(&instance);
    }
  }
  std::stable_sort(departed.begin(), departed.end(),
                   [](const Instance* a, const Instance* b) {
                     return a->last_heard > b->last_heard;
                   });
  departed.resize(std::min(departed.size(), most));
  std::vector<InstanceRecord> records;
  records.reserve(departed.size());
  for (const Instance* instance : departed) {
    records.push_back(instance->record);
  }
  for (const InstanceRecord& record : unnamed_.All()) {
    if (record.state != InstanceState::kReady && records.size() < most) {
      records.push_back(record);
    }
  }
  return records;
}

std::vector<InstanceRecord> InstanceDirectory::All() const {
  std::vector<InstanceRecord> records;
  records.reserve(instances_.size());
  for (const auto& [id, instance] : instances_) {
    records.push_back(instance.record);
  }
  return records;
}

std::vector<InstanceRecord> InstanceDirectory::AllToTell() const {
  std::vector<InstanceRecord> records = All();
  const std::vector<InstanceRecord> unnamed = unnamed_.All();
  records.insert(records.end(), unnamed.begin(), unnamed.end());
  return records;
}

std::vector<InstanceRecord> InstanceDirectory::ToTell(
    const UpstreamId& id) const {
  std::vector<InstanceRecord> records = unnamed_.Find(id);
  const InstanceRecord* known = Find(id);
  if (known != nullptr) {
    records.push_back(*known);
  }
  return records;
}

}  // namespace rattanward::membership
