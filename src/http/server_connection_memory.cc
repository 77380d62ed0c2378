#include <asio/post.hpp>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/http/server_connection.h"

// What a server connection draws from the memory budget of its process.

namespace rattanward::http {
namespace {

using adapter::MonotonicNow;

/// Empty buffers above this size are freed: thousands of idle connections
/// would otherwise keep those of their largest message.
constexpr std::size_t kKeptBufferBytes = 4U << 10U;

void FreeIfUnused(std::string* buffer) {
  if (buffer->empty() && buffer->capacity() > kKeptBufferBytes) {
    // An assigned empty string would keep the memory.
    std::string().swap(*buffer);
  }
}

}  // namespace

void ServerConnection::FreeUnusedBuffers() {
  FreeIfUnused(&input_);
  FreeIfUnused(&output_);
}

std::size_t ServerConnection::HeldBytes() const {
  return HeapBytes(input_) + HeapBytes(output_) + parser_.held_bytes() +
         request_bytes_ + response_bytes_;
}

/// Charging may have to end this or another connection, in a later
/// event-loop step.
void ServerConnection::UpdateCharge() {
  if (state_ == State::kClosed) {
    return;
  }
  FreeUnusedBuffers();
  if (!memory_given_up_) {
    memory_->Charge(*this, HeldBytes(), MonotonicNow());
  }
}

void ServerConnection::HoldForResponse(std::size_t bytes) {
  if (state_ == State::kBusy) {
    response_bytes_ = bytes;
    UpdateCharge();
  }
}

void ServerConnection::GiveUpMemory() {
  memory_given_up_ = true;
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->EndForMemory(); });
}

/// A request that isn't complete, or that its owner has not sent on, is
/// refused. Other connections are reset, which also discards what waits in
/// the system's buffers; an incomplete response can't be taken for a
/// complete one.
void ServerConnection::EndForMemory() {
  if (state_ == State::kBusy && watcher_.on_memory_exhausted) {
    must_close_ = true;
    const auto on_memory_exhausted = watcher_.on_memory_exhausted;
    on_memory_exhausted();
  } else if (state_ == State::kReading && message_started_ && buffered() == 0) {
    Reject(MakeError(ErrorCode::kMemoryExhausted,
                     "memory budget of the entry exhausted"));
  }
  const bool refused = state_ == State::kClosed || state_ == State::kLingering;
  if (!refused || buffered() > 0) {
    SetResetOnClose(true);
    CloseAndNotify(UnansweredEnd::kMemory);
  }
}

}  // namespace rattanward::http
