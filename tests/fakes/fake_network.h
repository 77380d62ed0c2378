#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rattanward/domain/time.h"

namespace rattanward::fakes {

/// @brief Index of a VM in the fake network.
using Slot = std::size_t;

/// @brief Faults of all links of the network.
struct LinkQuality {
  /// Share of messages that are dropped.
  unsigned loss_percent = 0;
  /// Share of messages that arrive twice.
  unsigned duplicate_percent = 0;
  /// Each message is delayed by a random time up to this, which also reorders
  /// messages.
  Duration max_delay{0};
};

/// @brief Network that can drop, delay, duplicate and reorder messages. Each
/// direction of a link can be cut separately.
class FakeNetwork {
 public:
  struct Packet {
    Slot from = 0;
    Slot to = 0;
    std::string bytes;
    TimePoint due;
  };

  explicit FakeNetwork(std::uint64_t seed) : random_(seed) {}

  void set_quality(const LinkQuality& quality) { quality_ = quality; }
  /// @brief Drops all messages in one direction until Heal().
  void Cut(Slot from, Slot to) { cuts_.insert({from, to}); }
  /// @brief Restores all cut links.
  void Heal() { cuts_.clear(); }

  void Send(Slot from, Slot to, const std::string& bytes, TimePoint now) {
    if (cuts_.count({from, to}) > 0 || Draw(100) < quality_.loss_percent) {
      return;
    }
    const int copies = Draw(100) < quality_.duplicate_percent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const Duration delay(Draw(quality_.max_delay.count() + 1));
      packets_.push_back({from, to, bytes, now + delay});
    }
  }

  /// @brief Removes and returns the packets due by now, in random order.
  std::vector<Packet> TakeDue(TimePoint now) {
    std::vector<Packet> due;
    std::vector<Packet> not_due;
    for (Packet& packet : packets_) {
      (packet.due <= now ? due : not_due).push_back(std::move(packet));
    }
    packets_ = std::move(not_due);
    std::shuffle(due.begin(), due.end(), random_);
    return due;
  }

 private:
  /// Random number below a limit.
  std::uint64_t Draw(std::uint64_t limit) { return random_() % limit; }

  std::mt19937_64 random_;
  LinkQuality quality_;
  std::set<std::pair<Slot, Slot>> cuts_;
  std::vector<Packet> packets_;
};

}  // namespace rattanward::fakes
