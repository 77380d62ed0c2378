#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rattanward/control/limit_shares.h"
#include "rattanward/membership/instance_directory.h"
#include "rattanward/policy/placer.h"

namespace rattanward::fakes {

/// @brief Entries, one upstream that names a limit, and a leader, in stepped
/// time: each entry has a real placer and directory, the leader real shares.
/// @note Every entry always has another request waiting.
class LimitFleet {
 public:
  static constexpr Duration kStep{std::chrono::milliseconds(20)};
  static constexpr Duration kReportPeriod{std::chrono::milliseconds(400)};

  /// @brief A request that reached the upstream.
  struct Arrival {
    TimePoint at;
    std::size_t entry = 0;
  };

  LimitFleet(std::size_t entries, std::uint64_t seed) : random_(seed) {
    leader_.Merge(Record(), now_);
    for (std::size_t i = 0; i < entries; ++i) {
      AddEntry();
    }
  }

  void AddEntry() {
    entries_.emplace_back();
    Restart(entries_.size() - 1);
  }

  /// @brief Ends the process of an entry and starts it anew.
  void Restart(std::size_t index) {
    Entry& entry = entries_[index];
    entry.placer = std::make_unique<policy::Placer>(FailureDomain("d"));
    entry.placer->SetServices({{ServiceName("s"), 1000, std::nullopt}});
    entry.directory = {};
    entry.told_at.reset();
    entry.answers.clear();
    entry.next_report_at = now_;
    entry.has_routes = false;
  }

  void SetCutOff(std::size_t index, bool cut_off) {
    entries_[index].cut_off = cut_off;
  }
  /// @brief No control VM is reached by any entry.
  void SetControlDown(bool down) { control_down_ = down; }
  /// @brief The leader loses its soft state.
  void RestartLeader() {
    leader_ = {};
    shares_ = {};
    heard_.clear();
    leader_.Merge(Record(), now_);
    for (Entry& entry : entries_) {
      entry.reports_all = true;
    }
  }

  void SetLimit(std::optional<RequestRate> limit) { limit_ = limit; }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        StepEntry(i);
      }
    }
  }

  TimePoint now() const { return now_; }
  std::size_t size() const { return entries_.size(); }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  /// @brief Since when an entry has known the limit from an answer.
  std::optional<TimePoint> told_at(std::size_t entry) const {
    return entries_[entry].told_at;
  }

  /// @brief Requests within a span of time, without those of excused entries.
  std::size_t Count(TimePoint from, TimePoint to,
                    const std::vector<bool>& excused = {}) const {
    return static_cast<std::size_t>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
          const bool counts =
              arrival.entry >= excused.size() || !excused[arrival.entry];
          return counts && arrival.at >= from && arrival.at < to;
        }));
  }

 private:
  struct Answer {
    TimePoint at;
    std::optional<RequestRate> limit;
  };
  struct Entry {
    std::unique_ptr<policy::Placer> placer;
    membership::InstanceDirectory directory;
    std::deque<Answer> answers;
    std::optional<TimePoint> told_at;
    TimePoint next_report_at;
    bool cut_off = false;
    bool reports_all = true;
    /// Routes come from control, so an entry serves nobody before it was there.
    bool has_routes = false;
  };

  static membership::InstanceRecord Record() {
    membership::InstanceRecord record;
    record.id = UpstreamId("u");
    record.stamp = {1, 1};
    record.service = ServiceName("s");
    record.slots = 1000;
    return record;
  }

  void Learn(Entry& entry,
             const std::vector<membership::InstanceRecord>& records) {
    entry.directory.Merge(Record(), now_);
    for (const membership::InstanceRecord& record : records) {
      entry.directory.Merge(record, now_);
    }
    ApplyDirectory(entry);
  }

  void ApplyDirectory(Entry& entry) {
    for (const auto& record : entry.directory.TakeChanges()) {
      entry.placer->SetInstance(record);
      entry.placer->SetLimit(record.id, record.limit.limit(), now_);
    }
  }

  void StepEntry(std::size_t index) {
    Entry& entry = entries_[index];
    bool news = entry.reports_all;
    while (!entry.answers.empty() && entry.answers.front().at <= now_) {
      news = TakeAnswer(entry, entry.answers.front()) || news;
      entry.answers.pop_front();
    }
    if (news || now_ >= entry.next_report_at) {
      Report(index);
    }
    entry.placer->AgeLimitShares(now_);
    if (entry.has_routes) {
      SendAllowed(index);
    }
  }

  bool TakeAnswer(Entry& entry, const Answer& answer) {
    if (answer.limit && !entry.told_at) {
      entry.told_at = now_;
    }
    const bool news =
        entry.directory
            .ReadLimit(UpstreamId("u"), 1, {answer.limit, std::nullopt})
            .has_value();
    ApplyDirectory(entry);
    return news;
  }

  void Report(std::size_t index) {
    Entry& entry = entries_[index];
    entry.next_report_at = now_ + kReportPeriod;
    if (entry.cut_off || control_down_) {
      entry.reports_all = true;
      return;
    }
    entry.reports_all = false;
    entry.has_routes = true;
    heard_[index] = now_;
    bool news = false;
    for (const UpstreamLimit& limit : entry.directory.Limits()) {
      news = leader_.MergeLimit(limit) || news;
    }
    if (news) {
      shares_.Invalidate();
      PushToAll();
    }
    Learn(entry, leader_.All());
    entry.placer->SetLimitShares(SharesOf(index), now_, now_);
  }

  void PushToAll() {
    for (Entry& entry : entries_) {
      if (!entry.cut_off) {
        Learn(entry, leader_.All());
      }
    }
  }

  std::vector<policy::LimitShare> SharesOf(std::size_t index) {
    if (shares_.IsDue(now_)) {
      std::vector<ProcessId> live;
      for (const auto& [entry, at] : heard_) {
        if (now_ - at < policy::kLimitShareLease) {
          live.push_back(Name(entry));
        }
      }
      shares_.Assign(leader_.Limits(), live, now_);
    }
    return shares_.Of(Name(index));
  }

  static ProcessId Name(std::size_t index) {
    return ProcessId("entry-" + std::to_string(index));
  }

  void SendAllowed(std::size_t index) {
    Entry& entry = entries_[index];
    policy::PlacementRequest request;
    request.service = ServiceName("s");
    constexpr int kMostInAStep = 3;
    for (int i = 0; i < kMostInAStep; ++i) {
      if (!entry.placer->Choose(request, {}, now_)) {
        return;
      }
      entry.placer->ReleaseCharge(
          UpstreamId("u"),
          entry.placer->RecordSend(UpstreamId("u"), request, now_));
      arrivals_.push_back({now_, index});
      constexpr std::uint64_t kLongestAnswerSteps = 20;
      const Duration latency =
          kStep * static_cast<int>(1 + random_() % kLongestAnswerSteps);
      entry.answers.push_back({now_ + latency, limit_});
      std::sort(entry.answers.begin(), entry.answers.end(),
                [](const Answer& a, const Answer& b) { return a.at < b.at; });
    }
  }

  std::mt19937_64 random_;
  std::vector<Entry> entries_;
  membership::InstanceDirectory leader_;
  control::LimitShares shares_;
  std::map<std::size_t, TimePoint> heard_;
  std::vector<Arrival> arrivals_;
  std::optional<RequestRate> limit_;
  TimePoint now_{std::chrono::seconds(100)};
  bool control_down_ = false;
};

}  // namespace rattanward::fakes
