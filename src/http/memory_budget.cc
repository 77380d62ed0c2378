#include "rattanward/http/memory_budget.h"

#include <algorithm>

namespace rattanward::http {
namespace {

constexpr std::size_t kMebibyte = 1U << 20U;
/// The rest of the memory is for the program, its routes and upstreams, for the
/// system's socket buffers, and for copies that exist for a moment.
constexpr std::size_t kShareNumerator = 3;
constexpr std::size_t kShareDenominator = 8;
/// A request body and an answer of the largest sizes, the answer once more
/// while it is sent, and the room that growing strings reserve.
constexpr std::size_t kLeastBytes = 24 * kMebibyte;
constexpr std::size_t kLeastReadAhead = 4U << 10U;

}  // namespace

std::size_t MemoryBudget::LimitFor(std::uint32_t memory_mb) {
  return std::max(kLeastBytes,
                  memory_mb * kMebibyte / kShareDenominator * kShareNumerator);
}

void MemoryBudget::Charge(MemoryHolder& holder, std::size_t bytes,
                          TimePoint now) {
  if (bytes == 0) {
    Release(holder);
    return;
  }
  Holding& holding =
      holders_.try_emplace(&holder, Holding{0, now}).first->second;
  used_ += bytes - holding.bytes;
  holding.bytes = bytes;
  while (used_ > limit_) {
    EvictOne(now);
  }
  peak_ = std::max(peak_, used_);
}

void MemoryBudget::Release(MemoryHolder& holder) {
  const auto found = holders_.find(&holder);
  if (found != holders_.end()) {
    used_ -= found->second.bytes;
    holders_.erase(found);
  }
}

void MemoryBudget::EvictOne(TimePoint now) {
  const auto product = [now](const auto& entry) {
    constexpr Duration kShortest{1};  // Those that began just now also count.
    const Holding& holding = entry.second;
    return static_cast<double>(holding.bytes) *
           static_cast<double>((now - holding.since + kShortest).count());
  };
  const auto found = std::max_element(
      holders_.begin(), holders_.end(),
      [&](const auto& a, const auto& b) { return product(a) < product(b); });
  MemoryHolder& holder = *found->first;
  const Eviction eviction{found->second.bytes, now - found->second.since};
  Release(holder);
  ++evictions_;
  holder.GiveUpMemory();
  if (on_evicted) {
    on_evicted(eviction);
  }
}

std::size_t MemoryBudget::ReadAhead(std::size_t most) const {
  const std::size_t half = limit_ / 2;
  const std::size_t free = limit_ - std::min(used_, limit_);
  if (free >= half) {
    return most;
  }
  return std::max(kLeastReadAhead, most / 1024 * free / half * 1024);
}

}  // namespace rattanward::http
