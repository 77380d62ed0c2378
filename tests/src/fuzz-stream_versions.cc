#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/policy/stream_versions.h"

namespace rattanward::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("s");
constexpr Duration kLease = milliseconds(4500);
constexpr Duration kAdoptionDelay = kLease + StreamVersions::kAdoptionMargin;
constexpr Duration kStep = milliseconds(100);
/// Longest time after its begin at which a stream goes on.
constexpr Duration kLongestStream = seconds(12);

/// Entries that begin streams and take up those of others, while versions come
/// and go, news is lost, and entries are cut off and restarted.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed), serving_{{"v0", 1}} {
    for (std::size_t i = 0; i < kEntries; ++i) {
      Restart(i);
    }
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < kEntries; ++i) {
        Step(i);
      }
      TakeUp();
    }
  }

  void Restart(std::size_t index) {
    Entry& entry = entries_[index];
    entry.versions = std::make_unique<StreamVersions>(kLease);
    entry.confirmed_at.reset();
  }
  void RestartAll() {
    for (std::size_t i = 0; i < kEntries; ++i) {
      Restart(i);
    }
  }
  /// Control forgets which upstreams have left.
  void RestartControl() {
    former_.clear();
    control_since_ = now_;
  }
  void CutOff(std::size_t index, bool cut_off) {
    entries_[index].cut_off = cut_off;
  }
  void AddVersion() {
    ++born_;
    serving_["v" + std::to_string(born_)] = born_;
  }
  void RemoveOldest() {
    if (serving_.size() > 1) {
      const auto oldest = std::min_element(
          serving_.begin(), serving_.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      former_[oldest->first] = now_;
      serving_.erase(oldest);
    }
  }

  std::size_t wrong() const { return wrong_; }
  std::size_t taken_up() const { return taken_up_; }
  std::size_t refused() const { return refused_; }

  static constexpr std::size_t kEntries = 6;

 private:
  struct Entry {
    std::unique_ptr<StreamVersions> versions;
    std::optional<TimePoint> confirmed_at;
    bool cut_off = false;
  };
  struct Stream {
    std::uint64_t id = 0;
    std::string version;
    TimePoint began;
  };

  bool Confirmed(const Entry& entry) const {
    return entry.confirmed_at && now_ - *entry.confirmed_at < kLease;
  }

  void Step(std::size_t index) {
    Entry& entry = entries_[index];
    if (!entry.cut_off) {
      entry.confirmed_at = now_;
      entry.versions->Confirm(now_, now_ - control_since_);
      entry.versions->SetServing(kService, serving_, Former(), now_);
    }
    entry.versions->Expire(now_);
    constexpr std::uint64_t kBeginsOneIn = 4;
    if (Confirmed(entry) && random_() % kBeginsOneIn == 0) {
      Begin(entry);
    }
  }

  /// Versions whose upstreams the directory still names as gone.
  std::set<std::string> Former() const {
    constexpr Duration kGoneRetention = seconds(60);
    std::set<std::string> former;
    for (const auto& [version, left] : former_) {
      if (now_ - left < kGoneRetention) {
        former.insert(version);
      }
    }
    return former;
  }

  void Begin(Entry& entry) {
    const std::set<std::string> may = entry.versions->MayBegin(kService, now_);
    std::vector<std::string> served;
    for (const std::string& version : may) {
      if (serving_.count(version) > 0) {
        served.push_back(version);
      }
    }
    if (served.empty()) {
      return;
    }
    const Stream stream{random_(), served[random_() % served.size()], now_};
    streams_.push_back(stream);
    if (entry.versions->RecordBegun(kService, {stream.id, stream.version},
                                    now_)) {
      Tell(entry);
    }
  }

  void Tell(Entry& from) {
    constexpr std::uint64_t kLostOneIn = 5;
    for (const StreamVersion& told : from.versions->TakeNew()) {
      for (Entry& to : entries_) {
        const bool reached = !from.cut_off && !to.cut_off;
        if (&to != &from && reached && random_() % kLostOneIn != 0) {
          to.versions->RecordTold(told, now_);
        }
      }
    }
  }

  void TakeUp() {
    std::erase_if(streams_, [this](const Stream& stream) {
      return now_ - stream.began > kLongestStream;
    });
    if (streams_.empty()) {
      return;
    }
    const Stream& stream = streams_[random_() % streams_.size()];
    const Entry& entry = entries_[random_() % kEntries];
    const auto version = entry.versions->VersionOf(kService, stream.id, now_);
    ++taken_up_;
    refused_ += version ? 0 : 1;
    // A version that no longer serves isn't gone on at.
    if (version && *version != stream.version && serving_.count(*version) > 0) {
      ++wrong_;
    }
  }

  std::mt19937_64 random_;
  std::map<std::string, std::uint64_t> serving_;
  std::map<std::string, TimePoint> former_;
  std::vector<Entry> entries_ = std::vector<Entry>(kEntries);
  std::vector<Stream> streams_;
  std::uint64_t born_ = 1;
  TimePoint control_since_{seconds(0)};
  std::size_t wrong_ = 0;
  std::size_t taken_up_ = 0;
  std::size_t refused_ = 0;
  TimePoint now_{seconds(100)};
};

}  // namespace

TEST_CASE("no entry takes a stream for one of another version") {
  CHECK(rc::check([] {
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.Run(seconds(10));
    const int changes = *rc::gen::inRange(0, 12);
    for (int i = 0; i < changes; ++i) {
      const auto entry = *rc::gen::inRange<std::size_t>(0, Fleet::kEntries);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          fleet.AddVersion();
          break;
        case 1:
          fleet.RemoveOldest();
          break;
        case 2:
          fleet.CutOff(entry, true);
          break;
        case 3:
          fleet.CutOff(entry, false);
          break;
        case 4:
          fleet.RestartAll();
          break;
        case 5:
          fleet.RestartAll();
          fleet.RestartControl();
          break;
        default:
          fleet.Restart(entry);
      }
      fleet.Run(milliseconds(*rc::gen::inRange(100, 9000)));
    }
    RC_ASSERT(fleet.wrong() == 0U);
  }));
}

TEST_CASE("entries in touch know most streams while versions come and go") {
  CHECK(rc::check([] {
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.Run(seconds(10));
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      *rc::gen::arbitrary<bool>() ? fleet.AddVersion() : fleet.RemoveOldest();
      fleet.Run(milliseconds(*rc::gen::inRange(1000, 9000)));
    }
    fleet.Run(seconds(10));
    RC_ASSERT(2 * fleet.refused() < fleet.taken_up());
  }));
}

TEST_CASE("a lone version needs no news") {
  StreamVersions versions(kLease);
  const TimePoint start{seconds(100)};
  constexpr Duration kHistory = seconds(60);
  versions.Confirm(start, kHistory);
  versions.SetServing(kService, {{"v1", 1}}, {}, start);
  const TimePoint later = start + seconds(4);
  versions.Confirm(later, kHistory);
  CHECK(versions.VersionOf(kService, 7, later) == "v1");
  CHECK(versions.VersionOf(kService, std::nullopt, later) == "v1");
  CHECK_FALSE(versions.VersionOf(kService, 7, later + kLease));
  // A new one is begun at by nobody before the adoption delay is over.
  versions.Confirm(later + milliseconds(400), kHistory);
  versions.SetServing(kService, {{"v1", 1}, {"v2", 2}}, {}, later);
  CHECK(versions.MayBegin(kService, later) == std::set<std::string>{"v1"});
  CHECK(versions.VersionOf(kService, 7, later) == "v1");
  const TimePoint adopted = later + kAdoptionDelay;
  versions.Confirm(adopted - milliseconds(400), kHistory);
  versions.Confirm(adopted, kHistory);
  CHECK(versions.MayBegin(kService, adopted).size() == 2);
  CHECK_FALSE(versions.VersionOf(kService, 7, adopted));
}

TEST_CASE("a version that left before control and all entries were killed") {
  StreamVersions versions(kLease);
  const TimePoint start{seconds(100)};
  // A stream may have begun at v1, of which nobody has any memory.
  Duration history = seconds(1);
  for (TimePoint now = start; now < start + seconds(19);
       now += milliseconds(400), history += milliseconds(400)) {
    versions.Confirm(now, history);
    versions.SetServing(kService, {{"v2", 2}}, {}, now);
    CHECK_FALSE(versions.VersionOf(kService, 7, now).has_value());
    // What begins meanwhile is told, so that it can go on elsewhere.
    CHECK(versions.RecordBegun(kService, {9, "v2"}, now));
    CHECK(versions.VersionOf(kService, 9, now) == "v2");
  }
  const TimePoint past = start + seconds(21);
  versions.Confirm(past - milliseconds(400), history);
  versions.Confirm(past, history + seconds(2));
  CHECK(versions.VersionOf(kService, 7, past) == "v2");
}

}  // namespace rattanward::policy
