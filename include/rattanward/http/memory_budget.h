#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "rattanward/domain/time.h"

namespace rattanward::http {

/// @brief Bytes of the heap that a string occupies.
inline std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInlineBytes = std::string().capacity();
  return text.capacity() > kInlineBytes ? text.capacity() : 0;
}

/// @brief Something that holds bytes of a MemoryBudget and can free them.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  /// @brief Frees what it holds, in a later event-loop step.
  /// @note The budget has forgotten the holder; it must not charge again.
  virtual void GiveUpMemory() = 0;
};

/// @brief Byte budget of the whole process for what its connections hold.
/// @note When it is used up, the holder with the largest product of bytes and
/// time gives up what it holds, until there is room: those that hold most for
/// longest go first. Not thread-safe.
class MemoryBudget {
 public:
  /// @brief What a holder had to give up.
  struct Eviction {
    std::size_t bytes = 0;
    /// Since it began to hold any bytes.
    Duration held_for{0};

    friend bool operator==(const Eviction&, const Eviction&) = default;
  };

  /// @param limit Bytes that all holders may hold together.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

  /// @brief Budget for a process.
  /// @param memory_mb Memory of the process's VM in MiB, as declared.
  /// @return A part of the memory, but enough for one request within the
  /// limits.
  static std::size_t LimitFor(std::uint32_t memory_mb);

  /// @brief Sets how many bytes a holder holds now. May evict holders, also
  /// this one.
  /// Complexity: constant; linear in the number of holders if one is evicted.
  void Charge(MemoryHolder& holder, std::size_t bytes, TimePoint now);

  /// @brief Forgets a holder.
  void Release(MemoryHolder& holder);

  /// @brief How much may be read ahead for a peer that doesn't read.
  /// @param most Limit while at least half of the budget is free; it shrinks
  /// with what is free of the other half.
  std::size_t ReadAhead(std::size_t most) const;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  std::size_t peak() const { return peak_; }
  std::size_t holders() const { return holders_.size(); }
  /// @brief Number of holders that had to give up their bytes.
  std::uint64_t evictions() const { return evictions_; }

  /// @brief Called for each eviction; may be empty.
  std::function<void(const Eviction&)> on_evicted;

 private:
  struct Holding {
    std::size_t bytes = 0;
    TimePoint since;
  };

  void EvictOne(TimePoint now);

  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t evictions_ = 0;
  std::unordered_map<MemoryHolder*, Holding> holders_;
};

}  // namespace rattanward::http
