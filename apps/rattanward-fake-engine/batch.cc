#include "batch.h"

#include <chrono>
#include <thread>

namespace rattanward::fake {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// Length of a prefix-cache key.
constexpr std::size_t kPrefixBytes = 64;
/// The prefix cache is emptied when it has reached this size.
constexpr std::size_t kMaxCachedPrefixes = 256;
/// All streams are removed from the lookup table when it has reached this
/// size; running ones go on.
constexpr std::size_t kMaxStreams = 4096;
/// Time to the first token for a cached prefix, in percent of the normal one.
constexpr std::uint32_t kCachedPrefillPercent = 30;
constexpr std::uint32_t kPercent = 100;
/// Interval at which a paused stream checks whether it may go on.
constexpr auto kStallPollInterval = std::chrono::milliseconds(5);

}  // namespace

std::shared_ptr<Stream> Batch::StartStream(const std::string& stream_id,
                                           const std::string& request_id,
                                           const std::string& prompt,
                                           std::uint32_t tokens, int priority) {
  auto stream = std::make_shared<Stream>();
  stream->request_id = request_id;
  stream->prompt_prefix = prompt.substr(0, kPrefixBytes);
  stream->tokens = tokens;
  stream->priority = priority;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stream->arrival_number = next_arrival_number_++;
    stream->id = stream_id.empty()
                     ? "s" + std::to_string(stream->arrival_number)
                     : stream_id;
    if (streams_.size() >= kMaxStreams) {
      streams_.clear();
    }
    streams_[stream->id] = stream;
    ++counts_.accepted;
  }
  std::thread([this, stream] { Generate(stream); }).detach();
  return stream;
}

std::shared_ptr<Stream> Batch::Find(const std::string& stream_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = streams_.find(stream_id);
  return it == streams_.end() ? nullptr : it->second;
}

void Batch::Cancel(const std::shared_ptr<Stream>& stream) {
  {
    const std::lock_guard<std::mutex> lock(stream->mutex);
    stream->cancelled = true;
  }
  stream->changed.notify_all();
  slot_freed_.notify_all();
}

EngineCounts Batch::Counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  EngineCounts counts = counts_;
  counts.waiting = static_cast<std::uint32_t>(waiting_.size());
  return counts;
}

void Batch::Generate(const std::shared_ptr<Stream>& stream) {
  if (!AcquireSlot(stream)) {
    EndStream(stream, false);
    return;
  }
  std::uint32_t prefill_ms = behaviour_.first_token_ms;
  if (LookUpOrCachePrefix(stream->prompt_prefix)) {
    prefill_ms = prefill_ms * kCachedPrefillPercent / kPercent;
  }
  bool active = SleepUnlessCancelled(stream, prefill_ms);
  for (std::uint32_t token = 0; active && token < stream->tokens; ++token) {
    if (token > 0) {
      active = SleepUnlessCancelled(stream, behaviour_.token_ms);
    }
    {
      const std::lock_guard<std::mutex> lock(stream->mutex);
      ++stream->produced;
      stream->changed.notify_all();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.tokens;
  }
  ReleaseSlot();
  EndStream(stream, active);
}

bool Batch::AcquireSlot(const std::shared_ptr<Stream>& stream) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::pair<int, std::uint64_t> queue_key{stream->priority,
                                                stream->arrival_number};
  waiting_.insert(queue_key);
  slot_freed_.wait(lock, [&] {
    return stream->cancelled || (counts_.running < behaviour_.capacity &&
                                 *waiting_.begin() == queue_key);
  });
  waiting_.erase(queue_key);
  slot_freed_.notify_all();
  if (stream->cancelled) {
    return false;
  }
  ++counts_.running;
  return true;
}

void Batch::ReleaseSlot() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --counts_.running;
  }
  slot_freed_.notify_all();
}

bool Batch::LookUpOrCachePrefix(const std::string& prompt_prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (cached_prefixes_.size() >= kMaxCachedPrefixes) {
    cached_prefixes_.clear();
  }
  return !cached_prefixes_.insert(prompt_prefix).second;
}

bool Batch::SleepUnlessCancelled(const std::shared_ptr<Stream>& stream,
                                 std::uint32_t ms) {
  const auto duration = std::chrono::microseconds(
      std::uint64_t{ms} * 1000 * behaviour_.slow_percent / kPercent);
  auto deadline = SteadyClock::now() + duration;
  std::unique_lock<std::mutex> lock(stream->mutex);
  stream->changed.wait_until(lock, deadline, [&] { return stream->cancelled; });
  while (behaviour_.stalled && !stream->cancelled) {
    stream->changed.wait_for(lock, kStallPollInterval);
  }
  return !stream->cancelled;
}

void Batch::EndStream(const std::shared_ptr<Stream>& stream, bool completed) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    (completed ? counts_.completed : counts_.cancelled) += 1;
  }
  const std::lock_guard<std::mutex> lock(stream->mutex);
  stream->done = completed;
  stream->cancelled = !completed;
  stream->changed.notify_all();
}

}  // namespace rattanward::fake
