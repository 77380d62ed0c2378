#include "rattanward/membership/instance_directory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace rattanward::membership {
namespace {

/// Largest number of addresses whose latest start is kept. All are cleared when
/// it is reached.
constexpr std::size_t kMaxAddresses = 16384;
/// Number of starts with signals above which those without a record are
/// dropped.
constexpr std::size_t kMaxStartsWithSignals = 4096;

/// Whether two records differ at most in the sequences, and in the time that an
/// upstream which is being reclaimed has left. The latter shrinks with each
/// heartbeat and would otherwise be pushed to all entries each time.
bool SameContent(const InstanceRecord& a, const InstanceRecord& b) {
  InstanceRecord copy = a;
  if (a.leaves_in > Duration::zero() && b.leaves_in > Duration::zero()) {
    copy.leaves_in = b.leaves_in;
  }
  copy.stamp.sequence = b.stamp.sequence;
  copy.beats_ahead = b.beats_ahead;
  return copy == b;
}

bool IsNewerReport(const InstanceRecord& record, const InstanceRecord& known) {
  const std::uint64_t sequence = ReportSequence(record);
  const std::uint64_t known_sequence = ReportSequence(known);
  return sequence > known_sequence ||
         (sequence == known_sequence && record.state > known.state);
}

bool IsSilent(const InstanceRecord& a, const InstanceRecord& b) {
  if (a.stamp == b.stamp) {
    return a.silent || b.silent;
  }
  return a.stamp > b.stamp ? a.silent : b.silent;
}

/// Combines what is known of one start: its newest report and its newest sign
/// of life. A deregistration is final for its start, even if newer records
/// arrived before it.
InstanceRecord Combine(const InstanceRecord& a, const InstanceRecord& b) {
  InstanceRecord combined = IsNewerReport(a, b) ? a : b;
  const std::uint64_t report = ReportSequence(combined);
  if (a.state == InstanceState::kGone || b.state == InstanceState::kGone) {
    combined.state = InstanceState::kGone;
    combined.replaced = a.replaced || b.replaced;
  }
  combined.silent = IsSilent(a, b);
  combined.stamp = std::max(a.stamp, b.stamp);
  combined.beats_ahead = combined.stamp.sequence - report;
  return combined;
}

}  // namespace

std::uint64_t ReportSequence(const InstanceRecord& record) {
  return record.stamp.sequence -
         std::min(record.beats_ahead, record.stamp.sequence);
}

InstanceDirectory::Change InstanceDirectory::Merge(
    const InstanceRecord& received, TimePoint now) {
  const bool newly_leaving =
      received.leaving && MarkLeaving({received.id, received.stamp.born});
  const bool new_limit =
      MergeLimit({received.id, received.stamp.born, received.limit});
  const Change change = MergeRecord(WithSignals(received), now);
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
    const InstanceRecord updated = WithSignals(found->second.record);
    if (updated != found->second.record) {
      found->second.record = updated;
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

/// Whether a later start has taken over the record's address.
bool InstanceDirectory::IsEarlierAtItsAddress(
    const InstanceRecord& record) const {
  const auto newest = newest_born_by_address_.find(record.endpoint);
  return newest != newest_born_by_address_.end() &&
         record.stamp.born < newest->second;
}

/// Adds the first record of an id. That of an earlier process at its address is
/// kept so that its older records are recognized as stale.
InstanceDirectory::Change InstanceDirectory::AddRecord(
    const InstanceRecord& record, TimePoint now) {
  Instance& added = instances_[record.id];
  added = Instance{record, now};
  MarkIfReplaced(&added.record);
  changed_.push_back(record.id);
  return Change::kChanged;
}

/// Whether a ready record may be a late one of the start that departed.
bool InstanceDirectory::IsHeld(const InstanceRecord& record) const {
  return record.state == InstanceState::kReady &&
         departed_ids_.Contains(record.id);
}

void InstanceDirectory::MarkIfReplaced(InstanceRecord* record) const {
  if (record->state != InstanceState::kGone && IsEarlierAtItsAddress(*record)) {
    record->state = InstanceState::kGone;
    record->replaced = true;
  }
}

/// Of a start that is gone nothing more is taken than that it had announced
/// its exit, though its address was taken over first.
InstanceDirectory::Change InstanceDirectory::MergeExit(
    const InstanceRecord& received, InstanceRecord* known) {
  if (!known->replaced || received.replaced ||
      received.state != InstanceState::kGone) {
    return Change::kStale;
  }
  known->replaced = false;
  changed_.push_back(known->id);
  return Change::kChanged;
}

InstanceDirectory::Change InstanceDirectory::MergeRecord(
    const InstanceRecord& record, TimePoint now) {
  if (IsHeld(record)) {
    return Change::kStale;
  }
  RecordAddressOwner(record);
  const auto found = instances_.find(record.id);
  if (found == instances_.end()) {
    return AddRecord(record, now);
  }
  Instance& instance = found->second;
  const InstanceRecord known = instance.record;
  const bool same_start = record.stamp.born == known.stamp.born;
  if (same_start && known.state == InstanceState::kGone) {
    return MergeExit(record, &instance.record);
  }
  if (record.stamp.born < known.stamp.born) {
    return Change::kStale;
  }
  InstanceRecord merged = same_start ? Combine(record, known) : record;
  MarkIfReplaced(&merged);
  if (merged == known) {
    return Change::kStale;
  }
  instance.record = merged;
  const bool heard = record.stamp > known.stamp && !record.silent;
  if (heard || merged.state == InstanceState::kGone) {
    instance.last_heard = now;
  }
  if (SameContent(known, merged)) {
    return Change::kRefreshed;
  }
  changed_.push_back(record.id);
  return Change::kChanged;
}

InstanceDirectory::Change InstanceDirectory::ApplyBeat(const InstanceBeat& beat,
                                                       TimePoint now) {
  const InstanceRecord* known = Find(beat.id);
  if (known == nullptr || known->stamp.born != beat.stamp.born ||
      beat.stamp <= known->stamp) {
    return Change::kStale;
  }
  InstanceRecord record = *known;
  record.beats_ahead = beat.stamp.sequence - ReportSequence(*known);
  record.stamp = beat.stamp;
  record.silent = false;
  return Merge(record, now);
}

std::optional<InstanceRecord> InstanceDirectory::Deregister(
    const UpstreamId& id, std::optional<std::uint64_t> born, TimePoint now) {
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
    instances_[id] = Instance{tombstone, now};
    changed_.push_back(id);
    return tombstone;
  }
  InstanceRecord record = found->second.record;
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

/// Records the start as the owner of its address if it is the latest one, and
/// marks instances with an earlier start at that address as gone. They stay
/// gone even after the later instance has moved to another address.
void InstanceDirectory::RecordAddressOwner(const InstanceRecord& record) {
  if (record.state == InstanceState::kGone || record.endpoint == Endpoint()) {
    return;
  }
  if (newest_born_by_address_.size() >= kMaxAddresses) {
    newest_born_by_address_.clear();
  }
  std::uint64_t& newest = newest_born_by_address_[record.endpoint];
  newest = std::max(newest, record.stamp.born);
  for (auto& [id, instance] : instances_) {
    if (instance.record.endpoint == record.endpoint &&
        instance.record.state != InstanceState::kGone &&
        instance.record.stamp.born < newest) {
      instance.record.state = InstanceState::kGone;
      instance.record.replaced = true;
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

}  // namespace rattanward::membership
