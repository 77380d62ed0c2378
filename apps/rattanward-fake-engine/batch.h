#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "rattanward/domain/upstream.h"

namespace rattanward::fake {

/// @brief How the stand-in engine behaves; faults change it while it runs.
struct EngineBehaviour {
  std::uint32_t capacity = 8;
  std::atomic<std::uint32_t> first_token_ms{20};
  std::atomic<std::uint32_t> token_ms{5};
  /// Slows everything down by this factor, in hundredths.
  std::atomic<std::uint32_t> slow_percent{100};
  /// Nothing is generated while this is set.
  std::atomic<bool> stalled{false};
  /// Connections that are open go silent; new ones work.
  std::atomic<std::uint64_t> last_silent_connection{0};
  /// A stream's connection breaks after so many events; 0 is never.
  std::atomic<std::uint32_t> break_after{0};
  /// Every request is refused with this status; 0 is none.
  std::atomic<int> refuse_status{0};
  /// Answers carry another request's id.
  std::atomic<bool> wrong_id{false};
  /// A prompt with this text kills the engine; empty is none.
  std::string poison;
  std::uint32_t orphan_timeout_ms = 1500;
};

/// @brief One answer being generated.
struct Stream {
  std::string id;
  std::string request_id;
  std::string prompt_prefix;
  std::uint32_t tokens = 0;
  int priority = 0;
  std::uint64_t arrival_number = 0;
  std::mutex mutex;
  std::condition_variable changed;
  /// Events generated: tokens, then the finishing one.
  std::uint32_t produced = 0;
  std::uint32_t readers = 0;
  bool done = false;
  bool cancelled = false;
};

/// @brief Counts of the engine since it started.
struct EngineCounts {
  std::uint64_t accepted = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t tokens = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// @brief Continuous batching of a stand-in engine: slots by priority.
class Batch {
 public:
  explicit Batch(EngineBehaviour& behaviour) : behaviour_(behaviour) {}

  /// @brief Starts an answer on a thread of its own.
  /// @param stream_id The sender's name for the stream; one is made if empty.
  std::shared_ptr<Stream> StartStream(const std::string& stream_id,
                                      const std::string& request_id,
                                      const std::string& prompt,
                                      std::uint32_t tokens, int priority);
  /// @brief Finds an answer that is being generated or was; null if unknown.
  std::shared_ptr<Stream> Find(const std::string& stream_id);
  void Cancel(const std::shared_ptr<Stream>& stream);
  EngineCounts Counts();

 private:
  void Generate(const std::shared_ptr<Stream>& stream);
  bool AcquireSlot(const std::shared_ptr<Stream>& stream);
  void ReleaseSlot();
  bool LookUpOrCachePrefix(const std::string& prompt_prefix);
  bool SleepUnlessCancelled(const std::shared_ptr<Stream>& stream,
                            std::uint32_t ms);
  void EndStream(const std::shared_ptr<Stream>& stream, bool completed);

  EngineBehaviour& behaviour_;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  /// Waiting answers by priority, then by order of arrival.
  std::set<std::pair<int, std::uint64_t>> waiting_;
  std::set<std::string> cached_prefixes_;
  std::uint64_t next_arrival_number_ = 1;
  EngineCounts counts_;
};

}  // namespace rattanward::fake
