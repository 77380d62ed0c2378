#include "rattanward/proxy/hedge_attempt.h"

#include <algorithm>
#include <utility>

#include "rattanward/adapter/asio_timer_service.h"
#include "rattanward/proxy/exchange.h"

namespace rattanward::proxy {
namespace {

/// A larger answer is left to the first attempt, so that a hedge holds little.
constexpr std::size_t kMaxHeldBytes = 256U << 10U;
constexpr int kServerError = 500;

}  // namespace

HedgeAttempt::HedgeAttempt(Exchange& exchange, HedgePlacement placement)
    : exchange_(&exchange), placement_(std::move(placement)) {}

void HedgeAttempt::Send(const http::RequestHead& head,
                        const std::shared_ptr<const std::string>& body,
                        Duration connect_timeout) {
  placement_.connection->SetHeadRequest(head.method == "HEAD");
  placement_.connection->Send(Serialize(head), body, connect_timeout, this);
}

void HedgeAttempt::Cancel() {
  if (replayed_ || exchange_ == nullptr) {
    return;
  }
  exchange_ = nullptr;
  placement_.connection->Close();
}

void HedgeAttempt::Replay() {
  replayed_ = true;
  if (!has_head_) {
    return;
  }
  const auto self = shared_from_this();
  exchange_->OnReceivedHead(head_);
  exchange_->OnHead(head_, framing_, length_);
  if (!body_.empty() && exchange_ != nullptr) {
    exchange_->OnBody(std::exchange(body_, std::string()));
  }
}

void HedgeAttempt::OnReceivedHead(const http::ResponseHead& head) {
  if (replayed_) {
    exchange_->OnReceivedHead(head);
    return;
  }
  traits_ = exchange_->ReadHedgeResponse(head);
}

bool HedgeAttempt::IsMatchingResponse(const http::ResponseHead& head) const {
  return replayed_ ? exchange_->IsMatchingResponse(head)
                   : exchange_->IsResponseTo(traits_, *placement_.connection);
}

void HedgeAttempt::OnHead(const http::ResponseHead& head, http::Framing framing,
                          std::uint64_t length) {
  if (replayed_) {
    exchange_->OnHead(head, framing, length);
    return;
  }
  has_head_ = true;
  head_ = head;
  framing_ = framing;
  length_ = length;
}

void HedgeAttempt::OnBody(std::string_view piece) {
  const auto self = shared_from_this();
  if (!replayed_ && exchange_->streams() && AnswersWell()) {
    Win();
  }
  if (replayed_) {
    exchange_->OnBody(piece);
    return;
  }
  body_ += piece;
  if (body_.size() > kMaxHeldBytes) {
    Fail();
  }
}

void HedgeAttempt::OnReadEnd() {
  if (replayed_) {
    exchange_->OnReadEnd();
  }
}

void HedgeAttempt::OnComplete() {
  const auto self = shared_from_this();
  if (!replayed_ && AnswersWell()) {
    Win();
  }
  if (replayed_) {
    exchange_->OnComplete();
  } else {
    Fail();
  }
}

void HedgeAttempt::OnFailure(http::ClientFailure failure) {
  const auto self = shared_from_this();
  if (replayed_) {
    exchange_->OnFailure(failure);
  } else {
    Fail();
  }
}

bool HedgeAttempt::AnswersWell() const {
  return has_head_ && !traits_.not_run && !StatusImpliesNotRun(head_.status) &&
         head_.status < kServerError &&
         (!http::IsSuccess(head_.status) || traits_.has_signature);
}

void HedgeAttempt::Win() { exchange_->AdoptHedge(); }

void HedgeAttempt::Fail() {
  Exchange* exchange = std::exchange(exchange_, nullptr);
  if (!placement_.connection->Reusable(adapter::MonotonicNow())) {
    placement_.connection->Close();
  }
  exchange->OnHedgeFailed(traits_);
}

}  // namespace rattanward::proxy
