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

/// @brief Behaviour of the fake engine. The atomic members can be changed by
/// fault injection while it runs.
struct EngineBehaviour {
  /// Streams that are generated at once.
  std::uint32_t capacity = 8;
  /// Time to the first token, without prefix caching and slowdown.
  std::atomic<std::uint32_t> first_token_ms{20};
  /// Time between two tokens, without slowdown.
  std::atomic<std::uint32_t> token_ms{5};
  /// Duration of each generation step, in percent of the normal one.
  std::atomic<std::uint32_t> slow_percent{100};
  /// Pauses generation while it is set.
  std::atomic<bool> stalled{false};
  /// Responses up to this sequence number stay open but send nothing more;
  /// later ones work.
  std::atomic<std::uint64_t> last_silent_connection{0};
  /// Each response is aborted after the event with this number; 0 disables
  /// this fault.
  std::atomic<std::uint32_t> break_after{0};
  /// HTTP status with which each completion request is rejected; 0 disables
  /// this fault.
  std::atomic<int> refuse_status{0};
  /// Retry-After in seconds with which each completion request is rejected; 0
  /// disables this fault.
  std::atomic<std::uint32_t> backoff_s{0};
  /// Every answer says that the engine is leaving; its announcements don't.
  std::atomic<bool> leaving{false};
  /// Limit of requests that every answer names, in thousandths a second; 0
  /// names none.
  std::atomic<std::uint32_t> limit_milli{0};
  /// Responses carry the id of another request.
  std::atomic<bool> wrong_id{false};
  /// The process exits when a prompt contains this text; empty disables this
  /// fault.
  std::string poison;
  /// Time after which a stream without readers is cancelled.
  std::uint32_t orphan_timeout_ms = 1500;
};

/// @brief A completion that is being generated or has ended. Its mutex guards
/// the members below it.
struct Stream {
  std::string id;
  std::string request_id;
  std::string prompt_prefix;
  /// Tokens to generate.
  std::uint32_t tokens = 0;
  /// Lower values are served first.
  int priority = 0;
  /// Sequence number of the request, by which equal priorities are ordered.
  std::uint64_t arrival_number = 0;
  std::mutex mutex;
  std::condition_variable changed;
  /// Tokens generated so far.
  std::uint32_t produced = 0;
  /// Responses that read this stream at present.
  std::uint32_t readers = 0;
  bool done = false;
  bool cancelled = false;
};

/// @brief Counters since the engine started, and its present load.
struct EngineCounts {
  std::uint64_t accepted = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  /// Tokens generated.
  std::uint64_t tokens = 0;
  /// Streams that hold a slot at present.
  std::uint32_t running = 0;
  /// Streams that wait for a slot at present.
  std::uint32_t waiting = 0;
};

/// @brief Simulates an engine's continuous batching. A fixed number of slots
/// is given to waiting streams by priority, then by order of arrival.
class Batch {
 public:
  explicit Batch(EngineBehaviour& behaviour) : behaviour_(behaviour) {}

  /// @brief Starts generating a stream on a thread of its own.
  /// @param stream_id Id chosen by the client; if empty, one is generated.
  /// @param request_id Id that the events carry.
  /// @param prompt Prompt; its first bytes are the key of the prefix cache.
  /// @param tokens Tokens to generate.
  /// @param priority Lower values get a slot first.
  /// @return The stream.
  std::shared_ptr<Stream> StartStream(const std::string& stream_id,
                                      const std::string& request_id,
                                      const std::string& prompt,
                                      std::uint32_t tokens, int priority);
  /// @brief Looks up a running or ended stream.
  /// @param stream_id Id of the stream.
  /// @return The stream, or null if the id is unknown.
  std::shared_ptr<Stream> Find(const std::string& stream_id);
  /// @brief Makes the stream stop, whether it waits for a slot or has one.
  void Cancel(const std::shared_ptr<Stream>& stream);
  EngineCounts Counts();

 private:
  void Generate(const std::shared_ptr<Stream>& stream);
  /// Waits for a slot; false if the stream was cancelled first.
  bool AcquireSlot(const std::shared_ptr<Stream>& stream);
  void ReleaseSlot();
  /// Whether the prefix was cached already; caches it if not.
  bool LookUpOrCachePrefix(const std::string& prompt_prefix);
  /// Sleeps for the time, scaled by slow_percent, and while generation is
  /// paused; false if the stream was cancelled.
  bool SleepUnlessCancelled(const std::shared_ptr<Stream>& stream,
                            std::uint32_t ms);
  void EndStream(const std::shared_ptr<Stream>& stream, bool completed);

  EngineBehaviour& behaviour_;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  /// Streams that wait for a slot, as (priority, arrival number).
  std::set<std::pair<int, std::uint64_t>> waiting_;
  std::set<std::string> cached_prefixes_;
  std::uint64_t next_arrival_number_ = 1;
  EngineCounts counts_;
};

}  // namespace rattanward::fake
