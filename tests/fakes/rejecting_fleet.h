#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rattanward/policy/placer.h"

namespace rattanward::fakes {

/// @brief Entries and the upstreams of one plain service that fail when they
/// reject too many requests a second, in stepped time. Each entry has a real
/// placer; its place among the live entries comes as from a leader.
class RejectingFleet {
 public:
  static constexpr Duration kStep{std::chrono::milliseconds(10)};
  static constexpr Duration kReportPeriod{std::chrono::milliseconds(400)};
  static constexpr Duration kNewsDelay{std::chrono::milliseconds(20)};
  static constexpr Duration kDownTime{std::chrono::seconds(4)};
  /// Time after which a leader takes a silent entry for gone.
  static constexpr Duration kLease{std::chrono::seconds(3)};

  struct Shape {
    std::size_t entries = 9;
    std::size_t upstreams = 6;
    std::uint32_t slots = 12;
    /// Requests that wait at an upstream beyond its slots.
    std::uint32_t waiting = 0;
    std::uint32_t rejection_limit = 1;
    Duration work{std::chrono::milliseconds(200)};
    /// Whether entries keep within their parts; otherwise upstreams don't name
    /// their limit.
    bool guarded = true;
    /// Whether entries see the upstreams' room as it is instead.
    bool exact = false;
  };

  RejectingFleet(const Shape& shape, std::uint64_t seed)
      : shape_(shape), random_(seed) {
    upstreams_.resize(shape.upstreams);
    entries_.resize(shape.entries);
    for (std::size_t i = 0; i < shape.entries; ++i) {
      Restart(i);
    }
  }

  void Restart(std::size_t index) {
    Entry& entry = entries_[index];
    entry.placer = std::make_unique<policy::Placer>(FailureDomain("d"));
    entry.placer->SetServices({{ServiceName("s"), 1000, std::nullopt}});
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      Announce(entry, i);
      for (Running& running : upstreams_[i].running) {
        running.entry = running.entry == index ? kNobody : running.entry;
      }
    }
    entry.next_report_at = now_;
    entry.waiting = 0;
  }

  void SetCutOff(std::size_t index, bool cut_off) {
    entries_[index].cut_off = cut_off;
  }

  /// @brief Sets the requests a second that callers send to all entries.
  void SetLoad(double per_second) { per_second_ = per_second; }

  /// @brief Ends an upstream and starts it anew after kDownTime.
  void Fail(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    for (const Running& running : upstream.running) {
      Release(running, index);
    }
    upstream.running.clear();
    upstream.rejections.clear();
    upstream.down_until = now_ + kDownTime;
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        StepUpstream(i);
      }
      Arrive();
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        StepEntry(i);
      }
    }
  }

  std::size_t failures() const { return failures_; }
  std::size_t served() const { return served_; }
  void ResetCounts() { failures_ = served_ = 0; }
  const Shape& shape() const { return shape_; }
  /// @brief Requests a second that all upstreams serve when they are full.
  double capacity() const {
    const std::chrono::duration<double> work = shape_.work;
    return static_cast<double>(shape_.upstreams * shape_.slots) / work.count();
  }

 private:
  static constexpr std::size_t kNobody = ~std::size_t{0};

  struct Running {
    std::size_t entry = kNobody;
    TimePoint ends;
    policy::PlacementCharge charge;
  };
  struct Upstream {
    std::uint64_t born = 1;
    std::deque<Running> running;
    std::deque<TimePoint> rejections;
    std::optional<TimePoint> down_until;
  };
  struct News {
    TimePoint at;
    policy::EntryLoad load;
  };
  struct Entry {
    std::unique_ptr<policy::Placer> placer;
    std::deque<News> news;
    TimePoint next_report_at;
    std::optional<TimePoint> heard_at;
    std::size_t waiting = 0;
    bool cut_off = false;
  };

  UpstreamId Id(std::size_t index) const {
    return UpstreamId("u" + std::to_string(index));
  }

  void Announce(Entry& entry, std::size_t index) {
    membership::InstanceRecord record;
    record.id = Id(index);
    record.stamp = {upstreams_[index].born, 1};
    record.service = ServiceName("s");
    record.slots = shape_.slots;
    if (entry.placer->SetInstance(record)) {
      entry.placer->RecordStart(record.id, now_);
    }
    if (shape_.guarded) {
      entry.placer->SetRejectionLimit(record.id, shape_.rejection_limit, now_);
    }
  }

  void StepUpstream(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    if (upstream.down_until && now_ >= *upstream.down_until) {
      upstream.down_until.reset();
      ++upstream.born;
      for (Entry& entry : entries_) {
        Announce(entry, index);
      }
    }
    while (!upstream.running.empty() && upstream.running.front().ends <= now_) {
      Release(upstream.running.front(), index);
      upstream.running.pop_front();
      ++served_;
    }
  }

  void Release(const Running& running, std::size_t upstream) {
    if (running.entry != kNobody) {
      entries_[running.entry].placer->ReleaseCharge(Id(upstream),
                                                    running.charge);
    }
  }

  /// Some entries get twice as many callers as others.
  std::size_t AnyEntry() {
    while (true) {
      const std::size_t entry = random_() % entries_.size();
      if (entry % 2 == 0 || random_() % 2 == 0) {
        return entry;
      }
    }
  }

  void Arrive() {
    const std::chrono::duration<double> step = kStep;
    std::poisson_distribution<int> arrivals(per_second_ * step.count());
    for (int i = arrivals(random_); i > 0; --i) {
      const std::size_t entry = AnyEntry();
      // A caller whose entry has many waiting is refused.
      constexpr std::size_t kMostWaiting = 50;
      entries_[entry].waiting =
          std::min(entries_[entry].waiting + 1, kMostWaiting);
    }
  }

  void StepEntry(std::size_t index) {
    Entry& entry = entries_[index];
    while (!entry.news.empty() && entry.news.front().at <= now_) {
      entry.placer->SetEntryLoad(entry.news.front().load, now_);
      entry.news.pop_front();
    }
    if (!entry.cut_off) {
      entry.heard_at = now_;
    }
    if (now_ >= entry.next_report_at) {
      entry.next_report_at = now_ + kReportPeriod;
      AskLeader(index);
    }
    entry.placer->AgeLimitShares(now_);
    policy::PlacementRequest request;
    request.service = ServiceName("s");
    while (entry.waiting > 0) {
      const auto chosen = shape_.exact
                              ? FirstWithRoom()
                              : entry.placer->Choose(request, {}, now_);
      if (!chosen) {
        break;
      }
      Send(index, *chosen, request);
    }
    Tell(index);
  }

  std::optional<UpstreamId> FirstWithRoom() const {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      if (!upstreams_[i].down_until &&
          upstreams_[i].running.size() < shape_.slots) {
        return Id(i);
      }
    }
    return std::nullopt;
  }

  void AskLeader(std::size_t index) {
    Entry& entry = entries_[index];
    if (entry.cut_off) {
      return;
    }
    policy::RoomShare share;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const auto& heard_at = entries_[i].heard_at;
      if (heard_at && now_ - *heard_at < kLease) {
        share.index += i < index ? 1 : 0;
        ++share.entries;
      }
    }
    entry.placer->SetRoomShare(share, now_, now_);
  }

  void Send(std::size_t index, const UpstreamId& id,
            const policy::PlacementRequest& request) {
    Entry& entry = entries_[index];
    const std::size_t number = std::stoul(id.str().substr(1));
    Upstream& upstream = upstreams_[number];
    const auto charge = entry.placer->RecordSend(id, request, now_);
    if (upstream.down_until) {
      entry.placer->ReleaseCharge(id, charge);
      entry.placer->RecordFailure(id, true, now_);
      return;
    }
    if (upstream.running.size() >= shape_.slots + shape_.waiting) {
      entry.placer->ReleaseCharge(id, charge);
      entry.placer->RecordFailure(id, false, now_);
      Reject(number);
      return;
    }
    --entry.waiting;
    upstream.running.push_back({index, now_ + shape_.work, charge});
  }

  void Reject(std::size_t number) {
    Upstream& upstream = upstreams_[number];
    upstream.rejections.push_back(now_);
    while (now_ - upstream.rejections.front() >= std::chrono::seconds(1)) {
      upstream.rejections.pop_front();
    }
    if (upstream.rejections.size() > shape_.rejection_limit) {
      ++failures_;
      Fail(number);
    }
  }

  /// One in ten reports is lost.
  void Tell(std::size_t index) {
    Entry& entry = entries_[index];
    const bool periodic = now_.time_since_epoch() % (3 * kStep) == Duration(0);
    if (entry.cut_off || (!periodic && !entry.placer->has_urgent_load())) {
      return;
    }
    const ProcessId name("entry-" + std::to_string(index));
    std::vector<policy::EntryLoad> loads;
    if (entry.placer->has_urgent_load()) {
      loads.push_back(entry.placer->TakeUrgentLoad(name));
    }
    if (periodic) {
      loads.push_back(entry.placer->OwnLoad(name, now_, now_));
    }
    constexpr std::uint64_t kLostOneIn = 10;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      for (const policy::EntryLoad& load : loads) {
        if (i != index && !entries_[i].cut_off && random_() % kLostOneIn != 0) {
          entries_[i].news.push_back({now_ + kNewsDelay, load});
        }
      }
    }
  }

  Shape shape_;
  std::mt19937_64 random_;
  std::vector<Upstream> upstreams_;
  std::vector<Entry> entries_;
  double per_second_ = 0;
  std::size_t failures_ = 0;
  std::size_t served_ = 0;
  TimePoint now_{std::chrono::seconds(100)};
};

}  // namespace rattanward::fakes
