#include "rattanward/policy/prompt_meter.h"

#include <algorithm>

namespace rattanward::policy {
namespace {

constexpr Duration kSentPeriod{std::chrono::seconds(1)};
/// Long enough for prompts that were read by an otherwise idle engine.
constexpr Duration kReadPeriod{std::chrono::seconds(30)};
/// With shorter prompts, most of the time to the first event isn't reading.
constexpr std::uint64_t kMinReadTokens = 1000;

std::int64_t PeriodOf(TimePoint now, Duration period) {
  return now.time_since_epoch() / period;
}

}  // namespace

void PromptMeter::Periods::MoveTo(std::int64_t period) {
  if (period != number) {
    last = period == number + 1 ? present : 0;
    present = 0;
    number = period;
  }
}

std::uint64_t PromptMeter::Periods::Larger(std::int64_t period) const {
  Periods moved = *this;
  moved.MoveTo(period);
  return std::max(moved.present, moved.last);
}

void PromptMeter::RecordSent(const ServiceName& service, std::uint64_t tokens,
                             TimePoint now) {
  Periods& sent = sent_[service];
  sent.MoveTo(PeriodOf(now, kSentPeriod));
  sent.present += tokens;
}

void PromptMeter::RecordRead(const ServiceName& service, std::uint64_t tokens,
                             Duration took, TimePoint now) {
  if (tokens < kMinReadTokens || took <= Duration::zero()) {
    return;
  }
  constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
  const std::uint64_t rate = tokens * kMicrosecondsPerSecond /
                             static_cast<std::uint64_t>(took.count());
  Periods& read = read_[service];
  read.MoveTo(PeriodOf(now, kReadPeriod));
  read.present = std::max(read.present, rate);
}

std::uint64_t PromptMeter::TokensPerSecond(const ServiceName& service,
                                           TimePoint now) const {
  const auto sent = sent_.find(service);
  return sent == sent_.end() ? 0
                             : sent->second.Larger(PeriodOf(now, kSentPeriod));
}

std::uint64_t PromptMeter::ReadTokensPerSecond(const ServiceName& service,
                                               TimePoint now) const {
  const auto read = read_.find(service);
  return read == read_.end() ? 0
                             : read->second.Larger(PeriodOf(now, kReadPeriod));
}

}  // namespace rattanward::policy
