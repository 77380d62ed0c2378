#include "rattanward/adapter/file_log_storage.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <exception>
#include <optional>
#include <tuple>
#include <utility>

#include "rattanward/adapter/record.h"
#include "rattanward/port/storage.h"

namespace rattanward::adapter {
namespace {

using consensus::Entry;
using consensus::HardState;
using consensus::Output;
using consensus::PersistedState;
using consensus::Snapshot;

static_assert(port::LogStorage<FileLogStorage, PersistedState, Output>);

constexpr char kSnapshotName[] = "snapshot";
constexpr char kLockName[] = "lock";
constexpr char kLogPrefix[] = "log-";
constexpr char kTemporarySuffix[] = ".tmp";
constexpr std::uint64_t kSnapshotSeed = 0;
constexpr std::uint32_t kFormat = 1;
constexpr std::size_t kIdBytes = 16;
constexpr std::size_t kMaxItems = 1U << 24U;
constexpr std::size_t kMaxBytes = 1U << 30U;
constexpr std::size_t kMaxDepth = 8;

/// Content of the snapshot file.
struct Root {
  std::uint32_t format = kFormat;
  VoterId id;
  std::uint64_t generation = 0;
  HardState hard_state;
  Snapshot snapshot;
  MSGPACK_DEFINE(format, id, generation, hard_state, snapshot)
};

/// Content of one record of a log file.
struct Batch {
  HardState hard_state;
  std::vector<Entry> entries;
  MSGPACK_DEFINE(hard_state, entries)
};

template <class T>
std::string Pack(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

template <class T>
Result<T> Unpack(std::string_view bytes) {
  try {
    const msgpack::unpack_limit limit(kMaxItems, 0, kMaxBytes, 0, 0, kMaxDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .as<T>();
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kDamagedRecord,
                     std::string("unreadable record: ") + error.what());
  }
}

bool HasSuffix(const std::string& name, const std::string& suffix) {
  return name.size() >= suffix.size() &&
         name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
}

bool IsLog(const std::string& name) {
  return name.rfind(kLogPrefix, 0) == 0 && !HasSuffix(name, kTemporarySuffix);
}

bool IsOwn(const std::string& name) {
  return name == kSnapshotName || name == kLockName || IsLog(name) ||
         HasSuffix(name, kTemporarySuffix);
}

/// Whether a folder without snapshot holds at most the traces of a home whose
/// making was interrupted: the first log file, still empty.
bool IsUnused(const std::string& folder,
              const std::vector<std::string>& names) {
  return std::all_of(
      names.begin(), names.end(), [&folder](const std::string& name) {
        if (name == kLockName || HasSuffix(name, kTemporarySuffix)) {
          return true;
        }
        const Result<std::string> bytes = ReadFile(folder + "/" + name);
        return name == std::string(kLogPrefix) + "1" && bytes.has_value() &&
               bytes.value().empty();
      });
}

/// Adds a batch's entries; each replaces what stands at or after its index.
Status AddEntries(std::vector<Entry> batch, std::vector<Entry>* entries) {
  for (Entry& entry : batch) {
    while (!entries->empty() && entries->back().index >= entry.index) {
      entries->pop_back();
    }
    if (!entries->empty() && entries->back().index + 1 != entry.index) {
      return MakeError(
          ErrorCode::kDamagedRecord,
          "entry " + std::to_string(entry.index) + " follows entry " +
              std::to_string(entries->back().index) + " in the log");
    }
    entries->push_back(std::move(entry));
  }
  return outcome::success();
}

}  // namespace

Result<FileLogStorage> FileLogStorage::Open(const std::string& folder) {
  BOOST_OUTCOME_TRY(MakeFolder(folder));
  BOOST_OUTCOME_TRY(before, ListFolder(folder));
  const auto foreign = std::find_if_not(before.begin(), before.end(), IsOwn);
  if (foreign != before.end()) {
    return MakeError(ErrorCode::kWrongDataFolder,
                     folder + " holds " + *foreign +
                         ", which is no file of a replicated log");
  }
  FileLogStorage storage(folder);
  BOOST_OUTCOME_TRY(lock, LockFile(folder + "/" + kLockName));
  storage.lock_ = std::move(lock);
  BOOST_OUTCOME_TRY(names, ListFolder(folder));
  if (std::find(names.begin(), names.end(), kSnapshotName) != names.end()) {
    BOOST_OUTCOME_TRY(storage.Load());
    return storage;
  }
  if (!IsUnused(folder, names)) {
    return MakeError(ErrorCode::kWrongDataFolder,
                     folder + " holds a log without its snapshot");
  }
  BOOST_OUTCOME_TRY(storage.Create());
  return storage;
}

Result<FileLogStorage> FileLogStorage::Reopen() {
  failed_ = true;
  lock_ = FileDescriptor();
  log_ = FileDescriptor();
  BOOST_OUTCOME_TRY(opened, Open(folder_));
  if (opened.id() != id_) {
    return MakeError(ErrorCode::kWrongDataFolder,
                     folder_ + " now belongs to another voter");
  }
  Output unchanged;
  unchanged.hard_state = opened.hard_state_;
  BOOST_OUTCOME_TRY(opened.Save(unchanged));
  return opened;
}

Status FileLogStorage::Create() {
  BOOST_OUTCOME_TRY(id, RandomHex(kIdBytes));
  id_ = VoterId(std::move(id));
  created_ = true;
  return WriteGeneration(Snapshot(), {});
}

/// What a process wrote before it was killed may be in the cache only. It is
/// synced before anything follows from it, the names before others are removed.
Status FileLogStorage::Load() {
  BOOST_OUTCOME_TRY(SyncFolder(folder_));
  BOOST_OUTCOME_TRY(file, ReadFile(folder_ + "/" + kSnapshotName));
  BOOST_OUTCOME_TRY(records, ScanRecords(file, kSnapshotSeed));
  if (records.payloads.size() != 1 || records.valid_bytes != file.size()) {
    return MakeError(ErrorCode::kDamagedRecord, "the snapshot file is damaged");
  }
  BOOST_OUTCOME_TRY(root, Unpack<Root>(records.payloads.front()));
  if (root.format != kFormat) {
    return MakeError(ErrorCode::kWrongDataFolder,
                     "data folder of format " + std::to_string(root.format) +
                         "; 1 is allowed");
  }
  id_ = std::move(root.id);
  generation_ = root.generation;
  hard_state_ = std::move(root.hard_state);
  state_.snapshot = std::move(root.snapshot);
  snapshot_bytes_ = file.size();
  BOOST_OUTCOME_TRY(names, ListFolder(folder_));
  return LoadLog(names);
}

Status FileLogStorage::LoadLog(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const bool old = IsLog(name) && name != LogName();
    if (old || HasSuffix(name, kTemporarySuffix)) {
      unlink((folder_ + "/" + name).c_str());
    }
  }
  if (std::find(names.begin(), names.end(), LogName()) == names.end()) {
    return MakeError(ErrorCode::kDamagedRecord,
                     "the log file " + LogName() + " is missing");
  }
  BOOST_OUTCOME_TRY(file, ReadFile(LogPath()));
  const std::uint64_t seed = RecordSeed(id_.str(), generation_);
  BOOST_OUTCOME_TRY(records, ScanRecords(file, seed));
  for (const std::string_view payload : records.payloads) {
    BOOST_OUTCOME_TRY(batch, Unpack<Batch>(payload));
    hard_state_ = batch.hard_state;
    BOOST_OUTCOME_TRY(AddEntries(std::move(batch.entries), &state_.entries));
  }
  if (!state_.entries.empty() &&
      state_.entries.front().index != state_.snapshot.last.index + 1) {
    return MakeError(ErrorCode::kDamagedRecord,
                     "the log does not follow its snapshot");
  }
  state_.hard_state = hard_state_;
  cut_bytes_ = file.size() - records.valid_bytes;
  log_bytes_ = records.valid_bytes;
  BOOST_OUTCOME_TRY(log, OpenFile(LogPath(), O_WRONLY | O_APPEND));
  log_ = std::move(log);
  if (cut_bytes_ > 0) {
    if (ftruncate(log_.value(), static_cast<off_t>(log_bytes_)) != 0) {
      return MakeError(ErrorCode::kStorageFailed, "the torn tail stays");
    }
  }
  return SyncFile(log_);
}

Status FileLogStorage::Save(const Output& output) {
  if (failed_) {
    return MakeError(ErrorCode::kStorageFailed,
                     "an earlier write failed; open the data folder anew");
  }
  if (!output.NeedsSync()) {
    return outcome::success();
  }
  hard_state_ = output.hard_state.value_or(hard_state_);
  Status saved = output.snapshot.has_value() ? Switch(output) : Append(output);
  failed_ = !saved.has_value();
  return saved;
}

Status FileLogStorage::Append(const Output& output) {
  const std::string record =
      EncodeRecord(Pack(Batch{hard_state_, output.entries}),
                   RecordSeed(id_.str(), generation_), log_bytes_);
  BOOST_OUTCOME_TRY(WriteAll(log_, record));
  Status synced = SyncFile(log_);
  if (synced) {
    log_bytes_ += record.size();
  } else {
    CutRecord();
  }
  return synced;
}

/// After a failed sync the system may drop the bytes and still show them to the
/// next start, whose own sync would then succeed.
void FileLogStorage::CutRecord() const {
  std::ignore = ftruncate(log_.value(), static_cast<off_t>(log_bytes_));
}

Status FileLogStorage::Switch(const Output& output) {
  BOOST_OUTCOME_TRY(entries, EntriesAfter(output));
  return WriteGeneration(*output.snapshot, std::move(entries));
}

/// The entries on disk behind the output's snapshot, with the output's own.
Result<std::vector<Entry>> FileLogStorage::EntriesAfter(
    const Output& output) const {
  std::vector<Entry> entries;
  if (!output.discard_log) {
    BOOST_OUTCOME_TRY(file, ReadFile(LogPath()));
    BOOST_OUTCOME_TRY(records,
                      ScanRecords(file, RecordSeed(id_.str(), generation_)));
    for (const std::string_view payload : records.payloads) {
      BOOST_OUTCOME_TRY(batch, Unpack<Batch>(payload));
      BOOST_OUTCOME_TRY(AddEntries(std::move(batch.entries), &entries));
    }
  }
  BOOST_OUTCOME_TRY(AddEntries(output.entries, &entries));
  const consensus::LogIndex last = output.snapshot->last.index;
  entries.erase(std::remove_if(
                    entries.begin(), entries.end(),
                    [last](const Entry& entry) { return entry.index <= last; }),
                entries.end());
  return entries;
}

Status FileLogStorage::WriteGeneration(const Snapshot& snapshot,
                                       std::vector<Entry> entries) {
  const std::string old_log = LogPath();
  ++generation_;
  std::string record;
  if (!entries.empty()) {
    record = EncodeRecord(Pack(Batch{hard_state_, std::move(entries)}),
                          RecordSeed(id_.str(), generation_), 0);
  }
  BOOST_OUTCOME_TRY(WriteFile(LogPath(), record));
  BOOST_OUTCOME_TRY(SyncFolder(folder_));
  const std::string root =
      EncodeRecord(Pack(Root{kFormat, id_, generation_, hard_state_, snapshot}),
                   kSnapshotSeed, 0);
  BOOST_OUTCOME_TRY(ReplaceFile(folder_, kSnapshotName, root));
  BOOST_OUTCOME_TRY(log, OpenFile(LogPath(), O_WRONLY | O_APPEND));
  log_ = std::move(log);
  log_bytes_ = record.size();
  snapshot_bytes_ = root.size();
  if (generation_ > 1) {
    unlink(old_log.c_str());
  }
  return outcome::success();
}

std::string FileLogStorage::LogName() const {
  return kLogPrefix + std::to_string(generation_);
}

}  // namespace rattanward::adapter
