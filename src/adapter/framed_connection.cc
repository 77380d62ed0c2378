#include "rattanward/adapter/framed_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/domain/result.h"

namespace rattanward::adapter::detail {
namespace {

constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kInitialBufferBytes = 4096;
constexpr std::size_t kKeptBufferBytes = 65536;
constexpr std::size_t kMaxFramesPerWrite = 64;

std::uint32_t ReadLength(const char* header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(header[i]);
  }
  return length;
}

std::string MakeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    const std::size_t shift = 8 * (kHeaderBytes - 1 - i);
    frame.push_back(static_cast<char>((payload.size() >> shift) & 0xFFU));
  }
  frame.append(payload);
  return frame;
}

}  // namespace

FramedConnection::FramedConnection(asio::ip::tcp::socket socket,
                                   FrameLimits limits)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      limits_(limits),
      heard_(MonotonicNow()) {}

void FramedConnection::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  input_.resize(kInitialBufferBytes);
  Read();
}

bool FramedConnection::Send(std::string_view payload) {
  const std::size_t bytes = kHeaderBytes + payload.size();
  if (closed_ || payload.size() > limits_.max_frame_bytes ||
      queued_bytes_ + bytes > limits_.max_queued_bytes) {
    return false;
  }
  waiting_.push_back(MakeFrame(payload));
  queued_bytes_ += bytes;
  if (writing_.empty()) {
    Write();
  }
  return true;
}

void FramedConnection::StartHeartbeats(Duration heartbeat, Duration silence) {
  heartbeat_ = heartbeat;
  silence_ = silence;
  heard_ = MonotonicNow();
  WaitHeartbeat();
}

void FramedConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  handlers_ = {};
  asio::error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
}

void FramedConnection::Fail(const Error& error) {
  if (closed_) {
    return;
  }
  const auto on_closed = std::move(handlers_.on_closed);
  Close();
  if (on_closed) {
    on_closed(error);
  }
}

void FramedConnection::Read() {
  socket_.async_read_some(
      asio::buffer(input_.data() + filled_, input_.size() - filled_),
      [self = shared_from_this()](const asio::error_code& e, std::size_t n) {
        if (self->closed_) {
          return;
        }
        if (e) {
          self->Fail(MakeError(ErrorCode::kDisconnected, e.message()));
          return;
        }
        self->heard_ = MonotonicNow();
        self->filled_ += n;
        if (self->TakeFrames()) {
          self->Read();
        }
      });
}

bool FramedConnection::TakeFrames() {
  std::size_t start = 0;
  std::size_t wanted = kHeaderBytes;
  while (filled_ - start >= kHeaderBytes) {
    const std::uint32_t length = ReadLength(input_.data() + start);
    if (length > limits_.max_frame_bytes) {
      Fail(MakeError(ErrorCode::kFrameTooLarge,
                     "frame of " + std::to_string(length) + " bytes, at most " +
                         std::to_string(limits_.max_frame_bytes)));
      return false;
    }
    wanted = kHeaderBytes + length;
    if (filled_ - start < wanted) {
      break;
    }
    if (length > 0) {
      const auto on_frame = handlers_.on_frame;
      on_frame({input_.data() + start + kHeaderBytes, length});
    }
    if (closed_) {
      return false;
    }
    start += wanted;
    wanted = kHeaderBytes;
  }
  filled_ -= start;
  std::memmove(input_.data(), input_.data() + start, filled_);
  if (input_.size() < wanted) {
    input_.resize(std::min(
        wanted, std::max(2 * input_.size(), filled_ + kInitialBufferBytes)));
  } else if (filled_ == 0 && input_.size() > kKeptBufferBytes) {
    input_ = std::vector<char>(kInitialBufferBytes);
  }
  return true;
}

void FramedConnection::Write() {
  while (!waiting_.empty() && writing_.size() < kMaxFramesPerWrite) {
    writing_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& frame : writing_) {
    buffers.push_back(asio::buffer(frame));
  }
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const asio::error_code& e,
                                  std::size_t written) {
        if (self->closed_) {
          return;
        }
        if (e) {
          self->Fail(MakeError(ErrorCode::kDisconnected, e.message()));
          return;
        }
        self->queued_bytes_ -= written;
        self->writing_.clear();
        if (!self->waiting_.empty()) {
          self->Write();
        }
      });
}

void FramedConnection::WaitHeartbeat() {
  timer_.expires_after(heartbeat_);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& e) {
    if (e || self->closed_) {
      return;
    }
    if (MonotonicNow() - self->heard_ > self->silence_) {
      self->Fail(MakeError(ErrorCode::kDisconnected, "peer is silent"));
      return;
    }
    self->Send({});
    self->WaitHeartbeat();
  });
}

}  // namespace rattanward::adapter::detail
