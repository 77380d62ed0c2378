#include "rattanward/adapter/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace rattanward::adapter {
namespace {

constexpr std::size_t kMaxBuffered = 256U << 10U;
/// Room kept for the record that tells how many were dropped.
constexpr std::size_t kReserve = 1U << 10U;
constexpr std::chrono::milliseconds kFlushPeriod{200};
constexpr std::size_t kFlushBytes = 16U << 10U;

std::string Quoted(const std::string& text) {
  constexpr int kNoIndent = -1;
  return nlohmann::json(text).dump(kNoIndent, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::int64_t UnixMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

LineLog::LineLog(asio::io_context& io, ProcessIdentity identity, int descriptor)
    : timer_(io), identity_(std::move(identity)), descriptor_(descriptor) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void LineLog::Start() { WaitAndFlush(); }

void LineLog::WaitAndFlush() {
  timer_.expires_after(kFlushPeriod);
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& e) {
    const auto self = weak.lock();
    if (!e && self) {
      self->Flush();
      self->WaitAndFlush();
    }
  });
}

void LineLog::Append(const Event& event) {
  buffer_ += "{\"us\":" + std::to_string(UnixMicroseconds());
  buffer_ += ",\"process\":" + Quoted(identity_.process.str());
  buffer_ += ",\"seq\":" + std::to_string(++sequence_);
  buffer_ += ",\"event\":" + std::to_string(static_cast<int>(event.id));
  buffer_ += ",\"name\":\"";
  buffer_ += EventName(event.id);
  buffer_ += '"';
  for (const EventField& field : event.fields) {
    buffer_ += ",\"" + field.name + "\":" + Quoted(field.value);
  }
  buffer_ += "}\n";
}

void LineLog::Write(const Event& event) {
  if (buffer_.size() > kMaxBuffered - kReserve) {
    ++dropped_;
    return;
  }
  if (dropped_ != dropped_told_) {
    dropped_told_ = dropped_;
    Append({EventId::kRecordsDropped, {{"total", std::to_string(dropped_)}}});
  }
  Append(event);
  if (buffer_.size() >= kFlushBytes) {
    Flush();
  }
}

void LineLog::Flush() {
  std::size_t sent = 0;
  while (sent < buffer_.size()) {
    const ssize_t count =
        ::write(descriptor_, buffer_.data() + sent, buffer_.size() - sent);
    if (count <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  buffer_.erase(0, sent);
}

port::EventSink LineLog::Sink() {
  return
      [self = shared_from_this()](const Event& event) { self->Write(event); };
}

}  // namespace rattanward::adapter
