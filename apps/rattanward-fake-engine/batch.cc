#include "batch.h"

#include <chrono>
#include <thread>

namespace rattanward::fake {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kPrefixesKept = 256;
constexpr std::size_t kStreamsKept = 4096;
constexpr std::uint32_t kCachedPrefillPercent = 30;
constexpr std::uint32_t kPercent = 100;
constexpr auto kStallCheck = std::chrono::milliseconds(5);

}  // namespace

std::shared_ptr<Stream> Batch::Begin(const std::string& stream_id,
                                     const std::string& request_id,
                                     const std::string& prompt,
                                     std::uint32_t tokens, int priority) {
  auto stream = std::make_shared<Stream>();
  stream->request_id = request_id;
  stream->prompt_start = prompt.substr(0, kPrefixBytes);
  stream->tokens = tokens;
  stream->priority = priority;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stream->number = next_number_++;
    stream->id =
        stream_id.empty() ? "s" + std::to_string(stream->number) : stream_id;
    if (streams_.size() >= kStreamsKept) {
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
  std::uint32_t prefill = behaviour_.first_token_ms;
  if (PrefixSeen(stream->prompt_start)) {
    prefill = prefill * kCachedPrefillPercent / kPercent;
  }
  bool alive = Sleep(stream, prefill);
  for (std::uint32_t token = 0; alive && token < stream->tokens; ++token) {
    if (token > 0) {
      alive = Sleep(stream, behaviour_.token_ms);
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
  EndStream(stream, alive);
}

bool Batch::AcquireSlot(const std::shared_ptr<Stream>& stream) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::pair<int, std::uint64_t> place{stream->priority, stream->number};
  waiting_.insert(place);
  slot_freed_.wait(lock, [&] {
    return stream->cancelled || (counts_.running < behaviour_.capacity &&
                                 *waiting_.begin() == place);
  });
  waiting_.erase(place);
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

bool Batch::PrefixSeen(const std::string& prompt_start) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (prefixes_.size() >= kPrefixesKept) {
    prefixes_.clear();
  }
  return !prefixes_.insert(prompt_start).second;
}

bool Batch::Sleep(const std::shared_ptr<Stream>& stream, std::uint32_t ms) {
  const auto span = std::chrono::microseconds(
      std::uint64_t{ms} * 1000 * behaviour_.slow_percent / kPercent);
  auto until = SteadyClock::now() + span;
  std::unique_lock<std::mutex> lock(stream->mutex);
  stream->changed.wait_until(lock, until, [&] { return stream->cancelled; });
  while (behaviour_.stalled && !stream->cancelled) {
    stream->changed.wait_for(lock, kStallCheck);
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
