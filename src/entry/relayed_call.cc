#include "rattanward/entry/relayed_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "rattanward/domain/error.h"
#include "rattanward/entry/http_answers.h"
#include "rattanward/policy/stop_error.h"

namespace rattanward::entry {
namespace {

constexpr Duration kConnectTimeout{std::chrono::milliseconds(300)};
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
constexpr std::string_view kEventEnd = "\n\n";

/// Whether another entry may serve a request that one refused with this code.
bool AnotherEntryMayServe(const http::ResponseHead& head) {
  const std::string* text = head.fields.Find(kErrorField);
  int code = 0;
  if (text == nullptr) {
    return false;
  }
  std::from_chars(text->data(), text->data() + text->size(), code);
  switch (static_cast<ErrorCode>(code)) {
    case ErrorCode::kNoPath:
    case ErrorCode::kNoUpstream:
    case ErrorCode::kShuttingDown:
    case ErrorCode::kIsolated:
    case ErrorCode::kNoConfiguration:
      return true;
    default:
      return false;
  }
}

}  // namespace

RelayedCall::RelayedCall(asio::io_context& io, const Endpoint& peer,
                         std::shared_ptr<http::ServerConnection> caller,
                         EndCallback on_end)
    : connection_(std::make_shared<http::ClientConnection>(io, peer)),
      caller_(std::move(caller)),
      on_end_(std::move(on_end)) {}

void RelayedCall::Start(const http::ServerRequest& request) {
  WatchCaller();
  http::RequestHead head;
  head.method = request.head.method;
  head.target = request.head.target;
  head.fields = http::EndToEndFields(request.head.fields);
  head.fields.Set(kRelayedField, "1");
  head.fields.Set("Connection", "close");
  head.fields.Set("Content-Length", std::to_string(request.body->size()));
  connection_->Send(http::Serialize(head), request.body, kConnectTimeout, this);
}

void RelayedCall::WatchCaller() {
  const std::weak_ptr<RelayedCall> weak = weak_from_this();
  caller_->Watch({[weak] {
                    if (const auto self = weak.lock()) {
                      self->End(RelayEnd::kAnswered);
                    }
                  },
                  [weak] {
                    if (const auto self = weak.lock()) {
                      self->connection_->Resume();
                    }
                  },
                  nullptr});
}

bool RelayedCall::IsMatchingResponse(const http::ResponseHead& /*head*/) const {
  return true;
}

void RelayedCall::OnHead(const http::ResponseHead& head, http::Framing framing,
                         std::uint64_t /*length*/) {
  head_ = head;
  head_.fields = http::EndToEndFields(head.fields);
  unable_ = AnotherEntryMayServe(head);
  streams_ = framing == http::Framing::kChunked && !unable_;
  if (streams_) {
    caller_->StartBody(head_, std::nullopt);
  }
}

void RelayedCall::OnBody(std::string_view piece) {
  if (streams_) {
    caller_->Write(piece);
    tail_ += piece;
    tail_.erase(0, tail_.size() - std::min(tail_.size(), kEventEnd.size()));
  } else {
    body_ += piece;
    caller_->HoldForResponse(http::HeapBytes(body_));
  }
}

void RelayedCall::OnReadEnd() {
  if (streams_) {
    const auto self = shared_from_this();
    caller_->Flush();
    if (caller_->buffered() > caller_->ReadAhead(kMaxBufferedBytes)) {
      connection_->Pause();
    }
  }
}

void RelayedCall::OnComplete() {
  const auto self = shared_from_this();
  if (unable_) {
    End(RelayEnd::kUnable);
  } else if (streams_) {
    caller_->FinishBody();
    End(RelayEnd::kAnswered);
  } else {
    caller_->Respond(head_, body_);
    End(RelayEnd::kAnswered);
  }
}

void RelayedCall::OnFailure(http::ClientFailure failure) {
  const auto self = shared_from_this();
  if (streams_) {
    // A reset shows the caller that the stream is incomplete.
    caller_->Abort();
    End(RelayEnd::kCut);
  } else {
    End(failure == http::ClientFailure::kNotSent ? RelayEnd::kUnreached
                                                 : RelayEnd::kBroken);
  }
}

void RelayedCall::CutShort() {
  const auto self = shared_from_this();
  if (!streams_) {
    End(RelayEnd::kStopped);
    return;
  }
  if (!EndStreamWithError()) {
    caller_->Abort();
  }
  End(RelayEnd::kAnswered);
}

/// Ends an event stream with an error event, as a stream of this entry ends.
/// That isn't possible within an event.
bool RelayedCall::EndStreamWithError() {
  const std::string* type = head_.fields.Find("Content-Type");
  const bool between_events = tail_.empty() || tail_ == kEventEnd;
  if (type == nullptr || *type != "text/event-stream" || !between_events) {
    return false;
  }
  caller_->Write("data: " + ErrorToJson(policy::StopError(Verdict::kRan)) +
                 std::string(kEventEnd));
  caller_->FinishBody();
  return true;
}

void RelayedCall::End(RelayEnd end) {
  const auto self = shared_from_this();
  connection_->Close();
  if (const auto on_end = std::exchange(on_end_, nullptr)) {
    on_end(self, end);
  }
}

}  // namespace rattanward::entry
